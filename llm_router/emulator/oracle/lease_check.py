"""Check that endpoints hold no KV state or reservation of a request beyond the release timeout."""

from __future__ import annotations

from llm_router.emulator.oracle.oracle_clock import OracleClock
from llm_router.emulator.oracle.traffic_record import (
    LeasedResource,
    RequestRecord,
    ResourceKind,
    TrafficRecord,
)
from llm_router.emulator.oracle.violations import Rule, ViolationLog

LEASE_SLACK = 0.3  # seconds beyond the release timeout during which a resource may stay leased


class LeaseCheck:
    """The check of how long endpoints hold KV state and reservations for requests.

    The release timeout of a request runs while it has leased resources and no attempt in flight."""

    def __init__(
        self, release_timeout: float, traffic: TrafficRecord, clock: OracleClock, violations: ViolationLog
    ) -> None:
        self._release_timeout = release_timeout
        self._traffic = traffic
        self._clock = clock
        self._violations = violations

    def acquired(self, request_id: str, resource: LeasedResource) -> None:
        """Record that an endpoint now holds a resource for a request, and restart the release timeout."""
        record = self._traffic.requests[request_id]
        self.check(record)
        record.leased.add(resource)
        self.update_timer(record, restart=True)

    def release_received(self, request_id: str) -> None:
        """Record a release call, which frees a request's resources unless a decode attempt claims them."""
        record = self._traffic.requests.get(request_id)
        if record is None or record.decodes_before_first_token:
            return
        self.check(record)
        record.leased.clear()
        self.update_timer(record)

    def has_kv_state(self, request_id: str) -> bool:
        """Return whether an endpoint holds KV state for a request."""
        return any(each.kind is ResourceKind.KV_STATE for each in self._traffic.requests[request_id].leased)

    def router_killed(self, router: str) -> None:
        """Stop checking the leases of a killed router, because endpoints free them some seconds later."""
        for record in self._traffic.requests.values():
            if record.router == router:
                record.router_killed = True
                record.lease_timer_started_at = None

    def update_timer(self, record: RequestRecord, restart: bool = False) -> None:
        """Start or stop the release timeout according to the leased resources and the attempts in flight."""
        if not record.leased or record.has_attempt_in_flight or record.router_killed:
            record.lease_timer_started_at = None
        elif record.lease_timer_started_at is None or restart:
            record.lease_timer_started_at = self._clock.now

    def check(self, record: RequestRecord) -> None:
        """Report the leased resources of a request once if the release timeout is exceeded."""
        started_at = record.lease_timer_started_at
        if started_at is None:
            return
        age = self._clock.now - started_at
        if age <= self._release_timeout + LEASE_SLACK + self._clock.proxy_delay:
            return
        leased = ", ".join(sorted(map(str, record.leased)))
        self._violations.add(
            Rule.LEASE,
            record.router,
            f"{record.id}: {leased} leased for {age:.3f} s without an attempt in flight",
            started_at,
        )
        record.leased.clear()
        record.lease_timer_started_at = None

    def check_all(self) -> None:
        """Check the leases of all requests at the current time."""
        for record in self._traffic.requests.values():
            self.check(record)
