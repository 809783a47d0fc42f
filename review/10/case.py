"""A slow instance answers when the router has just refused the request; see claim.txt."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import loopback

SECONDS = 60.0  # how long the clients send
CLIENTS = 30
LEFT_MS = 1000  # how long a client waits for the first token
SLOW_TIMES = (0.9, 1.05)  # seconds to the first token at the slow instance, uniform


class SlowInstance(loopback.Instance):
    """An instance whose first token takes about as long as a client waits."""

    async def work(self, request_id: str) -> None:  # noqa: ARG002 - all requests are slow
        """Wait for the first token."""
        await asyncio.sleep(random.uniform(*SLOW_TIMES) if loopback.TROUBLE else self.time)


async def client(record: loopback.Record, router: loopback.Router, writer: loopback.Instance) -> int:
    """Send one request after the other on one connection; return the number of wrong answers."""
    breaks = 0
    connection: loopback.Client | None = None
    end = record.now() + SECONDS
    while record.now() < end:
        if connection is None:
            connection = loopback.Client(record, router)
            await connection.connect()
        request_id = loopback.new_id()
        answer = await connection.send(request_id, "rota-question", LEFT_MS)
        if answer.status == 200 and answer.body != writer.whole_stream(request_id):
            # No instance breaks a stream off here, so these bytes are not of this request's stream.
            breaks += 1
            record.add("BREAK", id=request_id, got=answer.body)
        if not answer.whole:
            connection.close()
            connection = None
        elif answer.status == 200:
            await asyncio.sleep(random.uniform(0, 0.1))
        # After a refusal the client retries at once, with a new id.
    return breaks


async def play(record: loopback.Record) -> int:
    """Play the case and return the number of wrong answers."""
    readers = [loopback.Instance(record, f"read-{number}", "prefill") for number in range(3)]
    writers = [loopback.Instance(record, f"write-{number}", "decode") for number in range(4)]
    instances = [*readers, *writers, SlowInstance(record, "slow", "decode")]
    discovery = loopback.Discovery(record, instances)
    router = loopback.Router(record, discovery, loopback.settings(cancel=False))
    servers: list[loopback.Server] = [discovery, *instances]
    try:
        for server in servers:
            await server.start()
        await router.start()
        await router.wait_until_ready()
        results = await asyncio.gather(*(client(record, router, writers[0]) for _ in range(CLIENTS)))
        return sum(results)
    finally:
        await router.kill()
        for server in servers:
            server.stop()


if __name__ == "__main__":
    sys.exit(loopback.run(Path(__file__).resolve().parent, play))
