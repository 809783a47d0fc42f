"""Decides whether a request may be sent again, by attempt limit, idempotency and deduplication."""

from __future__ import annotations

from llm_router.routing.context import PolicyContext
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.events import AttemptStatus, EndpointEntry
from llm_router.routing.settings import DeduplicationScope, Idempotency
from llm_router.routing.tracked_request import TrackedRequest

MAY_HAVE_RUN = (AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED)


class RetryPolicy:
    """Decides about retries from the settings of a request's class and its attempts so far."""

    def __init__(self, context: PolicyContext) -> None:
        self.context = context

    def may_send(self, request: TrackedRequest) -> bool:
        """Return whether the request may have another attempt at any endpoint."""
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
        """Return whether the request may have another attempt at a given endpoint."""
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
        """Return the time until which endpoints drop duplicates of this request.

        Return None if there is no such limit. The timer resolution is subtracted from the time, so that an
        attempt sent just before it arrives within the deduplication window."""
        risky = request.attempts_that_may_have_run
        if not risky or request.request_class.idempotency is not Idempotency.KEYED:
            return None
        window = request.request_class.deduplication_window
        return risky[0].sent_at + window - self.context.settings.timer_resolution

    def may_reject(self, request: TrackedRequest) -> bool:
        """Return whether the request may be rejected, which tells the client that a retry is harmless."""
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
        """Return whether another attempt may run in parallel with the open attempts, if there are any."""
        if not request.open_attempts:
            return True
        return self.context.settings.hedging and request.request_class.idempotency is Idempotency.SAFE


def _share_deduplication(scope: DeduplicationScope, one: EndpointEntry, other: EndpointEntry) -> bool:
    """Return whether two endpoints drop each other's duplicates under a deduplication scope."""
    match scope:
        case DeduplicationScope.ALL:
            return True
        case DeduplicationScope.ZONE:
            return one.zone == other.zone
        case DeduplicationScope.CELL:
            return one.cell == other.cell
