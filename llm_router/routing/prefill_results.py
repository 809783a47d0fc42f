"""Processes the results of finished prefills."""

from __future__ import annotations

from llm_router.routing.context import PolicyContext
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.events import AttemptEnded
from llm_router.routing.prefill_estimates import PrefillEstimates
from llm_router.routing.queueing_delay import QueueingDelays
from llm_router.routing.silence_detection import SilenceDetector
from llm_router.routing.tracked_request import TrackedRequest


class PrefillResults:
    """Records the location of the KV state, the prefill speed, the queueing delay and the cached prefix."""

    def __init__(
        self,
        context: PolicyContext,
        silence: SilenceDetector,
        estimates: PrefillEstimates,
        delays: QueueingDelays,
    ) -> None:
        self.context = context
        self.silence = silence
        self.estimates = estimates
        self.delays = delays

    def record(self, request: TrackedRequest, endpoint: EndpointState, event: AttemptEnded) -> None:
        """Record a finished prefill of a request at an endpoint."""
        request.state_endpoint = endpoint
        request.state_since = self.context.now
        request.prefilled_by = endpoint
        self.silence.record_prefill(event.elapsed)
        uncached_tokens = max(0, request.received.prompt_tokens - event.cached_tokens)
        self.estimates.record_prefill(uncached_tokens, event.elapsed)
        self.delays.record(endpoint, event.elapsed, uncached_tokens)
        self.estimates.record_cached_prefix(request, endpoint, self.context.now)
