"""Case 10: a place that a writer holds once it runs again after a hang is never released."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import kit2

REQUESTS = 8
HANG = 6.0  # seconds for which one of the two writers hangs
RELEASE_WITHIN = 0.3 + 0.3  # seconds: the settings, and 300 ms more
SLACK = 0.15  # seconds that a conductor may be held up
WATCHED = 3.0  # seconds after the hang


async def play(parts: kit2.Deployment) -> bool:
    """Let a writer hang while requests are served, and look for places after it runs again."""
    parts.world.grants_places = True
    await parts.conductor.start()
    writer = parts.instances["w1"]
    if kit2.TROUBLE:
        writer.runs.clear()
        parts.record.add(writer.name, "hangs")
    began = parts.record.now

    async def one(number: int) -> kit2.Answer:
        request = f"c10-{number}"
        await asyncio.sleep(0.2 * number)
        connection = await kit2.Connection.open(parts.conductor.address)
        answer = await connection.ask(parts.world, request, kit2.chat(request, session=f"{number:016x}"))
        connection.writer.close()
        return answer

    answers = await asyncio.gather(*(one(number) for number in range(REQUESTS)))
    await asyncio.sleep(max(0.0, began + HANG - parts.record.now))
    writer.runs.set()
    parts.record.add(writer.name, "runs")
    await asyncio.sleep(WATCHED)
    limit = parts.record.now - RELEASE_WITHIN - SLACK
    pinned = {name: place for name, place in parts.world.places.items() if place[1] < limit}
    for request, (name, since) in pinned.items():
        age = parts.record.now - since
        parts.record.add("check", f"{name} holds a place for {request} for {age:.2f} s, with no attempt out")
    served = sum(each.status == 200 and each.whole for each in answers)
    parts.record.add("check", f"{served} of {REQUESTS} served, {len(pinned)} places pinned")
    return bool(pinned)


kit2.main(__file__, {"r1": "prefill", "w1": "decode", "w2": "decode"}, kit2.Speed(tokens=5), play)
