"""Selection of the prefill endpoint of a request by prefix, session and load."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple

from llm_router.routing.candidate_subset import MAX_CANDIDATES, CandidateSubset
from llm_router.routing.context import PolicyContext
from llm_router.routing.duration import SECOND
from llm_router.routing.endpoint_index import PREFILL_ROLES
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.hash_ring import HashRing, jump_hash, stable_hash
from llm_router.routing.prefill_estimates import PrefillEstimates
from llm_router.routing.prefix_popularity import PrefixPopularity
from llm_router.routing.queueing_delay import QueueingDelays
from llm_router.routing.tracked_request import TrackedRequest

# The largest acceptable queueing delay at an endpoint, as a share of the latency objective.
MAX_QUEUEING_SHARE = 0.25
# The number of additional replicas of a prefix per unit of load; a unit is the mean load of an endpoint.
REPLICAS_PER_ENDPOINT_LOAD = 4.0


class LoadBound(NamedTuple):
    """The load of an endpoint above which a request goes to the next endpoint on the hash ring."""

    max_delay: float  # queueing delay in nanoseconds
    max_tokens: float  # prompt tokens of this router that wait for prefill at the endpoint


class PrefillSelection:
    """The order of prefill endpoints for a request, from a consistent hash ring with bounded loads."""

    def __init__(
        self,
        context: PolicyContext,
        candidates: CandidateSubset,
        ring: HashRing,
        delays: QueueingDelays,
        estimates: PrefillEstimates,
        popularity: PrefixPopularity,
    ) -> None:
        self.context = context
        self.candidates = candidates
        self.index = candidates.index
        self.ring = ring
        self.delays = delays
        self.estimates = estimates
        self.popularity = popularity

    def ordered(self, request: TrackedRequest) -> Iterator[EndpointState]:
        """Yield the usable prefill endpoints, best first, and compute the order lazily.

        Endpoints within the load bound come first, in ring order. Endpoints above the bound follow, ordered
        by the expected end of the prefill. Endpoints where an attempt of this request failed come after
        both groups, in the same order."""
        failed = request.failed_endpoints
        bound = self._load_bound(request)
        loaded = []
        failed_within_bound = []
        for endpoint in self._ring_order(request):
            if self._is_loaded(endpoint, bound):
                loaded.append(endpoint)
            elif endpoint in failed:
                failed_within_bound.append(endpoint)
            else:
                yield endpoint
        ends = {endpoint: self._expected_end(request, endpoint) for endpoint in loaded}
        loaded.sort(key=ends.__getitem__)
        yield from (endpoint for endpoint in loaded if endpoint not in failed)
        yield from failed_within_bound
        yield from (endpoint for endpoint in loaded if endpoint in failed)

    def first(self, request: TrackedRequest) -> EndpointState | None:
        """Return the best prefill endpoint, or None if no prefill endpoint is usable."""
        return next(self.ordered(request), None)

    def _load_bound(self, request: TrackedRequest) -> LoadBound:
        max_delay = MAX_QUEUEING_SHARE * request.request_class.latency_objective
        router_count = self.context.settings.router_count
        # Each router instance may fill an equal share of the queue at an endpoint.
        own_share = max_delay / SECOND * self.estimates.tokens_per_second / router_count
        return LoadBound(max_delay, max(own_share, self.estimates.mean_prompt_tokens))

    def _is_loaded(self, endpoint: EndpointState, bound: LoadBound) -> bool:
        """Return whether the load of an endpoint exceeds the bound."""
        if endpoint.waiting_tokens > bound.max_tokens:
            return True
        return self.delays.delay(endpoint) > bound.max_delay

    def _expected_end(self, request: TrackedRequest, endpoint: EndpointState) -> int:
        tokens = endpoint.waiting_tokens + self.estimates.uncached_tokens(request, endpoint)
        return self.delays.delay(endpoint) + self.estimates.duration(tokens)

    def _ring_order(self, request: TrackedRequest) -> list[EndpointState]:
        """Return the usable endpoints in ring order from the position of the prefix, or else of the session.

        The endpoint that last prefilled the session comes first, because its cache has most of the prompt."""
        if self.candidates.is_small(*PREFILL_ROLES):
            ring = self._small_fleet_order(request)
        else:
            ring = self._large_fleet_order(request)
        if request.affinity is None:
            return ring
        last = self.index.find_ready(request.affinity.prefill_endpoint_id, PREFILL_ROLES)
        if last is None or not self.candidates.accepts(last, request.tenant_class):
            return ring
        return [last, *(endpoint for endpoint in ring if endpoint is not last)]

    def _small_fleet_order(self, request: TrackedRequest) -> list[EndpointState]:
        tenant_class = request.tenant_class
        walk = self.ring.walk(_ring_key(request))
        ring = [endpoint for endpoint in walk if self.candidates.accepts(endpoint, tenant_class)]
        if not request.received.prefix or not ring:
            return ring
        first = self._replica(request, request.received.prefix, len(ring))
        return ring[first:] + ring[:first]

    def _large_fleet_order(self, request: TrackedRequest) -> list[EndpointState]:
        tenant_class = request.tenant_class
        key = _ring_key(request)
        first = 0
        if request.received.prefix:
            first = self._replica(request, request.received.prefix, self.index.count(*PREFILL_ROLES))
        if first >= MAX_CANDIDATES:
            # Replicas with high numbers have ring positions of their own.
            # A walk from the position of the prefix to such a replica would get longer as the fleet grows.
            key = f"{key} {first}"
        start = first % MAX_CANDIDATES
        walk = self.ring.walk(key)
        usable = (endpoint for endpoint in walk if self.candidates.accepts(endpoint, tenant_class))
        return list(islice(usable, start, start + MAX_CANDIDATES))

    def _replica(self, request: TrackedRequest, prefix: str, endpoint_count: int) -> int:
        """Return the index of the replica that a request tries first; popular prefixes have more replicas."""
        share = self.popularity.share(prefix)
        replicas = 1 + int(REPLICAS_PER_ENDPOINT_LOAD * share * endpoint_count)
        key = request.replica_key
        if replicas > MAX_CANDIDATES:
            return jump_hash(stable_hash(key), replicas)
        return max(range(replicas), key=lambda replica: stable_hash(f"{key} {replica}"))


def _ring_key(request: TrackedRequest) -> str:
    return request.received.prefix or request.received.session or ""
