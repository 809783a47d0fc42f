"""Case 7: a request that comes whole over 0.7 s after SIGTERM is forwarded, and SIGKILL cuts its stream."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import kit2

CLIENTS = 3
TOKENS = 100  # in an answer, one every 60 ms as the settings want it
BEGIN = 0.15  # seconds after SIGTERM at which clients begin to write, on connections that were open before
PIECES = 8  # a client writes its request in so many pieces
PAUSE = 0.15  # seconds between two pieces
LONGEST_DEADLINE = 3.0  # seconds: the settings have longer ones, which count as 3 s
STOP_TIME = LONGEST_DEADLINE + 0.7  # seconds from SIGTERM to SIGKILL
LATE = 0.7  # seconds after SIGTERM from which a request that SIGKILL finds unanswered is lost


async def play(parts: kit2.Deployment) -> bool:
    """Let clients write slowly across a planned restart."""
    await parts.conductor.start()
    connections = [await kit2.Connection.open(parts.conductor.address) for _ in range(CLIENTS)]
    parts.world.speed.tokens = 3
    requests = [f"c7-before-{number}" for number in range(CLIENTS)]
    asked = zip(connections, requests, strict=True)
    await asyncio.gather(*(each.ask(parts.world, name, kit2.chat(name)) for each, name in asked))
    parts.world.speed.tokens = TOKENS
    stopped = parts.conductor.signal(signal.SIGTERM) if kit2.TROUBLE else parts.record.now
    written: dict[str, float] = {}

    async def slow(number: int, connection: kit2.Connection) -> kit2.Answer:
        request = f"c7-slow-{number}"
        parts.world.sent.add(request)
        await asyncio.sleep(stopped + BEGIN - parts.record.now)
        data = kit2.chat(request, session=f"{number:016x}")
        size = -(-len(data) // PIECES)
        for at in range(0, len(data), size):
            if at:
                await asyncio.sleep(PAUSE)
            connection.writer.write(data[at : at + size])
            parts.record.add("client", f"writes bytes {at} to {min(at + size, len(data))} of {request}")
        written[request] = parts.record.now
        return await connection.receive(parts.world, request)

    answers = [asyncio.create_task(slow(*each)) for each in enumerate(connections)]
    if kit2.TROUBLE:
        await asyncio.sleep(stopped + STOP_TIME - parts.record.now)
        parts.conductor.signal(signal.SIGKILL)
    lost = 0
    for answer in await asyncio.gather(*answers):
        is_late = written[answer.request] > stopped + LATE
        is_answered = answer.status != 0 and answer.whole
        if is_late and not is_answered and answer.status == 200:
            lost += 1
            parts.record.add("check", f"{answer.request} came whole after the 0.7 s, was taken and is lost")
    parts.record.add("check", f"{lost} of {CLIENTS} lost")
    return lost > 0


kit2.main(__file__, {"r1": "prefill", "w1": "decode"}, kit2.Speed(), play)
