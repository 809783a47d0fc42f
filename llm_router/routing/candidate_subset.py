"""The endpoints among which a choice is made: all of a small fleet, a bounded subset of a large one."""

from __future__ import annotations

from itertools import islice

from llm_router.routing.context import PolicyContext
from llm_router.routing.endpoint_index import DECODE_ROLES, EndpointIndex
from llm_router.routing.endpoint_state import NO_TENANT_CLASS, EndpointState, TenantClass
from llm_router.routing.events import EndpointStatus
from llm_router.routing.hash_ring import HashRing
from llm_router.routing.settings import Role

MAX_CANDIDATES = 64  # endpoints of a phase in a choice, so that its cost does not grow with the fleet
SUBSET_COVERAGE = 2  # router instances that have a decode endpoint in their subset, in the mean
ANY_OFFSET_BITS = 16  # random bits for the offset of a spread: more than any step between its items


class CandidateSubset:
    """Selects the endpoints that a choice looks at, and those of them that may have new work."""

    def __init__(self, context: PolicyContext, index: EndpointIndex) -> None:
        self.context = context
        self.index = index
        self._decode_ring = HashRing()  # a point for each ready decode or mixed endpoint
        self._subset: list[EndpointState] = []  # this router instance's decode endpoints
        self._subset_version = -1  # the version of the endpoint list that it was chosen from

    def update(self, changed: list[EndpointState]) -> None:
        """Take over a change of the endpoint list."""
        for endpoint in changed:
            is_ready = endpoint.entry.status is EndpointStatus.READY
            self._decode_ring.set_points(endpoint, int(is_ready and endpoint.role in DECODE_ROLES))

    def is_small(self, *roles: Role) -> bool:
        """Return whether all ready endpoints of some roles are looked at."""
        return self.index.count(*roles) <= MAX_CANDIDATES

    def candidates(self, roles: tuple[Role, ...]) -> list[EndpointState]:
        """Return the endpoints of some roles among which a choice is made."""
        if self.is_small(*roles):
            return self.index.ready(roles)
        if roles == DECODE_ROLES:
            subset = self.decode_subset()
            if subset:
                return subset
        return self.sample(roles)

    def sample(self, roles: tuple[Role, ...]) -> list[EndpointState]:
        """Return an even spread over the ready endpoints of some roles, at random another one each time."""
        total = max(1, self.index.count(*roles))
        offset = self.context.random.getrandbits(ANY_OFFSET_BITS)
        chosen = []
        for role in roles:
            endpoints = self.index.by_role[role]
            limit = max(1, MAX_CANDIDATES * len(endpoints) // total)
            chosen += endpoints.sample(limit, offset)
        return chosen

    def sample_in_cell(self, cell: int, roles: tuple[Role, ...]) -> list[EndpointState]:
        """Return an even spread over the ready endpoints of a cell, those of some roles."""
        endpoints = self.index.by_cell.get(cell)
        if not endpoints:
            return []
        offset = self.context.random.getrandbits(ANY_OFFSET_BITS)
        sample = endpoints.sample(MAX_CANDIDATES, offset)
        return [endpoint for endpoint in sample if endpoint.role in roles]

    def decode_subset(self) -> list[EndpointState]:
        """Return this instance's decode endpoints of a large fleet; none where few instances must use all.

        Avoids connections that no second request ever uses: the fewer decode endpoints an instance has, the
        more often it finds an idle connection. The subsets lie on a ring, so that all endpoints are used
        alike."""
        decode_count = self.index.count(*DECODE_ROLES)
        if decode_count * SUBSET_COVERAGE > MAX_CANDIDATES * self.context.settings.router_count:
            return []
        if self._subset_version != self.index.version:
            walk = self._decode_ring.walk(f"router {self.context.settings.router_index}")
            self._subset = list(islice(walk, MAX_CANDIDATES))
            self._subset_version = self.index.version
        return self._subset

    def usable(
        self, roles: tuple[Role, ...], tenant_class: TenantClass = NO_TENANT_CLASS
    ) -> list[EndpointState]:
        """Return the candidates that may have new work of a tenant and class.

        Where none of a large fleet's subset may, others of the fleet are used."""
        found = [endpoint for endpoint in self.candidates(roles) if self.accepts(endpoint, tenant_class)]
        if found or self.is_small(*roles):
            return found
        return [endpoint for endpoint in self.sample(roles) if self.accepts(endpoint, tenant_class)]

    def accepts(self, endpoint: EndpointState, tenant_class: TenantClass) -> bool:
        """Return whether a ready endpoint may have new work of a tenant and class.

        One that was ejected gets a single request as a trial. One that was overloaded for a tenant and class
        gets nothing of theirs: it may have capacity for others."""
        if self.context.now < endpoint.available_at(tenant_class):
            return False
        on_trial = endpoint.consecutive_ejections > 0
        return not (on_trial and endpoint.open_attempts)
