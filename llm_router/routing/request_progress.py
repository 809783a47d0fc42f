"""Advances requests that have no attempt out."""

from __future__ import annotations

from llm_router.routing.actions import AnswerReason
from llm_router.routing.admission import Admission
from llm_router.routing.context import PolicyContext
from llm_router.routing.duration import MILLISECOND, SECOND
from llm_router.routing.request_completion import RequestCompletion
from llm_router.routing.request_path import RequestPath
from llm_router.routing.retry_policy import RetryPolicy
from llm_router.routing.tracked_request import RequestPhase, TrackedRequest

CHECK_INTERVAL = 50 * MILLISECOND  # nanoseconds between two tries of a request that waits
DEFAULT_RELEASE_TIMEOUT = 120 * SECOND  # nanoseconds, where the settings demand no release


class RequestProgress:
    """Sees to it that each request has sent, waits within its limits, or has ended."""

    def __init__(
        self,
        context: PolicyContext,
        requests: dict[str, TrackedRequest],
        retry_policy: RetryPolicy,
        admission: Admission,
        path: RequestPath,
        completion: RequestCompletion,
    ) -> None:
        self.context = context
        self.requests = requests
        self.retry_policy = retry_policy
        self.admission = admission
        self.path = path
        self.completion = completion

    def advance(self, request: TrackedRequest) -> None:
        """Advance a request that has no attempt out; forget it once it has ended."""
        if request.open_attempts or self.requests.get(request.request_id) is not request:
            return
        if not request.ended:
            self._take_next_step(request)
        if request.ended and not request.open_attempts:
            self.completion.release(request)
            del self.requests[request.request_id]

    def _take_next_step(self, request: TrackedRequest) -> None:
        """Send the request on, leave it to wait, release its KV state, or end it."""
        reason = self._rejection_reason(request)
        is_prefilled = request.phase is RequestPhase.PREFILLED
        if reason is not None:
            self.completion.finish(request, reason)
        elif is_prefilled and self.context.now > self._release_time(request):
            self.completion.release(request)
        elif not is_prefilled and self.admission.would_be_late(request):
            if not self.path.send_overflow(request):
                self.completion.finish(request, AnswerReason.QUEUEING_DELAY)
        else:
            self.path.send_next(request)

    def _rejection_reason(self, request: TrackedRequest) -> AnswerReason | None:
        """Return why a request can get no attempt in time, None if it may get one."""
        if self.context.now >= request.deadline - self.context.settings.timer_resolution:
            return AnswerReason.DEADLINE_EXCEEDED
        if not self.retry_policy.may_send(request):
            return AnswerReason.ATTEMPTS_EXHAUSTED
        if self.admission.no_endpoint_in_time(request):
            return AnswerReason.NO_ENDPOINT_IN_TIME
        return None

    def _release_time(self, request: TrackedRequest) -> int:
        """Return until when the KV state of a prefill waits for a decode endpoint.

        It ends two checks before the release timeout, as a check comes late by up to one."""
        timeout = self.context.settings.release_timeout
        if timeout is None:
            timeout = DEFAULT_RELEASE_TIMEOUT
        return request.state_since + max(timeout // 2, timeout - 2 * CHECK_INTERVAL)
