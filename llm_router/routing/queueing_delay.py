"""Estimates of the queueing delay of new work at an endpoint."""

from __future__ import annotations

from llm_router.routing.context import PolicyContext
from llm_router.routing.endpoint_index import EndpointIndex
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.load_probes import LoadProbes
from llm_router.routing.prefill_estimates import PrefillEstimates
from llm_router.routing.send_rates import SendRates
from llm_router.routing.settings import Role
from llm_router.routing.statistics import RECENT_SPAN


class QueueingDelays:
    """The estimator of queueing delays, from this router's own attempts and recent load reports."""

    def __init__(
        self,
        context: PolicyContext,
        index: EndpointIndex,
        estimates: PrefillEstimates,
        send_rates: SendRates,
        load_probes: LoadProbes,
    ) -> None:
        self.context = context
        self.index = index
        self.estimates = estimates
        self.send_rates = send_rates
        self.load_probes = load_probes

    def record(self, endpoint: EndpointState, elapsed: int, uncached_tokens: int) -> None:
        """Record the queueing delay of an attempt whose prefill or first token took `elapsed` nanoseconds."""
        endpoint.queueing_delay = elapsed - self.estimates.duration(uncached_tokens)
        endpoint.queueing_delay_at = self.context.now
        self.index.mark_used(endpoint)

    def delay(self, endpoint: EndpointState) -> int:
        """Return the estimated queueing delay of new work at an endpoint, in nanoseconds.

        The delay of this router's oldest waiting attempt is a lower bound. Beside it, the estimate uses a
        recent load report of a prefill or mixed endpoint, or else the last measured delay."""
        oldest = endpoint.oldest_waiting
        oldest_delay = 0
        if oldest is not None:
            waited = self.context.now - oldest.sent_at
            oldest_delay = waited - self.estimates.duration(oldest.uncached_tokens)
        if endpoint.role is not Role.DECODE and self.load_probes.has_report(endpoint):
            queued = round(endpoint.load_report.queued_prompt_tokens or 0)
            return max(oldest_delay, self.estimates.duration(queued))
        return max(0, oldest_delay, self._decayed_delay(endpoint))

    def is_known(self, endpoint: EndpointState) -> bool:
        """Return whether there is recent information on the queueing delay at an endpoint."""
        if endpoint.oldest_waiting is not None:
            return True
        if self.context.now < endpoint.queueing_delay_at + RECENT_SPAN:
            return True
        return self.load_probes.has_report(endpoint)

    def _decayed_delay(self, endpoint: EndpointState) -> int:
        """Return the last measured delay, reduced linearly with its age; for an old delay it is below 0."""
        measured = endpoint.queueing_delay
        if measured <= 0:
            return 0
        age = self.context.now - endpoint.queueing_delay_at
        lifetime = measured + self.send_rates.mean_interval(endpoint) / 3
        return round(measured * (1 - age / lifetime))
