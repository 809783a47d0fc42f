"""Discovery: one list for all, and for each conductor an agent that answers watches."""

from __future__ import annotations

import asyncio
from urllib.parse import parse_qs, urlsplit

import orjson

from llm_router.emulator.http import message, read_message
from llm_router.emulator.oracle import Oracle

FIRST_INDEX = 1


class Registry:
    """The list of endpoints, with the version at which each entry last changed."""

    def __init__(self, oracle: Oracle) -> None:
        self.oracle = oracle
        self.index = FIRST_INDEX
        self.entries: dict[str, dict] = {}
        self.changed_at: dict[str, int] = {}
        self.changed = asyncio.Condition()
        self.available = asyncio.Event()  # cleared while discovery is down: agents are silent
        self.available.set()

    async def put(self, *entries: dict) -> None:
        """Change entries; one that is gone leaves the list."""
        async with self.changed:
            self.index += 1
            for entry in entries:
                self.entries[entry["name"]] = entry
                self.changed_at[entry["name"]] = self.index
                if entry["status"] != "Ready":
                    self.oracle.drains(entry["name"])
            self.changed.notify_all()

    def whole(self) -> dict:
        """Give the whole list."""
        listed = [each for each in self.entries.values() if each["status"] != "Gone"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    def since(self, index: int) -> dict:
        """Give what changed after a version."""
        listed = [each for name, each in self.entries.items() if self.changed_at[name] > index]
        return {"index": self.index, "snapshot": False, "endpoints": listed}


class Agent:
    """One conductor's agent. It is silent while discovery is down, and tells the oracle what it wrote."""

    def __init__(self, registry: Registry, conductor: str) -> None:
        self.registry, self.conductor = registry, conductor
        self.bytes_written = 0  # of lists
        self.delay = 0.0  # seconds that each answer takes, as where discovery is crowded
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    @property
    def address(self) -> str:
        """Give where it listens."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen at a port of its own."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Take no new connection, and close the open ones."""
        self.server.close()
        self.reset()

    def reset(self) -> None:
        """Reset the connections that are open."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls on one connection; one that finds discovery down is never answered."""
        self.writers.add(writer)
        try:
            while (call := await read_message(reader)) is not None:
                if not self.registry.available.is_set():
                    await asyncio.Event().wait()
                await self.answer(call.path, writer)
        except (ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def answer(self, path: str, writer: asyncio.StreamWriter) -> None:
        """Answer one call, a watch once there is something new."""
        query = parse_qs(urlsplit(path).query)
        registry = self.registry
        if "since" in query:
            since, wait = int(query["since"][0]), int(query["timeout_ms"][0]) / 1000
            try:
                async with asyncio.timeout(wait), registry.changed:
                    await registry.changed.wait_for(lambda: registry.index > since)
            except TimeoutError:
                pass
            if not registry.available.is_set():
                await asyncio.Event().wait()
            told = registry.since(since)
        else:
            told = registry.whole()
        await asyncio.sleep(self.delay)
        body = orjson.dumps(told)
        self.bytes_written += len(body)
        writer.write(message("HTTP/1.1 200 OK", body))
        if writer.transport.is_closing():
            return
        for entry in told["endpoints"]:
            if entry["status"] != "Ready":
                self.registry.oracle.is_told(self.conductor, entry["name"])
