"""Selection of candidate endpoints: all endpoints of a small fleet, a bounded subset of a large one."""

from __future__ import annotations

from itertools import islice

from llm_router.routing.context import PolicyContext
from llm_router.routing.endpoint_index import DECODE_ROLES, EndpointIndex
from llm_router.routing.endpoint_state import NO_TENANT_CLASS, EndpointState, TenantClass
from llm_router.routing.events import EndpointStatus
from llm_router.routing.hash_ring import HashRing
from llm_router.routing.settings import Role

# The maximum number of endpoints compared for one phase of a request, which bounds the cost in large fleets.
MAX_CANDIDATES = 64
# Decode subsets are used only if a decode endpoint is in at least this many of them on average.
MIN_SUBSETS_PER_ENDPOINT = 2
# The number of random bits in the offset of a sample, so that the offset exceeds the step between its items.
RANDOM_OFFSET_BITS = 16


class CandidateSubset:
    """The selector of candidate endpoints for a phase, and of the candidates that may get new work."""

    def __init__(self, context: PolicyContext, index: EndpointIndex) -> None:
        self.context = context
        self.index = index
        self._decode_ring = HashRing()  # one point for each `READY` decode or mixed endpoint
        self._subset: list[EndpointState] = []  # the decode endpoints of this router's subset
        self._subset_version = -1  # endpoint list version that the subset was computed from

    def update(self, changed: list[EndpointState]) -> None:
        """Update the decode ring after a change of the endpoint list."""
        for endpoint in changed:
            is_ready = endpoint.entry.status is EndpointStatus.READY
            self._decode_ring.set_points(endpoint, int(is_ready and endpoint.role in DECODE_ROLES))

    def is_small(self, *roles: Role) -> bool:
        """Return whether at most MAX_CANDIDATES `READY` endpoints have one of the given roles."""
        return self.index.count(*roles) <= MAX_CANDIDATES

    def candidates(self, roles: tuple[Role, ...]) -> list[EndpointState]:
        """Return the endpoints of the given roles that are compared for a request."""
        if self.is_small(*roles):
            return self.index.ready(roles)
        if roles == DECODE_ROLES:
            subset = self.decode_subset()
            if subset:
                return subset
        return self.sample(roles)

    def sample(self, roles: tuple[Role, ...]) -> list[EndpointState]:
        """Return an evenly spaced sample of the `READY` endpoints of some roles, with a random offset."""
        total = max(1, self.index.count(*roles))
        offset = self.context.random.getrandbits(RANDOM_OFFSET_BITS)
        chosen = []
        for role in roles:
            endpoints = self.index.by_role[role]
            limit = max(1, MAX_CANDIDATES * len(endpoints) // total)
            chosen += endpoints.sample(limit, offset)
        return chosen

    def sample_in_cell(self, cell: int, roles: tuple[Role, ...]) -> list[EndpointState]:
        """Return the endpoints of some roles in an evenly spaced sample of a cell's `READY` endpoints."""
        endpoints = self.index.by_cell.get(cell)
        if not endpoints:
            return []
        offset = self.context.random.getrandbits(RANDOM_OFFSET_BITS)
        sample = endpoints.sample(MAX_CANDIDATES, offset)
        return [endpoint for endpoint in sample if endpoint.role in roles]

    def decode_subset(self) -> list[EndpointState]:
        """Return this router's subset of the decode endpoints, or an empty list if it must use all of them.

        A subset improves connection reuse: a router that sends to fewer decode endpoints more often has an
        idle connection to the selected one. The subsets come from a hash ring, which gives the endpoints
        similar load. The list is empty if there are too few router instances to cover a large fleet."""
        decode_count = self.index.count(*DECODE_ROLES)
        if decode_count * MIN_SUBSETS_PER_ENDPOINT > MAX_CANDIDATES * self.context.settings.router_count:
            return []
        if self._subset_version != self.index.version:
            walk = self._decode_ring.walk(f"router {self.context.settings.router_index}")
            self._subset = list(islice(walk, MAX_CANDIDATES))
            self._subset_version = self.index.version
        return self._subset

    def usable(
        self, roles: tuple[Role, ...], tenant_class: TenantClass = NO_TENANT_CLASS
    ) -> list[EndpointState]:
        """Return the candidates that may get new work of a tenant and class.

        If no candidate of a large fleet may get new work, sample the whole fleet instead."""
        found = [endpoint for endpoint in self.candidates(roles) if self.accepts(endpoint, tenant_class)]
        if found or self.is_small(*roles):
            return found
        return [endpoint for endpoint in self.sample(roles) if self.accepts(endpoint, tenant_class)]

    def accepts(self, endpoint: EndpointState, tenant_class: TenantClass) -> bool:
        """Return whether a `READY` endpoint may get new work of a tenant and class.

        After its ejection ends, an endpoint gets a single request until it has answered a request. An
        endpoint that is overloaded for a tenant and class gets no requests of this tenant and class."""
        if self.context.now < endpoint.available_at(tenant_class):
            return False
        on_trial = endpoint.consecutive_ejections > 0
        return not (on_trial and endpoint.open_attempts)
