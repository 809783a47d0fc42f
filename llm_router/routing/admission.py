"""Admission control, which rejects requests that would be late, and first those of tenants over quota."""

from __future__ import annotations

from statistics import median

from llm_router.routing.candidate_subset import MAX_CANDIDATES, CandidateSubset
from llm_router.routing.context import PolicyContext
from llm_router.routing.duration import SECOND
from llm_router.routing.endpoint_index import DECODE_ROLES, PREFILL_ROLES
from llm_router.routing.endpoint_state import NO_TENANT_CLASS, EndpointState, TenantClass
from llm_router.routing.load_probes import MAX_PROBES, LoadProbes
from llm_router.routing.prefill_selection import PrefillSelection
from llm_router.routing.queueing_delay import QueueingDelays
from llm_router.routing.reservations import MAX_RESERVATIONS, Reservations
from llm_router.routing.settings import Role
from llm_router.routing.statistics import RECENT_SPAN, DecayingCounter
from llm_router.routing.tracked_request import RequestPhase, TrackedRequest

# A request is rejected if its expected wait exceeds this share of its latency objective.
MAX_WAIT_SHARE = 0.8
# For a tenant over its quota, a request is rejected if its wait exceeds this smaller share.
MAX_WAIT_SHARE_OVER_QUOTA = 0.4
# The factor on both limits for a request that is a client's retry. Another router instance may have capacity.
RETRY_WAIT_FACTOR = 0.5
# Nanoseconds after the maximum wait at which an endpoint is expected if none has a required role.
NO_ENDPOINT_DELAY = SECOND


class Admission:
    """The admission control of requests, based on their expected wait at recently used endpoints."""

    def __init__(
        self,
        context: PolicyContext,
        candidates: CandidateSubset,
        prefill_selection: PrefillSelection,
        load_probes: LoadProbes,
        delays: QueueingDelays,
        reservations: Reservations,
    ) -> None:
        self.context = context
        self.candidates = candidates
        self.prefill_selection = prefill_selection
        self.load_probes = load_probes
        self.delays = delays
        self.reservations = reservations
        self.arrivals: dict[str, DecayingCounter] = {}  # counters of received requests, by tenant
        self._quotas = {tenant.name: tenant.requests_per_second for tenant in context.settings.tenants}

    def record_arrival(self, tenant: str | None) -> None:
        """Count a received request toward the quota of its tenant."""
        counter = self.arrivals.setdefault(tenant or "", DecayingCounter(RECENT_SPAN))
        counter.add(self.context.now)

    def would_be_late(self, request: TrackedRequest) -> bool:
        """Return whether a request would wait too long, and set the time after which its client should retry.

        The wait of a retry is also counted from its own arrival, because the age of the first request is
        unknown. The advised retry time is the part of the wait above MAX_WAIT_SHARE."""
        objective = request.latency_objective
        wait = self.context.now - request.arrived_at + self._expected_wait(request)
        request.retry_after = round(wait - MAX_WAIT_SHARE * objective)
        return wait > self._max_wait_share(request) * objective

    def no_endpoint_in_time(self, request: TrackedRequest) -> bool:
        """Return whether a phase of a request gets no available endpoint before the request would be late.

        This is the case if all endpoints of a phase are removed, ejected or overloaded. The client is then
        advised to retry when the first endpoint becomes available."""
        last_useful = request.arrived_at + round(MAX_WAIT_SHARE * request.latency_objective)
        last_useful = max(self.context.now, last_useful)
        available_at = max(
            self._earliest_available(roles, request.tenant_class, last_useful)
            for roles in (DECODE_ROLES, self._first_phase_roles(request))
        )
        request.retry_after = available_at - self.context.now
        return available_at > last_useful

    def _first_phase_roles(self, request: TrackedRequest) -> tuple[Role, ...]:
        """Return the roles that can serve the next phase; one endpoint of these roles must be available."""
        if request.phase is RequestPhase.PREFILLED or self.context.settings.append_prefill:
            return tuple(Role)
        return PREFILL_ROLES

    def _earliest_available(
        self, roles: tuple[Role, ...], tenant_class: TenantClass, last_useful: int
    ) -> int:
        """Return the earliest time at which an endpoint of some roles is available for a tenant and class."""
        times = []
        for endpoint in self.candidates.candidates(roles):
            available_at = endpoint.available_at(tenant_class)
            if available_at <= self.context.now:
                return available_at
            times.append(available_at)
        earliest = min(times, default=last_useful + NO_ENDPOINT_DELAY)
        if earliest > last_useful and not self.candidates.is_small(*roles):
            others = self.candidates.sample(roles)
            return min([earliest, *(endpoint.available_at(tenant_class) for endpoint in others)])
        return earliest

    def _expected_wait(self, request: TrackedRequest) -> float:
        """Return the expected wait of a request in nanoseconds.

        It is the sum of the median queueing delays of its phases and a wait for decode capacity. The latter
        grows with the share of denied reservations, because attempts without a reservation queue at the
        decode endpoints and delay their answers."""
        wait = 0.0
        for endpoints in self._phase_endpoints(request):
            delays = [self.delays.delay(endpoint) for endpoint in endpoints if self.delays.is_known(endpoint)]
            if delays:
                wait += median(delays)
        all_denied = self.reservations.denied_share() ** MAX_RESERVATIONS
        return wait + all_denied * request.latency_objective

    def _phase_endpoints(self, request: TrackedRequest) -> list[list[EndpointState]]:
        """Return the endpoints whose queueing delays determine the expected wait, one list per phase."""
        if request.append_endpoint is not None:
            return [[request.append_endpoint]]
        if request.probed_endpoints:
            prefill = self._reported_endpoints(request)
        else:
            prefill = self._recently_used(Role.PREFILL)
        return [prefill, self._recently_used(Role.DECODE)]

    def _recently_used(self, role: Role) -> list[EndpointState]:
        """Return the usable endpoints of a role; in a large fleet, only those used recently."""
        if self.candidates.is_small(role):
            return self.candidates.usable((role,))
        recent = self.candidates.index.recently_used(role, MAX_CANDIDATES)
        return [endpoint for endpoint in recent if self.candidates.accepts(endpoint, NO_TENANT_CLASS)]

    def _reported_endpoints(self, request: TrackedRequest) -> list[EndpointState]:
        """Return the endpoints whose load reports determine the expected wait for a prefill.

        This is the best prefill endpoint if it has a recent load report. Otherwise the list is empty while
        more endpoints may be probed. After MAX_PROBES probes, it contains all probed endpoints."""
        first = self.prefill_selection.first(request)
        if first is not None and self.load_probes.has_report(first):
            return [first]
        return request.probed_endpoints if len(request.probed_endpoints) >= MAX_PROBES else []

    def _max_wait_share(self, request: TrackedRequest) -> float:
        """Return the maximum wait of a request, as a share of its latency objective."""
        share = MAX_WAIT_SHARE_OVER_QUOTA if self._is_over_quota(request) else MAX_WAIT_SHARE
        return share * RETRY_WAIT_FACTOR if request.received.is_retry else share

    def _is_over_quota(self, request: TrackedRequest) -> bool:
        """Return whether a tenant is over its quota, assuming equal request rates at all router instances."""
        tenant = request.received.tenant or ""
        quota = self._quotas.get(tenant)
        if not quota:
            return False
        arrivals = self.arrivals[tenant].count * self.context.settings.router_count
        return arrivals / (RECENT_SPAN / SECOND) > quota
