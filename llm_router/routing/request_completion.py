"""Ends requests: gives the router's final answers and releases KV state and reservations."""

from __future__ import annotations

from llm_router.routing.actions import AnswerReason, FailRequest, RejectRequest, Release
from llm_router.routing.cancellation import cancel_attempts
from llm_router.routing.context import PolicyContext
from llm_router.routing.retry_policy import RetryPolicy
from llm_router.routing.tracked_request import TrackedRequest


class RequestCompletion:
    """Rejects, fails and closes requests, and releases their KV state and reservations."""

    def __init__(self, context: PolicyContext, retry_policy: RetryPolicy) -> None:
        self.context = context
        self.retry_policy = retry_policy

    def finish(self, request: TrackedRequest, reason: AnswerReason) -> None:
        """Reject the request if a retry by the client is harmless; otherwise fail it."""
        if self.retry_policy.may_reject(request):
            retry_after = self._retry_after(request)
            self.context.emit(RejectRequest(request.request_id, retry_after, reason))
        else:
            self.context.emit(FailRequest(request.request_id, reason))
        self.close(request)

    def close(self, request: TrackedRequest) -> None:
        """End a request that has its final answer or whose client has disconnected."""
        request.ended = True
        cancel_attempts(self.context, request.open_attempts)

    def release(self, request: TrackedRequest) -> None:
        """Release the KV state and reservations that endpoints may hold for a request."""
        if any(attempt.is_prefill for attempt in request.attempts):
            self.context.emit(Release(request.request_id))
        request.state_endpoint = None
        request.reserved_endpoint = None
        request.reservation_targets.clear()

    def _retry_after(self, request: TrackedRequest) -> int:
        """Return how many nanoseconds the client should wait before a retry; 0 gives no advice."""
        settings = self.context.settings
        if not settings.retry_after:
            return 0
        return min(max(0, request.retry_after), settings.max_retry_after or 0)
