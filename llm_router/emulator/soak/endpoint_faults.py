"""Inject faults of endpoints and of the network before them."""

from __future__ import annotations

import asyncio
import random
import time
from functools import partial

from llm_router.emulator.endpoint import EndpointBehaviour
from llm_router.emulator.oracle.oracle_clock import OracleClock
from llm_router.emulator.oracle.slow_start_check import SlowStart
from llm_router.emulator.oracle.traffic_record import TrafficRecord
from llm_router.emulator.soak.fault import Fault
from llm_router.emulator.soak.fleet import ENDPOINTS_OF_KIND, Fleet
from llm_router.emulator.soak.scenario import (
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW,
    SLOW_START_SHARE,
    SLOW_START_WINDOW,
)

SILENT_BEHAVIOURS = (  # what the endpoints of one kind do together
    EndpointBehaviour.HANGING,
    EndpointBehaviour.FROZEN,
    EndpointBehaviour.MUTE,
    EndpointBehaviour.TRUNCATING,
)
LOST_ANSWERS_FACTOR = 3.0  # of a fault's usual seconds: longer than a release used to be tried
RESET_SHARE = 0.5  # of the partitions: those after which open connections are reset


class EndpointFaults:
    """The faults of endpoints of one fleet."""

    def __init__(self, fleet: Fleet, rng: random.Random, clock: OracleClock, traffic: TrafficRecord) -> None:
        self._fleet = fleet
        self._rng = rng
        self._clock = clock
        self._traffic = traffic
        self._kinds = fleet.customer.endpoint_kinds

    @property
    def faults(self) -> tuple[Fault, ...]:
        """Return the faults that can be injected."""
        return (
            Fault("misbehave", self._misbehave),
            Fault("partition", self._partition),
            Fault("refuse", self._refuse_connections),
            Fault("reset", self._reset_connections),
            Fault("replace", self._replace),
            Fault("lose answers", self._lose_answers),
            *(
                Fault(f"{behaviour.name.lower()} together", partial(self._misbehave_together, behaviour))
                for behaviour in SILENT_BEHAVIOURS
            ),
        )

    async def _misbehave(self, seconds: float) -> str | None:
        """Let an endpoint hang, reject, fail, reset or send malformed responses for a time."""
        endpoint = self._fleet.draw_endpoint()
        if endpoint is None:
            return None
        self._fleet.mark_faulty(endpoint)
        faulty = [each for each in EndpointBehaviour if each is not EndpointBehaviour.NORMAL]
        behaviour = self._rng.choice(faulty)
        endpoint.set_behaviour(behaviour)
        await asyncio.sleep(seconds)
        endpoint.set_behaviour(EndpointBehaviour.NORMAL)
        self._fleet.mark_healthy(endpoint)
        return f"{endpoint.name} {behaviour.name}"

    async def _misbehave_together(self, behaviour: EndpointBehaviour, seconds: float) -> str | None:
        """Let all healthy endpoints of one kind, or of all kinds, fall silent in one way for a time."""
        groups: list[tuple[str, ...]] = [(kind,) for kind in self._kinds]
        if behaviour is not EndpointBehaviour.FROZEN:  # some endpoint must read releases
            groups.append(self._kinds)
        kinds = self._rng.choice(groups)
        endpoints = [
            each for each in self._fleet.endpoints if each.kind in kinds and not self._fleet.is_faulty(each)
        ]
        for endpoint in endpoints:
            self._fleet.mark_faulty(endpoint)
            endpoint.set_behaviour(behaviour)
        await asyncio.sleep(seconds)
        for endpoint in endpoints:
            endpoint.set_behaviour(EndpointBehaviour.NORMAL)
            self._fleet.mark_healthy(endpoint)
        return " and ".join(kinds) if endpoints else None

    async def _partition(self, seconds: float) -> str | None:
        """Cut an endpoint off: nothing passes, and connections may be reset once it is back."""
        endpoint = self._fleet.draw_endpoint()
        if endpoint is None:
            return None
        self._fleet.mark_faulty(endpoint)
        endpoint.proxy.partition()
        self._traffic.unreachable_until[endpoint.name] = float("inf")
        await asyncio.sleep(seconds)
        self._traffic.unreachable_until[endpoint.name] = self._clock.now
        if self._rng.random() < RESET_SHARE:
            endpoint.proxy.reset()
        endpoint.proxy.end_partition()
        self._fleet.mark_healthy(endpoint)
        return endpoint.name

    async def _lose_answers(self, seconds: float) -> str | None:
        """Hold up what all endpoints send, while what they are sent arrives."""
        endpoints = self._fleet.endpoints
        if any(self._fleet.is_faulty(endpoint) for endpoint in endpoints):
            return None
        for endpoint in endpoints:
            self._fleet.mark_faulty(endpoint)
            self._traffic.unreachable_until[endpoint.name] = float("inf")
            endpoint.proxy.block_responses()
        await asyncio.sleep(seconds * LOST_ANSWERS_FACTOR)
        for endpoint in endpoints:
            self._traffic.unreachable_until[endpoint.name] = self._clock.now
            endpoint.proxy.end_partition()
            self._fleet.mark_healthy(endpoint)
        return "all endpoints"

    async def _refuse_connections(self, seconds: float) -> str | None:
        """Let an endpoint refuse new connections for a time."""
        endpoint = self._fleet.draw_endpoint()
        if endpoint is None:
            return None
        self._fleet.mark_faulty(endpoint)
        endpoint.proxy.refuse()
        await asyncio.sleep(seconds)
        await endpoint.proxy.listen()
        self._fleet.mark_healthy(endpoint)
        return endpoint.name

    async def _reset_connections(self, _seconds: float) -> str | None:
        """Reset an endpoint's connections."""
        endpoint = self._fleet.draw_endpoint()
        if endpoint is None:
            return None
        endpoint.proxy.reset()
        return endpoint.name

    async def _replace(self, seconds: float) -> str | None:
        """Let a new endpoint join in slow start, and an old one drain and stop."""
        old = self._fleet.draw_endpoint()
        if old is None:
            return None
        self._fleet.mark_faulty(old)
        new = await self._fleet.add_endpoint(old.kind)
        self._fleet.mark_faulty(new)
        new.begin_slow_start(self._slow_start())
        starting = new.entry(since_ms=int(time.time() * 1000))
        await self._fleet.registry.update(starting, old.entry(status="Terminating"))
        await asyncio.sleep(max(seconds, SLOW_START_WINDOW))
        self._fleet.mark_healthy(new)
        await self._fleet.registry.update(old.entry(status="Gone"))
        await asyncio.sleep(seconds)
        await self._fleet.remove_endpoint(old)
        return f"{old.name} by {new.name}"

    def _slow_start(self) -> SlowStart:
        """Return the slow start of an endpoint that starts now."""
        size = self._fleet.size
        mean_calls = size.routers * size.rate / ENDPOINTS_OF_KIND * OVERLOAD_WINDOW
        return SlowStart(
            ends_at=self._clock.now + SLOW_START_WINDOW,
            allowed_calls=OVERLOAD_FACTOR * SLOW_START_SHARE * mean_calls,
            overload_window=OVERLOAD_WINDOW,
        )
