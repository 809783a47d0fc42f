"""Check that each accepted request gets its answer in time."""

from __future__ import annotations

from llm_router.emulator.oracle.oracle_clock import OracleClock
from llm_router.emulator.oracle.traffic_record import Idempotency, RequestRecord, TrafficRecord
from llm_router.emulator.oracle.violations import Rule, ViolationLog

ANSWER_SLACK = 0.5  # seconds after its deadline in which a request may still get its final answer
EVENT_SLACK = 0.3  # seconds from the writing of an event by its endpoint to its arrival at the client


class ClientChecks:
    """Checks over what clients observe."""

    def __init__(self, traffic: TrafficRecord, clock: OracleClock, violations: ViolationLog) -> None:
        self._traffic = traffic
        self._clock = clock
        self._violations = violations

    def request_started(self, request_id: str, router: str, idempotency: Idempotency) -> RequestRecord:
        """Record a request that a client begins to write."""
        self._traffic.counts["requests"] += 1
        record = RequestRecord(request_id, router, idempotency)
        self._traffic.requests[request_id] = record
        return record

    def request_written(self, request_id: str, time_remaining: float) -> None:
        """Record that a request's last byte was written; its client gives up after that many seconds."""
        record = self._traffic.requests[request_id]
        record.written_at = self._clock.now
        record.deadline = record.written_at + time_remaining

    def client_disconnected(self, request_id: str) -> None:
        """Record that a client closes its connection."""
        record = self._traffic.requests[request_id]
        if not record.answered and record.disconnected_at is None:
            record.disconnected_at = self._clock.now

    def request_abandoned(self, request_id: str) -> None:
        """Record that a client expects no answer any more, since the test killed or cut off its router."""
        self._traffic.requests[request_id].disconnected_at = self._clock.now

    def response_received(self, request_id: str, status: int) -> None:
        """Record a final answer: by its first byte for a stream, by its last byte for any other."""
        record = self._traffic.requests[request_id]
        self._traffic.counts[f"answer {status}"] += 1
        record.answered = True
        late = self._clock.now - (record.deadline or self._clock.now)
        if late > ANSWER_SLACK + self._clock.scheduling_delay:
            self._violations.add(
                Rule.LOST, record.router, f"{request_id} was answered {late:.3f} s after its deadline"
            )

    def closed_unanswered(self, request_id: str, reason: str) -> None:
        """Record that a router closed the connection of a written request without an answer."""
        record = self._traffic.requests[request_id]
        if record.disconnected_at is None and not record.answered:
            self._violations.add(Rule.LOST, record.router, f"{request_id}: {reason}")

    def event_received(self, request_id: str, endpoint: str, written_at: float) -> None:
        """Check how long an event took to its client, unless its endpoint was unreachable meanwhile."""
        took = self._clock.now - written_at
        if took <= EVENT_SLACK + self._clock.scheduling_delay:
            return
        if self._traffic.unreachable_until.get(endpoint, 0.0) < written_at:
            router = self._traffic.requests[request_id].router
            self._violations.add(Rule.EVENT, router, f"{request_id}: an event took {took:.3f} s")
