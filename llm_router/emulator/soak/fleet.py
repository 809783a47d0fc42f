"""Start and stop the fleet of a soak: endpoints, discovery, routers and their clients."""

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

ENDPOINTS_OF_KIND = 4
FAULT_PLANS: tuple[dict[str, Any], ...] = (  # of system calls that fail in a router
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
    """How many routers a fleet has, and the requests a second to each."""

    routers: int
    rate: float


class Fleet:
    """The fleet of one soak, and which of its members a fault may hit at present."""

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
        self._protected: set[EmulatedEndpoint] = set()  # one of each kind that no fault hits
        self._faulty: set[object] = set()  # endpoints and routers that a fault hits at present
        self._endpoint_count = 0

    async def start(self) -> None:
        """Start endpoints and routers, then the clients."""
        for kind in self.customer.endpoint_kinds:
            endpoints = [await self.add_endpoint(kind) for _ in range(ENDPOINTS_OF_KIND)]
            self._protected.add(endpoints[0])
            await self.registry.update(*(endpoint.entry() for endpoint in endpoints))
        for router in self.routers:
            self.draw_fault_plan(router)
        await asyncio.gather(*(router.start() for router in self.routers))
        await asyncio.gather(*(load.open_idle_connections(self.customer.crowd_size) for load in self._load))
        self._load_tasks = [asyncio.ensure_future(load.generate(self.size.rate)) for load in self._load]

    def stop_load(self) -> None:
        """Let no new requests come."""
        for task in self._load_tasks:
            task.cancel()

    async def stop(self) -> None:
        """Stop routers and endpoints."""
        await asyncio.gather(*(router.stop() for router in self.routers if router.is_running))
        for endpoint in self._endpoints:
            await endpoint.stop()

    async def add_endpoint(self, kind: str) -> EmulatedEndpoint:
        """Start another endpoint, which discovery does not list yet."""
        self._endpoint_count += 1
        name = f"{kind[0]}{self._endpoint_count}"
        endpoint = EmulatedEndpoint(self._oracle, name, kind, random.Random(self._rng.getrandbits(32)))
        await endpoint.start()
        self._endpoints.append(endpoint)
        return endpoint

    async def remove_endpoint(self, endpoint: EmulatedEndpoint) -> None:
        """Stop an endpoint for good."""
        self._endpoints.remove(endpoint)
        await endpoint.stop()

    def draw_fault_plan(self, router: RouterProcess) -> None:
        """Draw the system calls that fail in a router from its next start on."""
        router.fault_plan = {"seed": self._rng.getrandbits(16), **self._rng.choice(FAULT_PLANS)}

    def draw_endpoint(self) -> EmulatedEndpoint | None:
        """Draw an endpoint that no fault hits, None where there is none; protected ones are left out."""
        return self._draw(endpoint for endpoint in self._endpoints if endpoint not in self._protected)

    @property
    def endpoints(self) -> tuple[EmulatedEndpoint, ...]:
        """Return all endpoints that run."""
        return tuple(self._endpoints)

    def draw_router(self) -> RouterProcess | None:
        """Draw a ready router that no fault hits, None where there is none."""
        return self._draw(router for router in self.routers if router.ready)

    def mark_faulty(self, target: Target) -> None:
        """Let no further fault hit an endpoint or router."""
        self._faulty.add(target)

    def is_faulty(self, target: Target) -> bool:
        """Return whether a fault hits an endpoint or router."""
        return target in self._faulty

    def mark_healthy(self, target: Target) -> None:
        """Let faults hit an endpoint or router again."""
        self._faulty.discard(target)

    def _draw(self, candidates: Iterable[Target]) -> Target | None:
        healthy = [candidate for candidate in candidates if candidate not in self._faulty]
        return self._rng.choice(healthy) if healthy else None
