"""Selects the decode endpoint of a request by memory, queueing delay and the transfer of its KV state."""

from __future__ import annotations

from llm_router.routing.candidate_subset import CandidateSubset
from llm_router.routing.context import PolicyContext
from llm_router.routing.endpoint_index import DECODE_ROLES
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.events import EndpointStatus
from llm_router.routing.queueing_delay import QueueingDelays
from llm_router.routing.tracked_request import TrackedRequest

# Costs in units of an endpoint's full memory, which is also that of a wait as long as the latency objective:
OTHER_CELL_COST = 0.8  # a transfer to another cell of the zone
OTHER_ZONE_COST = 1.2  # a transfer to another zone
SLOW_COST = 1.2  # an endpoint found slow: as bad as another zone


class DecodeSelection:
    """Orders the decode endpoints by cost."""

    def __init__(self, context: PolicyContext, candidates: CandidateSubset, delays: QueueingDelays) -> None:
        self.context = context
        self.candidates = candidates
        self.delays = delays

    def ordered(self, request: TrackedRequest) -> list[EndpointState]:
        """Return the usable decode endpoints, best first.

        A reservation comes first; those where an attempt failed, then those asked for a reservation, come
        last. Equal costs are ordered at random, lest all router instances choose the same."""
        failed = request.failed_endpoints
        order = {
            endpoint: (
                endpoint is not request.reserved_endpoint,
                endpoint in failed,
                endpoint in request.reservation_targets,
                self.cost(request, endpoint),
                self.context.random.random(),
            )
            for endpoint in self.considered(request)
        }
        return sorted(order, key=order.__getitem__)

    def considered(self, request: TrackedRequest) -> list[EndpointState]:
        """Return the usable decode endpoints that are compared.

        In a large fleet some of the prefill endpoint's cell and the reservation are added."""
        tenant_class = request.tenant_class
        found = self.candidates.usable(DECODE_ROLES, tenant_class)
        if self.candidates.is_small(*DECODE_ROLES):
            return found
        if request.prefill_target is not None:
            nearby = self.candidates.sample_in_cell(request.prefill_target.entry.cell, DECODE_ROLES)
            found += [endpoint for endpoint in nearby if self.candidates.accepts(endpoint, tenant_class)]
        reserved = request.reserved_endpoint
        if reserved is not None and reserved.entry.status is EndpointStatus.READY:
            found.append(reserved)
        return list(dict.fromkeys(found))

    def cost(self, request: TrackedRequest, endpoint: EndpointState) -> float:
        """Return the cost of an endpoint: our share of its memory, its queueing delay and the transfer."""
        if endpoint.memory_tokens:
            cost = endpoint.committed_tokens / endpoint.memory_tokens
        else:
            cost = float(endpoint.streams)
        slow_cost = SLOW_COST if self.context.now < endpoint.slow_until else 0
        cost += self.delays.delay(endpoint) / request.request_class.latency_objective + slow_cost
        return cost + _transfer_cost(request.prefill_target, endpoint)


def _transfer_cost(source: EndpointState | None, target: EndpointState) -> float:
    if source is None or source.entry.cell == target.entry.cell:
        return 0.0
    return OTHER_CELL_COST if source.entry.zone == target.entry.zone else OTHER_ZONE_COST
