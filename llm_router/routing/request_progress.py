"""Advances requests that have no open attempt."""

from __future__ import annotations

from llm_router.routing.actions import AnswerReason
from llm_router.routing.admission import Admission
from llm_router.routing.context import PolicyContext
from llm_router.routing.duration import MILLISECOND, SECOND
from llm_router.routing.request_completion import RequestCompletion
from llm_router.routing.request_path import RequestPath
from llm_router.routing.retry_policy import RetryPolicy
from llm_router.routing.tracked_request import RequestPhase, TrackedRequest

CHECK_INTERVAL = 50 * MILLISECOND  # nanoseconds between two attempts to advance a waiting request
DEFAULT_RELEASE_TIMEOUT = 120 * SECOND  # nanoseconds, used if the settings have no release timeout


class RequestProgress:
    """Advances the requests without an open attempt: sends them, lets them wait or ends them."""

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
        """Advance a request that has no open attempt; remove it if it has ended.

        An internal error ends this request alone. The context keeps the error."""
        if request.open_attempts or self.requests.get(request.request_id) is not request:
            return
        try:
            if not request.ended:
                self._take_next_step(request)
        except Exception as error:
            self.context.record_error(error)
            self.end_after_error(request)
        else:
            self._remove_if_done(request)

    def end_after_error(self, request: TrackedRequest) -> None:
        """End a request after an internal error, unless it has its answer; remove it if it has ended."""
        if not request.has_answer:
            self.completion.finish(request, AnswerReason.INTERNAL_ERROR)
        self._remove_if_done(request)

    def _remove_if_done(self, request: TrackedRequest) -> None:
        """Release the resources of a request and remove it, if it has ended and has no open attempt."""
        if request.ended and not request.open_attempts:
            self.completion.release(request)
            del self.requests[request.request_id]

    def _take_next_step(self, request: TrackedRequest) -> None:
        """Send the request to an endpoint, let the request wait, release its KV state, or end it."""
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
        """Return the reason why no further attempt is possible in time, or None if an attempt is possible."""
        if self.context.now >= request.deadline - self.context.settings.timer_resolution:
            return AnswerReason.DEADLINE_EXCEEDED
        if not self.retry_policy.may_send(request):
            return AnswerReason.ATTEMPTS_EXHAUSTED
        if self.admission.no_endpoint_in_time(request):
            return AnswerReason.NO_ENDPOINT_IN_TIME
        return None

    def _release_time(self, request: TrackedRequest) -> int:
        """Return the time after which the KV state of a prefill is released.

        The time lies two check intervals before the release timeout, because the periodic check may run up to
        one interval late."""
        timeout = self.context.settings.release_timeout
        if timeout is None:
            timeout = DEFAULT_RELEASE_TIMEOUT
        return request.state_since + max(timeout // 2, timeout - 2 * CHECK_INTERVAL)
