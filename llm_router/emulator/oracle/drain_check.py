"""Check that a draining endpoint gets no new attempts after the drain grace period."""

from __future__ import annotations

from llm_router.emulator.oracle.oracle_clock import OracleClock
from llm_router.emulator.oracle.traffic_record import RequestRecord
from llm_router.emulator.oracle.violations import Rule, ViolationLog

DELIVERY_LIMIT = 6.0  # seconds after which an announced drain counts as delivered in any case


class DrainCheck:
    """The check of attempts against the drains that discovery announced."""

    def __init__(self, drain_grace: float, clock: OracleClock, violations: ViolationLog) -> None:
        self._drain_grace = drain_grace
        self._clock = clock
        self._violations = violations
        self._announced_at: dict[str, float] = {}  # times of announced drains, keyed by endpoint
        # Times at which drains were delivered, keyed by router and endpoint.
        self._delivered_at: dict[tuple[str, str], float] = {}

    def drain_announced(self, endpoint: str) -> None:
        """Record that the endpoint list in discovery now shows an endpoint as draining."""
        self._announced_at.setdefault(endpoint, self._clock.now)

    def drain_delivered(self, router: str, endpoint: str) -> None:
        """Record that discovery sent an endpoint's drain to a router."""
        self._delivered_at.setdefault((router, endpoint), self._clock.now)

    def router_restarted(self, router: str) -> None:
        """Delete the record of drains that were delivered to a router before its restart."""
        delivered = [key for key in self._delivered_at if key[0] == router]
        for key in delivered:
            del self._delivered_at[key]

    def attempt_started(self, record: RequestRecord, endpoint: str) -> None:
        """Check that a new attempt does not reach its endpoint after the end of the drain grace period."""
        announced_at = self._announced_at.get(endpoint)
        if announced_at is None:
            return
        latest = announced_at + DELIVERY_LIMIT
        known_at = min(latest, self._delivered_at.get((record.router, endpoint), latest))
        late = self._clock.now - known_at - self._drain_grace
        if late > self._clock.scheduling_delay:
            detail = f"{record.id}: attempt at draining {endpoint}, {late:.3f} s after the drain grace"
            self._violations.add(Rule.DRAIN, record.router, detail)
