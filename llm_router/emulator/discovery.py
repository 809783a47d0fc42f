"""Emulate discovery: one registry of endpoints, and one agent for each router that answers its calls."""

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
    """One endpoint in the wire format of the endpoint list."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: float
    since_ms: int


class EndpointList(TypedDict):
    """A response of discovery: a full snapshot, or the entries that changed after an index."""

    index: int
    snapshot: bool
    endpoints: list[RegistryEntry]


class EndpointRegistry:
    """The registry of all endpoints, which stores the index at which each entry last changed."""

    def __init__(self, drains: DrainCheck) -> None:
        self.index = FIRST_INDEX
        self.changed = asyncio.Condition()
        self.available = asyncio.Event()  # Cleared during an outage; agents then answer no calls.
        self.available.set()
        self._drains = drains
        self._entries: dict[str, RegistryEntry] = {}
        self._changed_at: dict[str, int] = {}

    async def update(self, *entries: RegistryEntry) -> None:
        """Add or change entries; an entry with status `Gone` no longer appears in full snapshots."""
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
        """Return a full snapshot of the endpoint list."""
        listed = [entry for entry in self._entries.values() if entry["status"] != REMOVED]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    def changes_since(self, index: int) -> EndpointList:
        """Return the entries of the endpoint list that changed after an index."""
        listed = [entry for name, entry in self._entries.items() if self._changed_at[name] > index]
        return {"index": self.index, "snapshot": False, "endpoints": listed}


@dataclass(slots=True, frozen=True)
class WatchQuery:
    """The query parameters of a watch."""

    since: int  # The watch asks for changes after this index.
    timeout: float  # seconds until the watch times out

    @classmethod
    def parse(cls, path: str) -> WatchQuery | None:
        """Parse a call's path; return None if the call asks for a full snapshot instead of a watch."""
        query = parse_qs(urlsplit(path).query)
        if "since" not in query:
            return None
        return cls(int(query["since"][0]), int(query["timeout_ms"][0]) / 1000)


class DiscoveryAgent:
    """The discovery server of one router; during an outage it accepts calls but does not answer them."""

    def __init__(self, registry: EndpointRegistry, on_drain_delivered: Callable[[str], None]) -> None:
        """Create an agent that is not started yet.

        `on_drain_delivered` is called with the name of each endpoint whose delivered status is not READY."""
        self.list_bytes_written = 0  # size of all endpoint lists in the responses
        self.response_delay = 0.0  # seconds before each response, to emulate overload
        self._registry = registry
        self._on_drain_delivered = on_drain_delivered
        self._transports: set[asyncio.WriteTransport] = set()
        self._server: asyncio.Server | None = None
        self._port = 0

    @property
    def address(self) -> str:
        """Return the host and port on which the agent listens."""
        return f"127.0.0.1:{self._port}"

    @property
    def is_started(self) -> bool:
        """Return whether the agent has been started."""
        return self._server is not None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening, and reset the open connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset the open connections."""
        for transport in list(self._transports):
            transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls on one connection; a call that arrives during an outage is never answered."""
        self._transports.add(writer.transport)
        try:
            while (call := await read_message(reader)) is not None:
                await self._hang_if_unavailable()
                await self._answer(call.path, writer)
        except (ConnectionError, ValueError):
            pass
        finally:
            self._transports.discard(writer.transport)
            writer.transport.abort()

    async def _hang_if_unavailable(self) -> None:
        """Never return if discovery is unavailable at the time of the call."""
        if not self._registry.available.is_set():
            await asyncio.Event().wait()

    async def _answer(self, path: str, writer: asyncio.StreamWriter) -> None:
        """Answer one call; a watch is answered when the registry changes or the watch times out."""
        watch = WatchQuery.parse(path)
        if watch is None:
            endpoint_list = self._registry.full_snapshot()
        else:
            await self._wait_for_change(watch)
            await self._hang_if_unavailable()
            endpoint_list = self._registry.changes_since(watch.since)
        await asyncio.sleep(self.response_delay)
        body = orjson.dumps(endpoint_list)
        self.list_bytes_written += len(body)
        writer.write(message("HTTP/1.1 200 OK", body))
        if writer.transport.is_closing():
            return
        for entry in endpoint_list["endpoints"]:
            if entry["status"] != READY:
                self._on_drain_delivered(entry["name"])

    async def _wait_for_change(self, watch: WatchQuery) -> None:
        """Wait until the registry changes or the watch times out."""
        registry = self._registry
        try:
            async with asyncio.timeout(watch.timeout), registry.changed:
                await registry.changed.wait_for(lambda: registry.index > watch.since)
        except TimeoutError:
            pass
