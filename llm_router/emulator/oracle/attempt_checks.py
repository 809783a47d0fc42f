"""Check each attempt when its first bytes arrive at the proxy of an endpoint."""

from __future__ import annotations

from llm_router.emulator.oracle.drain_check import DrainCheck
from llm_router.emulator.oracle.oracle_clock import OracleClock
from llm_router.emulator.oracle.traffic_record import RequestRecord, TrafficRecord
from llm_router.emulator.oracle.violations import Rule, ViolationLog

DEADLINE_SLACK = 0.15  # seconds by which an attempt's time remaining may exceed the client's
DISCONNECT_SLACK = 0.1  # seconds after a client's disconnect during which an attempt may still start


class AttemptChecks:
    """Checks of an attempt against its client's connection, its deadline and its endpoint's drain."""

    def __init__(
        self, traffic: TrafficRecord, clock: OracleClock, violations: ViolationLog, drains: DrainCheck
    ) -> None:
        self._traffic = traffic
        self._clock = clock
        self._violations = violations
        self._drains = drains

    def attempt_started(self, request_id: str, endpoint: str, time_remaining: float | None) -> None:
        """Check an attempt; `time_remaining` is in seconds, None if the attempt has no such header."""
        record = self._traffic.requests.get(request_id)
        if record is None:
            self._violations.add(Rule.DUPLICATE, endpoint, f"{request_id}: attempt for an unknown request")
            return
        self._traffic.counts["attempts"] += 1
        self._check_client_connected(record)
        if time_remaining is not None:
            self._check_deadline(record, time_remaining)
        self._drains.attempt_started(record, endpoint)

    def _check_client_connected(self, record: RequestRecord) -> None:
        if record.disconnected_at is None:
            return
        late = self._clock.now - record.disconnected_at
        if late > DISCONNECT_SLACK + self._clock.proxy_delay:
            detail = f"{record.id}: attempt {late:.3f} s after its client disconnected"
            self._violations.add(Rule.DISCONNECTED, record.router, detail)

    def _check_deadline(self, record: RequestRecord, time_remaining: float) -> None:
        if record.deadline is None:
            return
        excess = time_remaining - (record.deadline - self._clock.now)
        if excess > DEADLINE_SLACK + self._clock.proxy_delay:
            detail = f"{record.id}: the time remaining of an attempt is {excess:.3f} s too long"
            self._violations.add(Rule.DEADLINE, record.router, detail)
