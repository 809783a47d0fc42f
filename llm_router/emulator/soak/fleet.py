"""Start and stop the endpoints, discovery, routers and clients of a soak."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from llm_router.emulator.discovery import EndpointRegistry
from llm_router.emulator.endpoint import EmulatedEndpoint
from llm_router.emulator.load_generator import LoadGenerator
from llm_router.emulator.oracle import Oracle
from llm_router.emulator.router_process import RouterProcess, RouterSpec
from llm_router.emulator.soak.scenario import CLASSES, Customer, router_settings

ENDPOINTS_OF_KIND = 4  # number of endpoints of each kind at the start of a soak
# Each fault plan makes system calls of a router fail or shifts its wall clock. The empty plan does neither.
FAULT_PLANS: tuple[dict[str, Any], ...] = (
    {},
    {"calls": [{"call": "connect", "errors": ["EADDRNOTAVAIL", "ENOBUFS", "EAGAIN", "EINTR"], "one_in": 15}]},
    {"calls": [{"call": "socket", "errors": ["EMFILE", "ENFILE", "ENOMEM"], "one_in": 15}]},
    {"calls": [{"call": "accept", "errors": ["ENFILE", "ENOBUFS", "EPROTO", "EPERM"], "one_in": 6}]},
    {"calls": [{"call": "send", "errors": ["ENOBUFS", "EAGAIN", "EINTR"], "one_in": 15}]},
    {"wall_clock_offset_s": 3600},
    {"wall_clock_offset_s": -3600},
)
Target = TypeVar("Target", EmulatedEndpoint, RouterProcess)


@dataclass(slots=True, frozen=True)
class FleetSize:
    """The number of routers in a fleet, and the load on each router."""

    routers: int
    rate: float  # requests per second to each router


class Fleet:
    """The endpoints, routers and clients of one soak, with a record of the faults that are active."""

    def __init__(
        self, size: FleetSize, customer: Customer, rng: random.Random, oracle: Oracle, folder: Path
    ) -> None:
        self.size = size
        self.customer = customer
        self.registry = EndpointRegistry(oracle.drains)
        self.routers: list[RouterProcess] = []
        for position in range(size.routers):
            settings = router_settings(size.routers, position, customer)
            spec = RouterSpec(f"n{position}", settings, folder)
            self.routers.append(RouterProcess(oracle, self.registry, spec))
        self._oracle = oracle
        self._rng = rng
        self._load = [LoadGenerator(oracle, router, CLASSES, rng.getrandbits(32)) for router in self.routers]
        self._load_tasks: list[asyncio.Task[None]] = []
        self._endpoints: list[EmulatedEndpoint] = []
        # One endpoint of each kind is exempt from the faults that are injected into one endpoint at a time.
        self._exempt: set[EmulatedEndpoint] = set()
        self._faulty: set[object] = set()  # endpoints and routers that have a fault at present
        self._endpoint_count = 0

    async def start(self) -> None:
        """Start the endpoints and routers, then the clients."""
        for kind in self.customer.endpoint_kinds:
            endpoints = [await self.add_endpoint(kind) for _ in range(ENDPOINTS_OF_KIND)]
            self._exempt.add(endpoints[0])
            await self.registry.update(*(endpoint.entry() for endpoint in endpoints))
        for router in self.routers:
            self.draw_fault_plan(router)
        await asyncio.gather(*(router.start() for router in self.routers))
        await asyncio.gather(*(load.open_idle_connections(self.customer.crowd_size) for load in self._load))
        self._load_tasks = [asyncio.ensure_future(load.generate(self.size.rate)) for load in self._load]

    def stop_load(self) -> None:
        """Stop sending new requests to the routers."""
        for task in self._load_tasks:
            task.cancel()

    async def stop(self) -> None:
        """Stop all routers and endpoints."""
        await asyncio.gather(*(router.stop() for router in self.routers if router.is_running))
        for endpoint in self._endpoints:
            await endpoint.stop()

    async def add_endpoint(self, kind: str) -> EmulatedEndpoint:
        """Start and return a new endpoint. The caller adds it to the endpoint list of discovery."""
        self._endpoint_count += 1
        name = f"{kind[0]}{self._endpoint_count}"
        endpoint = EmulatedEndpoint(self._oracle, name, kind, random.Random(self._rng.getrandbits(32)))
        await endpoint.start()
        self._endpoints.append(endpoint)
        return endpoint

    async def remove_endpoint(self, endpoint: EmulatedEndpoint) -> None:
        """Stop an endpoint and remove it from the fleet."""
        self._endpoints.remove(endpoint)
        await endpoint.stop()

    def draw_fault_plan(self, router: RouterProcess) -> None:
        """Draw the fault plan that a router uses from its next start on."""
        router.fault_plan = {"seed": self._rng.getrandbits(16), **self._rng.choice(FAULT_PLANS)}

    def draw_endpoint(self) -> EmulatedEndpoint | None:
        """Draw an endpoint that has no fault and is not exempt from faults. Return None if there is none."""
        return self._draw(endpoint for endpoint in self._endpoints if endpoint not in self._exempt)

    @property
    def endpoints(self) -> tuple[EmulatedEndpoint, ...]:
        """Return all running endpoints."""
        return tuple(self._endpoints)

    def draw_router(self) -> RouterProcess | None:
        """Draw a ready router that has no fault. Return None if there is none."""
        return self._draw(router for router in self.routers if router.ready)

    def mark_faulty(self, target: Target) -> None:
        """Record that an endpoint or router has a fault, which excludes it from further faults."""
        self._faulty.add(target)

    def is_faulty(self, target: Target) -> bool:
        """Return whether an endpoint or router has a fault at present."""
        return target in self._faulty

    def mark_healthy(self, target: Target) -> None:
        """Record that the fault of an endpoint or router has ended."""
        self._faulty.discard(target)

    def _draw(self, candidates: Iterable[Target]) -> Target | None:
        healthy = [candidate for candidate in candidates if candidate not in self._faulty]
        return self._rng.choice(healthy) if healthy else None
