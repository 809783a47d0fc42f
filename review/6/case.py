"""Case 6: a second answer that comes a few milliseconds late is given to the next caller."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import kit2

SESSIONS = 4
TURNS = 6
SHARE = 6  # one in so many answers has a second one behind it
LATE = 0.005  # seconds from the end of an answer to the second answer directly behind it
FACTS = "prefix=5c0f6e1a2b3d4c59,prompt_len=2000,prefix_len=1900,max_out=40"
SECOND_ANSWER = kit2.STREAM_HEAD + kit2.chunk(kit2.event("nobody 0", "stop")) + kit2.LAST_CHUNK


async def play(parts: kit2.Deployment) -> bool:
    """Let one client after another hold a conversation; some answers have a second one behind them."""
    count = 0

    async def after_stream(request: str, writer: asyncio.StreamWriter) -> None:
        nonlocal count
        count += 1
        if kit2.TROUBLE and count % SHARE == 1:
            await writer.drain()
            await asyncio.sleep(LATE)
            parts.record.add("instance", f"writes a second answer behind that of {request}")
            writer.write(SECOND_ANSWER)

    parts.world.after_stream = after_stream
    await parts.conductor.start()
    answers = []
    for session in range(SESSIONS):
        connection = await kit2.Connection.open(parts.conductor.address)
        for turn in range(TURNS):
            request = f"c6-{session}-{turn}"
            data = kit2.chat(request, session=f"{session:016x}", facts=FACTS)
            answers.append(await connection.ask(parts.world, request, data))
            if not answers[-1].whole:
                connection.writer.close()
                connection = await kit2.Connection.open(parts.conductor.address)
        connection.writer.close()
    broken = [each for each in answers if each.status == 200 and each.foreign]
    for each in broken:
        parts.record.add("check", f"{each.request} was served with what no instance made for it")
    served = sum(each.status == 200 and each.whole and not each.foreign for each in answers)
    parts.record.add("check", f"{served} of {len(answers)} served, {len(broken)} with foreign data")
    return bool(broken)


kit2.main(__file__, {"r1": "prefill", "w1": "decode"}, kit2.Speed(tokens=5, token=0.02), play)
