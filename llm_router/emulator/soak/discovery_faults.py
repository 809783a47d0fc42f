"""Inject faults into discovery."""

from __future__ import annotations

import asyncio
import random

from llm_router.emulator.soak.fault import Fault
from llm_router.emulator.soak.fleet import Fleet

MAX_RESPONSE_DELAY = 0.9  # maximum seconds by which an overloaded discovery agent delays its responses
RESET_SHARE = 0.5  # probability that a watch reset affects a given router


class DiscoveryFaults:
    """The faults that a soak injects into the discovery of one fleet."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng

    @property
    def faults(self) -> tuple[Fault, ...]:
        """Return the discovery faults from which the schedule draws."""
        return (
            Fault("outage", self._outage),
            Fault("overload", self._overload),
            Fault("watch reset", self._reset_watches),
        )

    async def _outage(self, seconds: float) -> str | None:
        """Make discovery unavailable for some seconds: no agent answers."""
        available = self._fleet.registry.available
        if not available.is_set():
            return None
        available.clear()
        await asyncio.sleep(seconds)
        available.set()
        return "discovery"

    async def _overload(self, seconds: float) -> str | None:
        """Delay the responses of each router's discovery agent for some seconds."""
        for router in self._fleet.routers:
            router.agent.response_delay = self._rng.uniform(0, MAX_RESPONSE_DELAY)
        await asyncio.sleep(seconds)
        for router in self._fleet.routers:
            router.agent.response_delay = 0.0
        return "discovery"

    async def _reset_watches(self, _seconds: float) -> str | None:
        """Reset the discovery connections of randomly drawn routers."""
        for router in self._fleet.routers:
            if self._rng.random() < RESET_SHARE:
                router.agent.reset()
        return "watches"
