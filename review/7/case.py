"""Case 7: a conductor whose discovery answers 1.5 s late never hears that an instance drains."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import kit2

DELAY = 1.5  # seconds from a call, or from the change that ends its wait, to the answer
QUIET = 8.0  # seconds that the conductor runs before an instance begins to drain
TOLD_AT_THE_LATEST = 6.0  # seconds after the change
DRAIN_GRACE = 1.0  # seconds, from the settings
SLACK = 0.05 + 0.15  # seconds: the slack on sockets, and what a conductor may be held up
CHECKED = 8.0  # seconds of traffic after the time from which nothing may be sent any more
INTERVAL = 0.1  # seconds between two requests


async def play(parts: kit2.Deployment) -> bool:
    """Send requests at a steady rate, and let an instance drain after some seconds."""
    parts.conductor.settings = {**kit2.SETTINGS, "discovery": "ask"}
    parts.agent.delay = DELAY if kit2.TROUBLE else 0.0
    await parts.conductor.start()
    drained = parts.instances["m1"]
    tasks: set[asyncio.Task[None]] = set()
    count = 0

    answers: list[kit2.Answer] = []

    async def one(request: str) -> None:
        connection = await kit2.Connection.open(parts.conductor.address)
        data = kit2.chat(request, session=f"{count:016x}")
        answers.append(await connection.ask(parts.world, request, data))
        connection.writer.close()

    async def traffic(seconds: float) -> None:
        nonlocal count
        end = parts.record.now + seconds
        while parts.record.now < end:
            count += 1
            task = asyncio.create_task(one(f"c7-{count}"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(INTERVAL)

    await traffic(QUIET)
    changed = await parts.agent.set_status(drained, "Terminating")
    forbidden_from = changed + TOLD_AT_THE_LATEST + DRAIN_GRACE + SLACK
    await traffic(TOLD_AT_THE_LATEST + DRAIN_GRACE + CHECKED)
    await parts.agent.set_status(drained, "Gone")
    drained.stop()
    parts.record.add(drained.name, "ends, as it drained long ago")
    if tasks:
        await asyncio.wait(list(tasks))
    late = [each for each in drained.begun if each[0] > forbidden_from]
    others = [each for each in parts.instances["m2"].begun if each[0] > forbidden_from]
    parts.record.add("check", f"sends to {drained.name} are forbidden from {forbidden_from:.3f} on")
    cut = [each.request for each in answers if each.status == 200 and not each.whole]
    parts.record.add("check", f"{len(cut)} streams were cut by the end of {drained.name}: {cut}")
    parts.record.add("check", f"{len(late)} attempts began there later, {len(others)} at the other one")
    return bool(late)


kit2.main(__file__, {"m1": "mixed", "m2": "mixed"}, kit2.Speed(tokens=5), play)
