"""Decode endpoints that prefill short prompts where prefill endpoints are overloaded or gone."""

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

MAX_DENIED_SHARE = 0.75  # of recent reservation requests, past which no decode endpoint is idle
# Multiples of the mean prompt length up to which an endpoint of a role prefills: a long prefill delays the
# streams of a decode endpoint.
MAX_PROMPT_FACTOR = {Role.DECODE: 0.5, Role.MIXED: 1.0}


class PrefillOverflow:
    """Selects the decode endpoints that may prefill a request."""

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
        """Return the endpoints that may prefill and decode a request, best first.

        None of our requests waits at them, and reservations are granted."""
        if not self.context.settings.append_prefill or request.append_endpoint is not None:
            return []
        if self.reservations.denied_share() > MAX_DENIED_SHARE:
            return []
        size = request.received.prompt_tokens / (self.estimates.mean_prompt_tokens or 1)
        max_delay = MAX_QUEUEING_SHARE * request.request_class.latency_objective
        has_prefill_endpoint = self.index.count(*PREFILL_ROLES) > 0
        return [
            endpoint
            for endpoint in self.decode_selection.ordered(request)
            if (size <= MAX_PROMPT_FACTOR[endpoint.role] or not has_prefill_endpoint)
            and not endpoint.waiting_tokens
            and self.delays.delay(endpoint) <= max_delay
        ]
