"""Sends attempts; every attempt of the policy goes through this module."""

from __future__ import annotations

from collections.abc import Iterable

from llm_router.routing.actions import StartAttempt
from llm_router.routing.context import PolicyContext
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.events import EndpointStatus
from llm_router.routing.prefill_estimates import PrefillEstimates
from llm_router.routing.reservations import Reservations
from llm_router.routing.retry_policy import RetryPolicy
from llm_router.routing.send_rates import SendRates
from llm_router.routing.settings import Role
from llm_router.routing.slow_start import SlowStart
from llm_router.routing.tracked_request import Attempt, TrackedRequest


class AttemptDispatcher:
    """Checks that an attempt is allowed, records it at its request and endpoint, and sends it."""

    def __init__(
        self,
        context: PolicyContext,
        retry_policy: RetryPolicy,
        slow_start: SlowStart,
        estimates: PrefillEstimates,
        send_rates: SendRates,
        reservations: Reservations,
    ) -> None:
        self.context = context
        self.retry_policy = retry_policy
        self.slow_start = slow_start
        self.estimates = estimates
        self.send_rates = send_rates
        self.reservations = reservations

    def send_prefill(self, request: TrackedRequest, endpoints: Iterable[EndpointState]) -> bool:
        """Send the request to the first allowed endpoint; return False if no endpoint is allowed.

        A prefill endpoint only prefills the request; a mixed endpoint also decodes it."""
        return any(
            self._send(request, endpoint, is_prefill=endpoint.role is Role.PREFILL) for endpoint in endpoints
        )

    def send_decode(self, request: TrackedRequest, endpoints: Iterable[EndpointState]) -> bool:
        """Send the request for decoding to the first allowed endpoint; return False if none is allowed."""
        return any(self._send(request, endpoint, is_prefill=False) for endpoint in endpoints)

    def _send(self, request: TrackedRequest, endpoint: EndpointState, *, is_prefill: bool) -> bool:
        """Send the request to an endpoint unless its status, the retry policy or slow start forbids it."""
        if not self._is_allowed(request, endpoint, is_prefill):
            return False
        write_deadline = None if is_prefill else self.retry_policy.retry_deadline(request)
        self._open_attempt(request, endpoint, is_prefill)
        action = StartAttempt(request.request_id, endpoint.endpoint_id, write_deadline=write_deadline)
        self.context.emit(action)
        self.send_rates.record(endpoint, is_prefill=is_prefill)
        if is_prefill:
            request.prefill_target = endpoint
            self.reservations.request_next(request)
        return True

    def _is_allowed(self, request: TrackedRequest, endpoint: EndpointState, is_prefill: bool) -> bool:
        if endpoint.entry.status is not EndpointStatus.READY:
            return False
        if not self.retry_policy.may_send_to(request, endpoint):
            return False
        if endpoint is request.reserved_endpoint:
            return True
        return self.slow_start.admit(endpoint, is_prefill=is_prefill)

    def _open_attempt(self, request: TrackedRequest, endpoint: EndpointState, is_prefill: bool) -> None:
        uncached_tokens = 0
        if request.state_endpoint is None:
            uncached_tokens = self.estimates.uncached_tokens(request, endpoint)
        committed_tokens = 0
        if not is_prefill:
            committed_tokens = request.received.prompt_tokens + request.received.max_output_tokens
        attempt = Attempt(
            request=request,
            index=len(request.attempts),
            endpoint=endpoint,
            is_prefill=is_prefill,
            committed_tokens=committed_tokens,
            uncached_tokens=uncached_tokens,
            sent_at=self.context.now,
        )
        attempt.open()
