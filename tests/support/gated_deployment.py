"""Run a router with gated endpoints, and record the KV state and reservations at these endpoints."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from gated_endpoint import GatedEndpoint
from lease_record import LeaseRecord
from router_process import RouterProcess, running_router
from stand_in_discovery import registry_entry


@dataclass(slots=True, frozen=True)
class GatedDeployment:
    """A router, its endpoints by name, and the record of their KV state and reservations."""

    router: RouterProcess
    record: LeaseRecord
    endpoints: dict[str, GatedEndpoint]

    def __getitem__(self, name: str) -> GatedEndpoint:
        return self.endpoints[name]

    def refuse_all(self) -> None:
        """Make every endpoint refuse new connections and close its idle connections."""
        for endpoint in self.endpoints.values():
            endpoint.refuse()
            endpoint.close_idle()

    async def listen_all(self) -> None:
        """Make every endpoint accept connections again after `refuse_all`."""
        for endpoint in self.endpoints.values():
            await endpoint.listen()

    async def until_leased(self, request_id: str) -> None:
        """Wait until an endpoint has held KV state or a reservation for a request."""
        await self.record.wait_until(lambda: self.record.of(request_id).ever_leased)

    async def until_called(self, endpoint: str, method: str) -> None:
        """Wait until an endpoint has received a call that starts with a given method."""
        await self.record.wait_until(lambda: self.endpoints[endpoint].called(method))

    async def until_sent(self, start: str, *endpoints: str) -> GatedEndpoint:
        """Wait until a call that starts with `start` is sent to one of some endpoints; return it."""

        def sent() -> list[GatedEndpoint]:
            candidates = (self.endpoints[name] for name in endpoints)
            return [endpoint for endpoint in candidates if endpoint.has_been_sent(start)]

        await self.record.wait_until(sent)
        return sent()[0]


@asynccontextmanager
async def gated_deployment(
    tmp_path: Path, settings: Mapping[str, object], kinds: Mapping[str, str]
) -> AsyncIterator[GatedDeployment]:
    """Start a router with gated endpoints; `kinds` maps the name of each endpoint to its kind."""
    release_timeout = settings["family_info"].get("release_within", 0) / 1e9
    record = LeaseRecord(release_timeout)
    endpoints = {name: GatedEndpoint(record, name, kind) for name, kind in kinds.items()}
    async with AsyncExitStack() as stack:
        for endpoint in endpoints.values():
            await stack.enter_async_context(endpoint)
        entries = [registry_entry(each.name, each.address, each.kind) for each in endpoints.values()]
        router = await stack.enter_async_context(running_router(tmp_path, entries, settings=settings))
        router.entries = entries
        yield GatedDeployment(router, record, endpoints)
