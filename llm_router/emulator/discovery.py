"""Emulate discovery: one registry for all, and an agent for each router that answers its watches."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypedDict
from urllib.parse import parse_qs, urlsplit

import orjson

from llm_router.emulator.http import message, read_message
from llm_router.emulator.oracle.drain_check import DrainCheck

FIRST_INDEX = 1
READY = "Ready"
REMOVED = "Gone"


class RegistryEntry(TypedDict):
    """An endpoint as the registry's wire format lists it."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: float
    since_ms: int


class EndpointList(TypedDict):
    """An answer of discovery: all endpoints, or those that changed since an index."""

    index: int
    snapshot: bool
    endpoints: list[RegistryEntry]


class EndpointRegistry:
    """The list of endpoints, with the index at which each entry last changed."""

    def __init__(self, drains: DrainCheck) -> None:
        self.index = FIRST_INDEX
        self.changed = asyncio.Condition()
        self.available = asyncio.Event()  # cleared while discovery is down: agents are silent
        self.available.set()
        self._drains = drains
        self._entries: dict[str, RegistryEntry] = {}
        self._changed_at: dict[str, int] = {}

    async def update(self, *entries: RegistryEntry) -> None:
        """Add or change entries; one whose status is `Gone` leaves the list."""
        async with self.changed:
            self.index += 1
            for entry in entries:
                name = entry["name"]
                self._entries[name] = entry
                self._changed_at[name] = self.index
                if entry["status"] != READY:
                    self._drains.drain_announced(name)
            self.changed.notify_all()

    def full_snapshot(self) -> EndpointList:
        """Return all endpoints."""
        listed = [entry for entry in self._entries.values() if entry["status"] != REMOVED]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    def changes_since(self, index: int) -> EndpointList:
        """Return the entries that changed after an index."""
        listed = [entry for name, entry in self._entries.items() if self._changed_at[name] > index]
        return {"index": self.index, "snapshot": False, "endpoints": listed}


@dataclass(slots=True, frozen=True)
class WatchQuery:
    """What a watch asks for."""

    since: int  # index
    timeout: float  # seconds

    @classmethod
    def parse(cls, path: str) -> WatchQuery | None:
        """Return the watch that a call's path asks for, None where it asks for a full snapshot."""
        query = parse_qs(urlsplit(path).query)
        if "since" not in query:
            return None
        return cls(int(query["since"][0]), int(query["timeout_ms"][0]) / 1000)


class DiscoveryAgent:
    """The agent of one router, silent while discovery is down; it reports what it wrote to the oracle."""

    def __init__(self, registry: EndpointRegistry, on_drain_delivered: Callable[[str], None]) -> None:
        """Take what is to be called with the name of each draining endpoint that was written."""
        self.bytes_written = 0  # of lists
        self.response_delay = 0.0  # seconds that each answer takes, as where discovery is overloaded
        self._registry = registry
        self._on_drain_delivered = on_drain_delivered
        self._transports: set[asyncio.WriteTransport] = set()
        self._server: asyncio.Server | None = None
        self._port = 0

    @property
    def address(self) -> str:
        """Return the address at which it listens."""
        return f"127.0.0.1:{self._port}"

    @property
    def is_started(self) -> bool:
        """Return whether it has been started."""
        return self._server is not None

    async def start(self) -> None:
        """Listen at a port of its own."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Accept no new connection, and close the open ones."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset the connections that are open."""
        for transport in list(self._transports):
            transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls on one connection; one that finds discovery down is never answered."""
        self._transports.add(writer.transport)
        try:
            while (call := await read_message(reader)) is not None:
                await self._hang_while_unavailable()
                await self._answer(call.path, writer)
        except (ConnectionError, ValueError):
            pass
        finally:
            self._transports.discard(writer.transport)
            writer.transport.abort()

    async def _hang_while_unavailable(self) -> None:
        """Wait for ever where discovery is down at this moment."""
        if not self._registry.available.is_set():
            await asyncio.Event().wait()

    async def _answer(self, path: str, writer: asyncio.StreamWriter) -> None:
        """Answer one call, a watch once there is a change."""
        watch = WatchQuery.parse(path)
        if watch is None:
            endpoint_list = self._registry.full_snapshot()
        else:
            await self._wait_for_change(watch)
            await self._hang_while_unavailable()
            endpoint_list = self._registry.changes_since(watch.since)
        await asyncio.sleep(self.response_delay)
        body = orjson.dumps(endpoint_list)
        self.bytes_written += len(body)
        writer.write(message("HTTP/1.1 200 OK", body))
        if writer.transport.is_closing():
            return
        for entry in endpoint_list["endpoints"]:
            if entry["status"] != READY:
                self._on_drain_delivered(entry["name"])

    async def _wait_for_change(self, watch: WatchQuery) -> None:
        """Wait until the registry has changed, or the watch times out."""
        registry = self._registry
        try:
            async with asyncio.timeout(watch.timeout), registry.changed:
                await registry.changed.wait_for(lambda: registry.index > watch.since)
        except TimeoutError:
            pass
