"""Check that each request gets its final answer in time, and that stream events are not delayed."""

from __future__ import annotations

from llm_router.emulator.oracle.oracle_clock import OracleClock
from llm_router.emulator.oracle.traffic_record import Idempotency, RequestRecord, TrafficRecord
from llm_router.emulator.oracle.violations import Rule, ViolationLog

ANSWER_SLACK = 0.5  # seconds after the deadline within which the final answer may still arrive
MALFORMED_STREAM_LIMIT = 5.0  # seconds within which a router must end a stream that became malformed
EVENT_SLACK = 0.3  # maximum seconds from an endpoint's write of an event to its arrival at the client


class ClientChecks:
    """Checks of the observations of clients."""

    def __init__(self, traffic: TrafficRecord, clock: OracleClock, violations: ViolationLog) -> None:
        self._traffic = traffic
        self._clock = clock
        self._violations = violations

    def request_started(self, request_id: str, router: str, idempotency: Idempotency) -> RequestRecord:
        """Record that a client starts to write a request."""
        self._traffic.counts["requests"] += 1
        record = RequestRecord(request_id, router, idempotency)
        self._traffic.requests[request_id] = record
        return record

    def request_written(self, request_id: str, time_remaining: float) -> None:
        """Record that a request was fully written; its client gives up `time_remaining` seconds later."""
        record = self._traffic.requests[request_id]
        record.written_at = self._clock.now
        record.deadline = record.written_at + time_remaining

    def client_disconnected(self, request_id: str) -> None:
        """Record that a client disconnected, unless it already has the final answer."""
        record = self._traffic.requests[request_id]
        if not record.answered and record.disconnected_at is None:
            record.disconnected_at = self._clock.now

    def request_abandoned(self, request_id: str) -> None:
        """Record that a client expects no final answer, because its router was killed or is unreachable."""
        self._traffic.requests[request_id].disconnected_at = self._clock.now

    def response_received(self, request_id: str, status: int) -> None:
        """Record a final answer, and check that it arrives before its deadline plus ANSWER_SLACK."""
        record = self._traffic.requests[request_id]
        self._traffic.counts[f"answer {status}"] += 1
        record.answered = True
        late = self._clock.now - (record.deadline or self._clock.now)
        if late > ANSWER_SLACK + self._clock.scheduling_delay:
            self._violations.add(
                Rule.LOST, record.router, f"{request_id} was answered {late:.3f} s after its deadline"
            )

    def closed_unanswered(self, request_id: str, reason: str) -> None:
        """Report a request as lost if it has no final answer and its client has not disconnected."""
        record = self._traffic.requests[request_id]
        if record.disconnected_at is None and not record.answered:
            self._violations.add(Rule.LOST, record.router, f"{request_id}: {reason}")

    def stream_started(self, request_id: str) -> None:
        """Record that an endpoint begins a new stream for a request."""
        self._traffic.requests[request_id].malformed_at = None

    def stream_malformed(self, request_id: str) -> None:
        """Record that the stream for a request is malformed from now on."""
        self._traffic.requests[request_id].malformed_at = self._clock.now

    def stream_ended(self, request_id: str, *, is_complete: bool) -> None:
        """Check the end of a stream: a malformed one must end in time, and not as if it were whole."""
        record = self._traffic.requests[request_id]
        if record.malformed_at is None:
            return
        open_for = self._clock.now - record.malformed_at
        if is_complete:
            self._violations.add(Rule.LOST, record.router, f"{request_id}: a malformed stream ended as whole")
        elif open_for > MALFORMED_STREAM_LIMIT + self._clock.scheduling_delay:
            detail = f"{request_id}: a stream was open for {open_for:.3f} s after it became malformed"
            self._violations.add(Rule.LOST, record.router, detail)

    def event_received(self, request_id: str, endpoint: str, written_at: float) -> None:
        """Check the delay from an endpoint's write of an event to its arrival at the client.

        A delay is excused if a network partition of the endpoint ended after the write."""
        delay = self._clock.now - written_at
        if delay <= EVENT_SLACK + self._clock.scheduling_delay:
            return
        if self._traffic.unreachable_until.get(endpoint, 0.0) < written_at:
            router = self._traffic.requests[request_id].router
            self._violations.add(
                Rule.EVENT,
                router,
                f"{request_id}: an event arrived {delay:.3f} s after its endpoint wrote it",
            )
