"""Selection of decode endpoints for prefill if the prefill endpoints are overloaded or missing."""

from __future__ import annotations

from llm_router.routing.context import PolicyContext
from llm_router.routing.decode_selection import DecodeSelection
from llm_router.routing.endpoint_index import PREFILL_ROLES, EndpointIndex
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.prefill_estimates import PrefillEstimates
from llm_router.routing.prefill_selection import MAX_QUEUEING_SHARE
from llm_router.routing.queueing_delay import QueueingDelays
from llm_router.routing.reservations import Reservations
from llm_router.routing.settings import Role
from llm_router.routing.tracked_request import TrackedRequest

# Decode endpoints get no prefill work if more than this share of the recent reservation requests was denied.
# A share of denied requests above this limit means that no decode endpoint is idle.
MAX_RESERVATION_DENIAL_SHARE = 0.75
# The longest prompt that an endpoint of each role prefills, as a multiple of the mean prompt length.
# A longer prefill would delay the streams at the endpoint.
MAX_PROMPT_FACTOR = {Role.DECODE: 0.5, Role.MIXED: 1.0}


class PrefillOverflow:
    """The selector of decode and mixed endpoints that may prefill a request."""

    def __init__(
        self,
        context: PolicyContext,
        index: EndpointIndex,
        decode_selection: DecodeSelection,
        delays: QueueingDelays,
        estimates: PrefillEstimates,
        reservations: Reservations,
    ) -> None:
        self.context = context
        self.index = index
        self.decode_selection = decode_selection
        self.delays = delays
        self.estimates = estimates
        self.reservations = reservations

    def endpoints(self, request: TrackedRequest) -> list[EndpointState]:
        """Return the endpoints that may both prefill and decode a request, best first.

        An endpoint is left out if prompt tokens of this router wait there or its queueing delay is too long.
        The list is empty if most reservation requests are denied."""
        if not self.context.settings.append_prefill or request.append_endpoint is not None:
            return []
        if self.reservations.denied_share() > MAX_RESERVATION_DENIAL_SHARE:
            return []
        relative_length = request.received.prompt_tokens / (self.estimates.mean_prompt_tokens or 1)
        max_delay = MAX_QUEUEING_SHARE * request.request_class.latency_objective
        has_prefill_endpoint = self.index.count(*PREFILL_ROLES) > 0
        return [
            endpoint
            for endpoint in self.decode_selection.ordered(request)
            if (relative_length <= MAX_PROMPT_FACTOR[endpoint.role] or not has_prefill_endpoint)
            and not endpoint.waiting_tokens
            and self.delays.delay(endpoint) <= max_delay
        ]
