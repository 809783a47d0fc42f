"""Detects by the ends of attempts that an endpoint is down, overloaded or slow."""

from __future__ import annotations

from llm_router.routing.context import PolicyContext
from llm_router.routing.duration import MILLISECOND
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.events import AttemptEnded, AttemptStatus, ConnectionFault
from llm_router.routing.gossip import Gossip
from llm_router.routing.gossip_codec import Symptom
from llm_router.routing.settings import Role
from llm_router.routing.statistics import MovingAverage
from llm_router.routing.tracked_request import Attempt, TrackedRequest

MAX_CONSECUTIVE_FAILURES = 2  # that make an endpoint down; a lone reset is common
QUICK_FAILURE = 100 * MILLISECOND  # nanoseconds: a connection that fails after longer makes it down alone
SLOW_FACTOR = 4.0  # multiple of the usual first step that makes a decode endpoint slow
OVERTAKING_MARGIN = 500 * MILLISECOND  # nanoseconds: what was sent so much earlier is lost, not queued


class FailureDetector:
    """Counts failures and times first steps; what it detects it reports as gossip."""

    def __init__(self, context: PolicyContext, gossip: Gossip) -> None:
        self.context = context
        self.gossip = gossip
        self._first_step = {role: MovingAverage() for role in Role}  # nanoseconds

    def record_response(self, attempt: Attempt) -> None:
        """Note that an endpoint has answered an attempt: it is up again."""
        endpoint = attempt.endpoint
        endpoint.overtaken_before = max(endpoint.overtaken_before, attempt.sent_at - OVERTAKING_MARGIN)
        endpoint.last_response_at = self.context.now
        endpoint.consecutive_ejections = 0
        endpoint.ejected_until = 0
        endpoint.consecutive_errors = 0

    def record_failure(self, endpoint: EndpointState, event: AttemptEnded) -> None:
        """Record an error or a broken connection.

        Two in sequence, or one after a wait that hurts, make an endpoint down: one that fails at once seems
        the least busy, and a lone reset must not cost a healthy endpoint. An idle connection that was reset
        says nothing, it may have been closed as idle; nor does a local system call that failed."""
        is_error = event.status is AttemptStatus.ERROR
        if not is_error and event.connection_fault is not ConnectionFault.NONE:
            return
        endpoint.consecutive_errors += 1
        was_slow = not is_error and event.elapsed > QUICK_FAILURE
        if was_slow or endpoint.consecutive_errors >= MAX_CONSECUTIVE_FAILURES:
            self.gossip.report(Symptom.DOWN, endpoint)

    def record_overload(self, endpoint: EndpointState, request: TrackedRequest) -> None:
        """Record that an endpoint has rejected a request as overloaded."""
        self.gossip.report(Symptom.OVERLOADED, endpoint, request.tenant_class)

    def record_first_token(self, attempt: Attempt, elapsed: int) -> None:
        """Detect a decode endpoint that slows down, by the first token of a KV state that lay there already.

        That takes a step or two. It finds endpoints that age and then fail with their streams, and any that
        is slower than the others. Only with gossip: a lone instance learns of it too late, and a passing
        stall looks alike."""
        if not self.context.settings.gossip or not self._state_was_there(attempt):
            return
        usual = self._first_step[attempt.endpoint.role]
        limit = SLOW_FACTOR * (usual.value or elapsed)
        if elapsed > limit:
            self.gossip.report(Symptom.SLOW, attempt.endpoint)
        usual.add(min(elapsed, limit))

    @staticmethod
    def _state_was_there(attempt: Attempt) -> bool:
        """Return whether the KV state was sent to a reservation in the prefill endpoint's own cell."""
        prefill_target = attempt.request.prefill_target
        if prefill_target is None or attempt.endpoint is not attempt.request.reserved_endpoint:
            return False
        return prefill_target.entry.cell == attempt.endpoint.entry.cell
