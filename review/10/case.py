"""Case 10: a client that sends much at once and goes; the conductor begins attempts for it all the same."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import sys
import termios
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import kit2

REQUESTS = 20  # requests that the client sends at once on its connection
PROMPT = 7500  # tokens in each; a reader reads 15,000 a second, and four characters make a token
FACTS = f"prompt_len={PROMPT},prefix_len=0,max_out=40"
GONE = 0.1  # seconds after the close within which an attempt may still begin
SLACK = 0.05 + 0.15  # seconds: the slack on sockets, and what a conductor may be held up
ACCEPTED_WITHIN = 2.0  # seconds within which the conductor's machine has to accept all bytes
WATCHED = 5.0  # seconds after the close


def unaccepted(writer: asyncio.StreamWriter) -> int:
    """Return how many of the written bytes the conductor's machine has not acknowledged."""
    queued = fcntl.ioctl(writer.get_extra_info("socket").fileno(), termios.TIOCOUTQ, bytes(4))
    return writer.transport.get_write_buffer_size() + struct.unpack("i", queued)[0]


async def play(parts: kit2.Deployment) -> bool:
    """Send many requests at once on one connection, and close it once all bytes are accepted."""
    await parts.conductor.start()
    connection = await kit2.Connection.open(parts.conductor.address)
    requests = [f"c10-{number}" for number in range(REQUESTS)]
    parts.world.sent.update(requests)
    data = b"".join(
        kit2.chat(each, lane="shift-signup", left_ms=12_000, facts=FACTS, padding=4 * PROMPT)
        for each in requests
    )
    connection.writer.write(data)
    begun_at = parts.record.add("client", f"sends {REQUESTS} requests, {len(data)} bytes, at once")
    while unaccepted(connection.writer):
        if parts.record.now > begun_at + ACCEPTED_WITHIN:
            raise RuntimeError("the conductor's machine does not accept all bytes")
        await asyncio.sleep(0.005)
    closed = parts.record.add("client", "all bytes are accepted")
    if kit2.TROUBLE:
        connection.writer.transport.abort()
        closed = parts.record.add("client", "closes its connection")
    await asyncio.sleep(WATCHED)
    begun = [(at, request, each.name) for each in parts.instances.values() for at, request in each.begun]
    late = sorted(each for each in begun if each[0] > closed + GONE + SLACK)
    if not kit2.TROUBLE:
        parts.record.add("check", f"the client stays: {len(begun)} attempts, none forbidden")
        return False
    for at, request, name in late:
        parts.record.add("check", f"an attempt of {request} began at {name} {at - closed:.3f} s later")
    parts.record.add("check", f"{len(begun)} attempts, {len(late)} of them over {GONE} s later")
    return bool(late)


kit2.main(__file__, {"r1": "prefill", "w1": "decode"}, kit2.Speed(read=PROMPT / 15_000), play)
