"""Combine the checks of all protocol rules over one shared traffic record."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from llm_router.emulator.oracle.attempt_checks import AttemptChecks
from llm_router.emulator.oracle.client_checks import ClientChecks
from llm_router.emulator.oracle.drain_check import DrainCheck
from llm_router.emulator.oracle.execution_checks import ExecutionChecks
from llm_router.emulator.oracle.lease_check import LeaseCheck
from llm_router.emulator.oracle.oracle_clock import OracleClock
from llm_router.emulator.oracle.traffic_record import TrafficRecord
from llm_router.emulator.oracle.violations import ViolationLog


class Oracle:
    """The checker of the protocol rules, with one check for each group of rules.

    Emulated clients, endpoints and discovery report each step to the matching check as it happens."""

    def __init__(
        self, release_timeout: float, drain_grace: float, time: Callable[[], float] | None = None
    ) -> None:
        """Create an oracle; limits are in seconds, and `time` defaults to the running event loop's clock."""
        self.clock = OracleClock(time or asyncio.get_running_loop().time)
        self.traffic = TrafficRecord()
        self.violations = ViolationLog(self.clock)
        self.clients = ClientChecks(self.traffic, self.clock, self.violations)
        self.drains = DrainCheck(drain_grace, self.clock, self.violations)
        self.leases = LeaseCheck(release_timeout, self.traffic, self.clock, self.violations)
        self.attempts = AttemptChecks(self.traffic, self.clock, self.violations, self.drains)
        self.executions = ExecutionChecks(self.traffic, self.clock, self.violations, self.leases)

    @property
    def is_idle(self) -> bool:
        """Return whether no request has an attempt in flight or leased resources."""
        requests = self.traffic.requests.values()
        return not any(request.leased or request.has_attempt_in_flight for request in requests)
