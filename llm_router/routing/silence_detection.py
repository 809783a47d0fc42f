"""Detects endpoints and attempts that have stopped responding."""

from __future__ import annotations

from llm_router.routing.cancellation import cancel_attempts
from llm_router.routing.context import PolicyContext
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.outlier_ejection import OutlierEjection
from llm_router.routing.prefill_estimates import PrefillEstimates
from llm_router.routing.settings import Idempotency
from llm_router.routing.statistics import MovingAverage
from llm_router.routing.tracked_request import Attempt, TrackedRequest

SILENCE_FACTOR = 6.0  # multiple of the mean response time of a phase after which an endpoint counts as silent
# Lower bounds of the silence limit, as multiples of the shortest latency objective.
MIN_PREFILL_SILENCE = 0.5
# The bound for a decode attempt is higher because repeating a decode attempt costs more.
MIN_DECODE_SILENCE = 1.5


class SilenceDetector:
    """Ejects silent endpoints and cancels the attempts that wait there.

    It detects endpoints that hang or are unreachable before the endpoint list reports them. A long queue
    looks the same. For this reason the times of cancelled attempts raise the mean response time of the phase,
    and attempts that may not be repeated are not cancelled."""

    def __init__(
        self, context: PolicyContext, estimates: PrefillEstimates, ejection: OutlierEjection
    ) -> None:
        self.context = context
        self.estimates = estimates
        self.ejection = ejection
        self.prefill_time = MovingAverage()  # mean nanoseconds of a prefill
        self.first_token_time = MovingAverage()  # mean nanoseconds from a decode attempt to its first token

    def record_prefill(self, elapsed: int) -> None:
        """Record the duration of a prefill in nanoseconds."""
        self.prefill_time.add(elapsed)

    def record_first_token(self, elapsed: int) -> None:
        """Record the time to the first token of a decode attempt in nanoseconds."""
        self.first_token_time.add(elapsed)

    def check(self, waiting: list[TrackedRequest]) -> None:
        """Check the endpoints and attempts of the waiting requests for silence."""
        attempts = [attempt for request in waiting for attempt in request.open_attempts]
        for endpoint in dict.fromkeys(attempt.endpoint for attempt in attempts):
            self._check_endpoint(endpoint)
        overtaken = [attempt for attempt in attempts if attempt.is_overtaken and not attempt.failed]
        for attempt in overtaken:
            self._check_overtaken(attempt)

    def _check_endpoint(self, endpoint: EndpointState) -> None:
        oldest = endpoint.oldest_waiting
        if oldest is None:
            return
        silent_for = self.context.now - max(oldest.sent_at, endpoint.last_response_at)
        if silent_for <= self._silence_limit(oldest) or not self.ejection.eject_suspect(endpoint):
            return
        self._response_time(oldest).add(self.context.now - oldest.sent_at)
        attempts = endpoint.open_attempts.values()
        cancel_attempts(self.context, [attempt for attempt in attempts if _is_repeatable(attempt)])

    def _check_overtaken(self, attempt: Attempt) -> None:
        """Cancel an attempt that was lost at an endpoint that answers others.

        Without this check, the request would wait until its deadline."""
        silent_for = self.context.now - attempt.sent_at
        if _is_repeatable(attempt) and silent_for > self._silence_limit(attempt):
            attempt.failed = True
            cancel_attempts(self.context, [attempt])

    def _silence_limit(self, attempt: Attempt) -> float:
        """Return how many nanoseconds an attempt may wait without a response from its endpoint."""
        multiple = MIN_PREFILL_SILENCE if attempt.is_prefill else MIN_DECODE_SILENCE
        classes = self.context.settings.classes
        minimum = multiple * min(request_class.latency_objective for request_class in classes)
        mean_time = self._response_time(attempt).value or 0
        return max(SILENCE_FACTOR * mean_time, minimum) + self.estimates.duration(attempt.uncached_tokens)

    def _response_time(self, attempt: Attempt) -> MovingAverage:
        return self.prefill_time if attempt.is_prefill else self.first_token_time


def _is_repeatable(attempt: Attempt) -> bool:
    """Return whether an attempt may be cancelled and repeated even if it has run."""
    return attempt.is_prefill or attempt.request.request_class.idempotency is Idempotency.SAFE
