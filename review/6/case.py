"""One bad client's request with an unreadable session key makes usual requests unanswered; see claim.txt."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import loopback

ROUTERS = 4  # played side by side, each with instances and clients of its own
ROUNDS = 8  # at most; the first round with a break is the last
LEFT_MS = 4000
SLACK = 1.0  # seconds after a client's time at which its request counts as never answered; the page says 0.5
USUAL_REQUESTS, USUAL_INTERVAL = 160, 0.0125
BURST = 40
KEY = b"X-Session-Key: "


class Scene:
    """One router with its discovery, three readers that are replaced, and three writers."""

    def __init__(self, record: loopback.Record, name: str) -> None:
        self.record = record
        self.old = [loopback.Instance(record, f"{name}-old-{each}", "prefill") for each in range(3)]
        self.new = [loopback.Instance(record, f"{name}-new-{each}", "prefill") for each in range(3)]
        writers = [loopback.Instance(record, f"{name}-write-{each}", "decode") for each in range(3)]
        self.discovery = loopback.Discovery(record, [*self.old, *writers])
        self.router = loopback.Router(record, self.discovery, loopback.settings())
        self._servers: list[loopback.Server] = [self.discovery, *self.old, *self.new, *writers]
        self._breaks = 0

    async def play(self) -> int:
        """Play the scene and return the number of usual requests that got no answer."""
        try:
            for server in self._servers:
                await server.start()
            await self.router.start()
            await self.router.wait_until_ready()
            clients = await self._send(USUAL_REQUESTS, USUAL_INTERVAL)
            await self._replace_readers()
            clients += await self._send(BURST, 0.0)
            await asyncio.sleep(random.uniform(0.2, 0.5))
            if loopback.TROUBLE:
                await self._bad_client()
            await asyncio.gather(*clients)
        finally:
            await self.router.kill()
            for server in self._servers:
                server.stop()
        return self._breaks

    async def _send(self, count: int, interval: float) -> list[asyncio.Task[None]]:
        clients = []
        for _ in range(count):
            clients.append(asyncio.create_task(self._usual_client()))
            await asyncio.sleep(interval)
        return clients

    async def _usual_client(self) -> None:
        connection = loopback.Client(self.record, self.router)
        await connection.connect()
        request_id = loopback.new_id()
        try:
            async with asyncio.timeout(LEFT_MS / 1000 + SLACK):
                answer = await connection.send(request_id, "rota-question", LEFT_MS)
        except TimeoutError:
            self._breaks += 1
            self.record.add("BREAK", id=request_id, the="request has no answer")
            return
        if not answer.status:
            self._breaks += 1
            self.record.add("BREAK", id=request_id, the="connection was closed without an answer")
        connection.close()

    async def _replace_readers(self) -> None:
        """Let new readers join, which are cold, and let the old ones drain."""
        for each in self.new:
            self.discovery.entries[each.name] = {**each.entry(), "since_ms": int(time.time() * 1000)}
            await self.discovery.change(each.name, "Ready")
        for each in self.old:
            await self.discovery.change(each.name, "Terminating")
        await asyncio.sleep(0.1)

    async def _bad_client(self) -> None:
        """Send one request whose key cannot be read, read the answer, and leave."""
        sound = loopback.request(loopback.new_id(), "rota-question", LEFT_MS)
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.router.port)
            writer.write(sound.replace(KEY, KEY + b"\xff"))
            first, _ = await loopback.read_head(reader)
            self.record.add("bad-client", port=self.router.port, got=first)
            writer.close()


async def play(record: loopback.Record) -> int:
    """Play rounds until usual requests got no answer; return their number."""
    for number in range(ROUNDS):
        scenes = [Scene(record, f"{number}{router}") for router in range(ROUTERS)]
        if breaks := sum(await asyncio.gather(*(scene.play() for scene in scenes))):
            return breaks
    return 0


if __name__ == "__main__":
    sys.exit(loopback.run(Path(__file__).resolve().parent, play))
