"""Processes the ends of attempts."""

from __future__ import annotations

from llm_router.routing.context import PolicyContext
from llm_router.routing.decode_results import DecodeResults
from llm_router.routing.events import AttemptEnded, AttemptStatus, ConnectionFault
from llm_router.routing.failure_detection import FailureDetector
from llm_router.routing.prefill_results import PrefillResults
from llm_router.routing.queueing_delay import QueueingDelays
from llm_router.routing.request_completion import RequestCompletion
from llm_router.routing.retry_policy import MAY_HAVE_RUN
from llm_router.routing.tracked_request import Attempt

FAILED = (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET, AttemptStatus.ERROR)
GIVEN_UP = (AttemptStatus.CANCELLED, AttemptStatus.TIMEOUT)
SUCCEEDED = (AttemptStatus.OK, AttemptStatus.PREFILLED)
NEVER_ARRIVED = (AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)


class AttemptResults:
    """Updates requests, endpoint health and averages from the ends of attempts."""

    def __init__(
        self,
        context: PolicyContext,
        failures: FailureDetector,
        delays: QueueingDelays,
        prefill_results: PrefillResults,
        decode_results: DecodeResults,
        completion: RequestCompletion,
    ) -> None:
        self.context = context
        self.failures = failures
        self.delays = delays
        self.prefill_results = prefill_results
        self.decode_results = decode_results
        self.completion = completion

    def record(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Record the end of an attempt; after a failure, release the KV state and reservations."""
        request = attempt.request
        attempt.end()
        attempt.may_have_run = not attempt.is_prefill and event.status in MAY_HAVE_RUN
        attempt.failed = _has_failed(event)
        request.ended = request.ended or event.request_closed
        self._update_endpoint_health(attempt, event)
        if event.status is AttemptStatus.PREFILLED:
            self.prefill_results.record(request, attempt.endpoint, event)
        elif event.status is AttemptStatus.OK and request.first_token_at is not None:
            self.decode_results.record_answer(request, attempt.endpoint, event)
        if not attempt.is_prefill and event.status not in NEVER_ARRIVED:
            request.state_since = self.context.now
        request.append_endpoint = None
        if event.status is AttemptStatus.PREFILLED:
            return
        if request.reservation_targets or _may_leave_state(attempt, event):
            self.completion.release(request)

    def _update_endpoint_health(self, attempt: Attempt, event: AttemptEnded) -> None:
        if event.status in SUCCEEDED:
            self.failures.record_response(attempt)
        elif event.status in FAILED:
            self.failures.record_failure(attempt.endpoint, event)
        elif event.status in GIVEN_UP and attempt.is_prefill and not attempt.is_overtaken:
            # The queueing delay is at least as long as the time that this prefill waited.
            self.delays.record(attempt.endpoint, event.elapsed, attempt.uncached_tokens)
        elif event.status is AttemptStatus.OVERLOADED and not event.state_missing:
            self.failures.record_overload(attempt.endpoint, attempt.request)


def _has_failed(event: AttemptEnded) -> bool:
    """Return whether an attempt gave no result, not counting local system call failures."""
    if event.status is AttemptStatus.CONNECT_FAILED:
        return event.connection_fault is not ConnectionFault.LOCAL
    return event.status in MAY_HAVE_RUN


def _may_leave_state(attempt: Attempt, event: AttemptEnded) -> bool:
    """Return whether KV state of the request may wait at an endpoint without the router's knowledge.

    A prefill whose response was lost may still have finished. If a decode endpoint reports the KV state
    missing, it may only have failed to reach the prefill endpoint."""
    if attempt.is_prefill:
        return event.status in MAY_HAVE_RUN
    return event.status is AttemptStatus.OVERLOADED and event.state_missing
