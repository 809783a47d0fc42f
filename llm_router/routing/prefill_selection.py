"""Selects the prefill endpoint of a request by prefix, session and load."""

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

QUEUE_SHARE = 0.25  # of the latency objective that may wait at an endpoint, our instance's share of it
REPLICAS_PER_SHARE = 4.0  # endpoints of a prefix for each endpoint's share of the requests that it has


class LoadBound(NamedTuple):
    """What may wait at an endpoint before the next one on the ring is taken."""

    max_delay: float  # nanoseconds
    max_tokens: float


class PrefillSelection:
    """Orders the prefill endpoints by a consistent hash ring with bounded loads."""

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
        """Yield the usable prefill endpoints, best first, worked out as far as they are asked for.

        They come in ring order from the prefix, those past their load bound after the others by earliest
        end, those where an attempt failed at the end of each group."""
        failed = request.failed_endpoints
        bound = self._load_bound(request)
        loaded = []
        failed_below_bound = []
        for endpoint in self._ring_order(request):
            if self._is_loaded(endpoint, bound):
                loaded.append(endpoint)
            elif endpoint in failed:
                failed_below_bound.append(endpoint)
            else:
                yield endpoint
        ends = {endpoint: self._expected_end(request, endpoint) for endpoint in loaded}
        loaded.sort(key=ends.__getitem__)
        yield from (endpoint for endpoint in loaded if endpoint not in failed)
        yield from failed_below_bound
        yield from (endpoint for endpoint in loaded if endpoint in failed)

    def first(self, request: TrackedRequest) -> EndpointState | None:
        """Return the best prefill endpoint, None if there is no usable one."""
        return next(self.ordered(request), None)

    def _load_bound(self, request: TrackedRequest) -> LoadBound:
        max_delay = QUEUE_SHARE * request.request_class.latency_objective
        router_count = self.context.settings.router_count
        own_share = max_delay / SECOND * self.estimates.tokens_per_second / router_count
        return LoadBound(max_delay, max(own_share, self.estimates.mean_prompt_tokens))

    def _is_loaded(self, endpoint: EndpointState, bound: LoadBound) -> bool:
        """Return whether an endpoint is past its load bound."""
        if endpoint.waiting_tokens > bound.max_tokens:
            return True
        return self.delays.delay(endpoint) > bound.max_delay

    def _expected_end(self, request: TrackedRequest, endpoint: EndpointState) -> int:
        tokens = endpoint.waiting_tokens + self.estimates.uncached_tokens(request, endpoint)
        return self.delays.delay(endpoint) + self.estimates.duration(tokens)

    def _ring_order(self, request: TrackedRequest) -> list[EndpointState]:
        """Return the usable endpoints in ring order from the prefix, else the session.

        A session goes back first to the endpoint that prefilled it, which has most of it in its cache."""
        if self.candidates.is_small(*PREFILL_ROLES):
            ring = self._order_of_all(request)
        else:
            ring = self._order_of_some(request)
        if request.affinity is None:
            return ring
        last = self.index.find_ready(request.affinity.prefill_endpoint_id, PREFILL_ROLES)
        if last is None or not self.candidates.accepts(last, request.tenant_class):
            return ring
        return [last, *(endpoint for endpoint in ring if endpoint is not last)]

    def _order_of_all(self, request: TrackedRequest) -> list[EndpointState]:
        tenant_class = request.tenant_class
        walk = self.ring.walk(_ring_key(request))
        ring = [endpoint for endpoint in walk if self.candidates.accepts(endpoint, tenant_class)]
        if not request.received.prefix or not ring:
            return ring
        first = self._replica(request, request.received.prefix, len(ring))
        return ring[first:] + ring[:first]

    def _order_of_some(self, request: TrackedRequest) -> list[EndpointState]:
        tenant_class = request.tenant_class
        key = _ring_key(request)
        first = 0
        if request.received.prefix:
            first = self._replica(request, request.received.prefix, self.index.count(*PREFILL_ROLES))
        if first >= MAX_CANDIDATES:
            # Such a replica has a ring position of its own, lest the walk to it grow with the fleet.
            key = f"{key} {first}"
        start = first % MAX_CANDIDATES
        walk = self.ring.walk(key)
        usable = (endpoint for endpoint in walk if self.candidates.accepts(endpoint, tenant_class))
        return list(islice(usable, start, start + MAX_CANDIDATES))

    def _replica(self, request: TrackedRequest, prefix: str, endpoint_count: int) -> int:
        """Return which replica of its prefix a request goes to first; a popular prefix has more replicas."""
        share = self.popularity.share(prefix)
        replicas = 1 + int(REPLICAS_PER_SHARE * share * endpoint_count)
        key = request.replica_key
        if replicas > MAX_CANDIDATES:
            return jump_hash(stable_hash(key), replicas)
        return max(range(replicas), key=lambda replica: stable_hash(f"{key} {replica}"))


def _ring_key(request: TrackedRequest) -> str:
    return request.received.prefix or request.received.session or ""
