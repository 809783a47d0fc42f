"""Case 9: after a new configuration, an older list makes a conductor forget that an instance drains."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import kit2

QUIET = 3.0  # seconds of traffic before an instance begins to drain
BEFORE_RELOAD = 1.5  # seconds from the change, which the conductor hears at once, to SIGHUP
LAG = 3.5  # seconds from the SIGHUP to the moment in which the new address hears of the change
OLD_CLOSES = 1.5  # seconds from SIGHUP until the old address closes its connections
DRAIN_GRACE = 1.0  # seconds, from the settings
SLACK = 0.05 + 0.15  # seconds: the slack on sockets, and what a conductor may be held up
INTERVAL = 0.1  # seconds between two requests


async def play(parts: kit2.Deployment) -> bool:
    """Send requests at a steady rate, let an instance drain, and move discovery soon after."""
    record, drained = parts.record, parts.instances["m1"]
    moved = kit2.Agent(record, list(parts.instances.values()), "discovery 2")
    await moved.start()
    await parts.conductor.start()
    tasks: set[asyncio.Task[None]] = set()
    count = 0

    async def one(request: str) -> None:
        connection = await kit2.Connection.open(parts.conductor.address)
        await connection.ask(parts.world, request, kit2.chat(request, session=f"{count:016x}"))
        connection.writer.close()

    async def traffic(seconds: float) -> None:
        nonlocal count
        end = record.now + seconds
        while record.now < end:
            count += 1
            task = asyncio.create_task(one(f"c9-{count}"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(INTERVAL)

    await traffic(QUIET)
    told = await parts.agent.set_status(drained, "Terminating")
    await traffic(BEFORE_RELOAD)
    if kit2.TROUBLE:
        parts.conductor.discovery = moved.address
        parts.conductor.write_configuration()
        parts.agent.refuse()
        parts.conductor.signal(signal.SIGHUP)
    await traffic(OLD_CLOSES)
    if kit2.TROUBLE:
        parts.agent.close()
    await traffic(LAG - OLD_CLOSES)
    await moved.set_status(drained, "Terminating")
    await traffic(1.0)
    if tasks:
        await asyncio.wait(list(tasks))
    late = [each for each in drained.begun if each[0] > told + DRAIN_GRACE + SLACK]
    record.add("check", f"the conductor was told at {told:.3f} that {drained.name} drains")
    record.add("check", f"{len(late)} attempts began there over {DRAIN_GRACE + SLACK} s later")
    return bool(late)


kit2.main(__file__, {"m1": "mixed", "m2": "mixed"}, kit2.Speed(tokens=5), play)
