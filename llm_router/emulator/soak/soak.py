"""Run one soak: a fleet under traffic and randomized faults, checked by the oracle."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from llm_router.emulator.background_tasks import BackgroundTasks
from llm_router.emulator.oracle import Oracle, Violation
from llm_router.emulator.soak.discovery_faults import DiscoveryFaults
from llm_router.emulator.soak.endpoint_faults import EndpointFaults
from llm_router.emulator.soak.fault_schedule import FaultSchedule
from llm_router.emulator.soak.fleet import Fleet, FleetSize
from llm_router.emulator.soak.router_faults import RouterFaults
from llm_router.emulator.soak.scenario import DRAIN_GRACE, Customer

MAX_SETTLE_TIME = 12.0  # maximum seconds that open requests and faults get to end after the last new request
# Minimum seconds of waiting at the end of a soak, because cancelled calls may arrive that late.
MIN_SETTLE_TIME = 3.0
SETTLE_INTERVAL = 0.05  # seconds between two lease checks while requests and faults end


@dataclass(slots=True, frozen=True)
class ReportedViolation:
    """A violation, with a description of the faults that were active around it."""

    violation: Violation
    faults: str


@dataclass(slots=True, frozen=True)
class SoakResult:
    """The result of one soak."""

    customer: Customer
    counts: Counter[str]  # number of requests, attempts and responses, by outcome
    log_events: Counter[str]  # number of log events of all routers, by event name
    violations: tuple[ReportedViolation, ...]


class Soak:
    """One soak, whose traffic and faults are drawn from a seed."""

    def __init__(self, seed: int, size: FleetSize, folder: Path) -> None:
        rng = random.Random(seed)
        customer = Customer.draw(rng)
        self._oracle = Oracle(customer.release_timeout, DRAIN_GRACE)
        self._fleet = Fleet(size, customer, rng, self._oracle, folder)
        clock = self._oracle.clock
        faults = (
            *EndpointFaults(self._fleet, rng, clock, self._oracle.traffic).faults,
            *DiscoveryFaults(self._fleet, rng).faults,
            *RouterFaults(self._fleet, rng).faults,
        )
        self._schedule = FaultSchedule(faults, rng, clock)
        self._tasks = BackgroundTasks()

    async def run(self, seconds: float) -> SoakResult:
        """Inject faults under traffic for some seconds, then wait for their end and return the result."""
        clock = self._oracle.clock
        self._tasks.spawn(clock.measure_delay())
        await self._fleet.start()
        end = clock.now + seconds
        while clock.now < end:
            self._oracle.leases.check_all()
            await self._schedule.inject_next()
        self._fleet.stop_load()
        await self._settle()
        await self._fleet.stop()
        self._schedule.cancel()
        self._tasks.cancel()
        return self._result()

    async def _settle(self) -> None:
        """Wait until faults and requests have ended, and check the leases periodically."""
        clock = self._oracle.clock
        earliest = clock.now + MIN_SETTLE_TIME
        latest = clock.now + MAX_SETTLE_TIME
        while clock.now < earliest or (clock.now < latest and not self._is_settled):
            await asyncio.sleep(SETTLE_INTERVAL)
            self._oracle.leases.check_all()

    @property
    def _is_settled(self) -> bool:
        """Return whether all requests and all faults have ended."""
        return self._oracle.is_idle and not self._schedule.is_active

    def _result(self) -> SoakResult:
        violations = tuple(
            ReportedViolation(violation, self._schedule.describe_around(violation.began_at))
            for violation in self._oracle.violations.violations
        )
        log_events: Counter[str] = Counter()
        for router in self._fleet.routers:
            log_events += router.events
        return SoakResult(self._fleet.customer, self._oracle.traffic.counts, log_events, violations)
