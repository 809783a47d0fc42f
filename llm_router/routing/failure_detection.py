"""Detects endpoints that are down, overloaded or slow from the results of attempts."""

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

# Consecutive failures after which an endpoint counts as down. A single connection reset is common.
MAX_CONSECUTIVE_FAILURES = 2
# Nanoseconds. An endpoint counts as down after a single connection failure that takes longer than this.
SLOW_FAILURE_THRESHOLD = 100 * MILLISECOND
SLOW_FACTOR = 4.0  # multiple of the mean time to the first token above which a decode endpoint counts as slow
# Nanoseconds. An attempt sent this long before an answered attempt counts as lost rather than queued.
OVERTAKING_MARGIN = 500 * MILLISECOND


class FailureDetector:
    """Tracks failures and times to the first token, and reports symptoms of endpoints through gossip."""

    def __init__(self, context: PolicyContext, gossip: Gossip) -> None:
        self.context = context
        self.gossip = gossip
        # Mean nanoseconds from a decode attempt to its first token, by the role of the endpoint.
        self._first_token_time = {role: MovingAverage() for role in Role}

    def record_response(self, attempt: Attempt) -> None:
        """Record that an endpoint has answered an attempt, and so is up."""
        endpoint = attempt.endpoint
        endpoint.overtaken_before = max(endpoint.overtaken_before, attempt.sent_at - OVERTAKING_MARGIN)
        endpoint.last_response_at = self.context.now
        endpoint.consecutive_ejections = 0
        endpoint.ejected_until = 0
        endpoint.consecutive_errors = 0

    def record_failure(self, endpoint: EndpointState, event: AttemptEnded) -> None:
        """Record an error answer or a connection failure of an endpoint.

        Two consecutive failures, or one slow connection failure, mark the endpoint as down. Otherwise an
        endpoint that fails at once would look the least busy and attract requests. A single reset is not
        enough, so that a healthy endpoint stays in use. Resets of stale pooled connections and failures of
        local system calls are ignored, because they do not come from the endpoint."""
        is_error = event.status is AttemptStatus.ERROR
        if not is_error and event.connection_fault is not ConnectionFault.NONE:
            return
        endpoint.consecutive_errors += 1
        was_slow = not is_error and event.elapsed > SLOW_FAILURE_THRESHOLD
        if was_slow or endpoint.consecutive_errors >= MAX_CONSECUTIVE_FAILURES:
            self.gossip.report(Symptom.DOWN, endpoint)

    def record_overload(self, endpoint: EndpointState, request: TrackedRequest) -> None:
        """Record that an endpoint has rejected a request as overloaded."""
        self.gossip.report(Symptom.OVERLOADED, endpoint, request.tenant_class)

    def record_first_token(self, attempt: Attempt, elapsed: int) -> None:
        """Detect a decode endpoint that slows down, by its time to the first token.

        Only attempts whose KV state was transferred early count, because they need just a step or two for the
        first token. The check finds endpoints that slow down before they fail with their streams, and
        endpoints that are slower than the others. It runs only with gossip: a single instance detects the
        slowdown too late, and cannot tell it from a short stall."""
        if not self.context.settings.gossip or not self._was_transferred_early(attempt):
            return
        usual = self._first_token_time[attempt.endpoint.role]
        limit = SLOW_FACTOR * (usual.value or elapsed)
        if elapsed > limit:
            self.gossip.report(Symptom.SLOW, attempt.endpoint)
        usual.add(min(elapsed, limit))

    @staticmethod
    def _was_transferred_early(attempt: Attempt) -> bool:
        """Return whether the KV state went to a reservation in the same cell as the prefill endpoint."""
        prefill_target = attempt.request.prefill_target
        if prefill_target is None or attempt.endpoint is not attempt.request.reserved_endpoint:
            return False
        return prefill_target.entry.cell == attempt.endpoint.entry.cell
