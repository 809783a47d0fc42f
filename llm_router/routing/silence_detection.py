"""Detects endpoints and attempts that went silent."""

from __future__ import annotations

from llm_router.routing.cancellation import cancel_attempts
from llm_router.routing.context import PolicyContext
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.outlier_ejection import OutlierEjection
from llm_router.routing.prefill_estimates import PrefillEstimates
from llm_router.routing.settings import Idempotency
from llm_router.routing.statistics import MovingAverage
from llm_router.routing.tracked_request import Attempt, TrackedRequest

SILENCE_FACTOR = 6.0  # multiple of a phase's mean time without a response that makes an endpoint silent
MIN_PREFILL_SILENCE = 0.5  # and at least this multiple of the shortest latency objective, for a prefill
MIN_DECODE_SILENCE = 1.5  # the same for a decode attempt, whose repeat costs more


class SilenceDetector:
    """Ejects silent endpoints and cancels what waits there.

    It finds endpoints that hang or are cut off before the endpoint list says so. A long queue looks alike: so
    the mean time of the phase learns from what is cancelled, and what may not be repeated is left to wait."""

    def __init__(
        self, context: PolicyContext, estimates: PrefillEstimates, ejection: OutlierEjection
    ) -> None:
        self.context = context
        self.estimates = estimates
        self.ejection = ejection
        self.prefill_time = MovingAverage()  # nanoseconds
        self.first_token_time = MovingAverage()  # nanoseconds of a decode attempt up to its first token

    def record_prefill(self, elapsed: int) -> None:
        """Record how many nanoseconds a prefill took."""
        self.prefill_time.add(elapsed)

    def record_first_token(self, elapsed: int) -> None:
        """Record how many nanoseconds the first token of a decode attempt took."""
        self.first_token_time.add(elapsed)

    def check(self, waiting: list[TrackedRequest]) -> None:
        """Look for silence at the endpoints of some requests without an answer."""
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
        self._usual_time(oldest).add(self.context.now - oldest.sent_at)
        attempts = endpoint.open_attempts.values()
        cancel_attempts(self.context, [attempt for attempt in attempts if _is_repeatable(attempt)])

    def _check_overtaken(self, attempt: Attempt) -> None:
        """Cancel a lost attempt, at an endpoint that answers others: it would wait until its deadline."""
        silent_for = self.context.now - attempt.sent_at
        if _is_repeatable(attempt) and silent_for > self._silence_limit(attempt):
            attempt.failed = True
            cancel_attempts(self.context, [attempt])

    def _silence_limit(self, attempt: Attempt) -> float:
        """Return for how many nanoseconds an attempt may wait without a response of its endpoint."""
        multiple = MIN_PREFILL_SILENCE if attempt.is_prefill else MIN_DECODE_SILENCE
        classes = self.context.settings.classes
        minimum = multiple * min(request_class.latency_objective for request_class in classes)
        mean_time = self._usual_time(attempt).value or 0
        return max(SILENCE_FACTOR * mean_time, minimum) + self.estimates.duration(attempt.uncached_tokens)

    def _usual_time(self, attempt: Attempt) -> MovingAverage:
        return self.prefill_time if attempt.is_prefill else self.first_token_time


def _is_repeatable(attempt: Attempt) -> bool:
    """Return whether an attempt may be cancelled and repeated whatever it did."""
    return attempt.is_prefill or attempt.request.request_class.idempotency is Idempotency.SAFE
