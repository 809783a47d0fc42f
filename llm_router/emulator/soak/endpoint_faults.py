"""Inject faults into endpoints and into the network between routers and endpoints."""

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

# Each of these failures is injected into all endpoints of one kind, or of all kinds, at the same time.
CORRELATED_FAILURES = (
    EndpointBehaviour.HANGING,
    EndpointBehaviour.FROZEN,
    EndpointBehaviour.MUTE,
    EndpointBehaviour.TRUNCATING,
    EndpointBehaviour.MALFORMED,
)
# A loss of responses lasts this many times as long as other faults, so up to 7.5 s.
# The router must retry release calls for all this time.
# A release that ends unacknowledged leaves resources leased.
LOST_RESPONSES_FACTOR = 3.0
RESET_SHARE = 0.5  # probability that the endpoint's connections are reset at the end of a partition


class EndpointFaults:
    """The faults that a soak injects into the endpoints of one fleet and into their network."""

    def __init__(self, fleet: Fleet, rng: random.Random, clock: OracleClock, traffic: TrafficRecord) -> None:
        self._fleet = fleet
        self._rng = rng
        self._clock = clock
        self._traffic = traffic
        self._kinds = fleet.customer.endpoint_kinds

    @property
    def faults(self) -> tuple[Fault, ...]:
        """Return the endpoint faults from which the schedule draws."""
        return (
            Fault("misbehave", self._fail_one_endpoint),
            Fault("partition", self._partition),
            Fault("refuse", self._refuse_connections),
            Fault("reset", self._reset_connections),
            Fault("replace", self._replace),
            Fault("lose answers", self._lose_responses),
            *(
                Fault(f"{behaviour.name.lower()} together", partial(self._fail_endpoints_together, behaviour))
                for behaviour in CORRELATED_FAILURES
            ),
        )

    async def _fail_one_endpoint(self, seconds: float) -> str | None:
        """Make one endpoint fail for some seconds in a randomly drawn way, such as by hanging."""
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

    async def _fail_endpoints_together(self, behaviour: EndpointBehaviour, seconds: float) -> str | None:
        """Make all healthy endpoints of one kind, or of all kinds, fail in the same way for some seconds."""
        groups: list[tuple[str, ...]] = [(kind,) for kind in self._kinds]
        if behaviour is not EndpointBehaviour.FROZEN:  # A release needs an endpoint that reads its calls.
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
        """Partition an endpoint from the routers. Its connections may be reset when the partition ends."""
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

    async def _lose_responses(self, seconds: float) -> str | None:
        """Withhold the responses of all endpoints for some seconds. Calls to the endpoints still arrive."""
        endpoints = self._fleet.endpoints
        if any(self._fleet.is_faulty(endpoint) for endpoint in endpoints):
            return None
        for endpoint in endpoints:
            self._fleet.mark_faulty(endpoint)
            self._traffic.unreachable_until[endpoint.name] = float("inf")
            endpoint.proxy.block_responses()
        await asyncio.sleep(seconds * LOST_RESPONSES_FACTOR)
        for endpoint in endpoints:
            self._traffic.unreachable_until[endpoint.name] = self._clock.now
            endpoint.proxy.end_partition()
            self._fleet.mark_healthy(endpoint)
        return "all endpoints"

    async def _refuse_connections(self, seconds: float) -> str | None:
        """Make an endpoint refuse new connections for some seconds."""
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
        """Reset all open connections of an endpoint."""
        endpoint = self._fleet.draw_endpoint()
        if endpoint is None:
            return None
        endpoint.proxy.reset()
        return endpoint.name

    async def _replace(self, seconds: float) -> str | None:
        """Replace an endpoint: add one in slow start, and drain and remove the old one."""
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
        """Return the window and the call limit of slow start for an endpoint that starts now."""
        size = self._fleet.size
        mean_calls = size.routers * size.rate / ENDPOINTS_OF_KIND * OVERLOAD_WINDOW
        return SlowStart(
            ends_at=self._clock.now + SLOW_START_WINDOW,
            allowed_attempts=OVERLOAD_FACTOR * SLOW_START_SHARE * mean_calls,
            overload_window=OVERLOAD_WINDOW,
        )
