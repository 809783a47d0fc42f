"""Stand in for discovery: serve an endpoint list that a test can change, and go offline on demand."""

import asyncio
import json

from stand_in_server import StandInServer

from llm_router.emulator.http import message


class StandInDiscovery(StandInServer):
    """A stand-in for discovery, which serves one endpoint list to its watches."""

    def __init__(self, entries):
        super().__init__(self.answer)
        self.entries = entries
        self.index = 1
        self.changed = asyncio.Condition()

    async def answer(self, call, writer):
        """Answer a watch call once the endpoint list changes, and any other call at once."""
        path = call[0].split()[1]
        since = int(path.partition("since=")[2].partition("&")[0] or 0)
        async with self.changed:
            await self.changed.wait_for(lambda: self.index > since)
        body = {"index": self.index, "snapshot": since == 0, "endpoints": self.entries}
        writer.write(message("HTTP/1.1 200 OK", json.dumps(body).encode()))

    async def take_offline(self):
        """Refuse connections and reset the open ones; return a function that restarts it at its address."""
        host, port = self.address.split(":")
        self.server.close()
        for transport in list(self.open):
            transport.abort()

        async def restart():
            self.server = await asyncio.start_server(self.serve, host, int(port))

        return restart

    async def publish(self, entries):
        """Replace the endpoint list, and answer the waiting watch calls."""
        async with self.changed:
            self.entries = entries
            self.index += 1
            self.changed.notify_all()


def registry_entry(name, address, kind, status="Ready"):
    """Return an endpoint's entry in the endpoint list."""
    return {
        "name": name,
        "address": address,
        "zone": "z",
        "type": kind,
        "group": 1,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
    }
