"""Whether a request may be sent again: attempt limits, idempotency and deduplication."""

from __future__ import annotations

from llm_router.routing.context import PolicyContext
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.events import AttemptStatus, EndpointEntry
from llm_router.routing.settings import DeduplicationScope, Idempotency
from llm_router.routing.tracked_request import TrackedRequest

MAY_HAVE_RUN = (AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED)


class RetryPolicy:
    """Applies the settings of a request's class to its attempts so far."""

    def __init__(self, context: PolicyContext) -> None:
        self.context = context

    def may_send(self, request: TrackedRequest) -> bool:
        """Return whether another attempt is allowed, at some endpoint at least."""
        if request.ended or self._attempts_exhausted(request) or not self._may_hedge(request):
            return False
        if not request.attempts_that_may_have_run:
            return True
        match request.request_class.idempotency:
            case Idempotency.SAFE:
                return True
            case Idempotency.KEYED:
                retry_deadline = self.retry_deadline(request)
                return retry_deadline is None or self.context.now < retry_deadline
            case Idempotency.NONE:
                return False

    def may_send_to(self, request: TrackedRequest, endpoint: EndpointState) -> bool:
        """Return whether another attempt is allowed at an endpoint."""
        if not self.may_send(request):
            return False
        if request.request_class.idempotency is not Idempotency.KEYED:
            return True
        scope = request.request_class.deduplication_scope
        return all(
            _share_deduplication(scope, attempt.endpoint.entry, endpoint.entry)
            for attempt in request.attempts_that_may_have_run
        )

    def retry_deadline(self, request: TrackedRequest) -> int | None:
        """Return until when endpoints drop duplicates of what may have run, None where there is no bound.

        It is the timer resolution earlier, so that what is sent just before it arrives in time."""
        risky = request.attempts_that_may_have_run
        if not risky or request.request_class.idempotency is not Idempotency.KEYED:
            return None
        window = request.request_class.deduplication_window
        return risky[0].sent_at + window - self.context.settings.timer_resolution

    def may_reject(self, request: TrackedRequest) -> bool:
        """Return whether the client may be told that a retry is harmless."""
        if not request.open_attempts and not request.attempts_that_may_have_run:
            return True
        request_class = request.request_class
        if request_class.idempotency is Idempotency.SAFE:
            return True
        has_key = request_class.idempotency is Idempotency.KEYED
        return has_key and request_class.deduplication_scope is DeduplicationScope.ALL

    def _attempts_exhausted(self, request: TrackedRequest) -> bool:
        limit = self.context.settings.max_attempts
        return limit is not None and len(request.attempts) >= limit

    def _may_hedge(self, request: TrackedRequest) -> bool:
        """Return whether another attempt may be out beside those that are."""
        if not request.open_attempts:
            return True
        return self.context.settings.hedging and request.request_class.idempotency is Idempotency.SAFE


def _share_deduplication(scope: DeduplicationScope, one: EndpointEntry, other: EndpointEntry) -> bool:
    """Return whether two endpoints drop one another's duplicates."""
    match scope:
        case DeduplicationScope.ALL:
            return True
        case DeduplicationScope.ZONE:
            return one.zone == other.zone
        case DeduplicationScope.CELL:
            return one.cell == other.cell
