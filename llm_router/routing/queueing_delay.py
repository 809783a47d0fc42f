"""Estimates how long new work waits at an endpoint."""

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
    """Measures queueing delays by our own attempts, and takes load reports where they are fresh."""

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
        """Record that a prefill or a first token took `elapsed` nanoseconds, prefill included."""
        endpoint.queueing_delay = elapsed - self.estimates.duration(uncached_tokens)
        endpoint.queueing_delay_at = self.context.now
        self.index.mark_used(endpoint)

    def delay(self, endpoint: EndpointState) -> int:
        """Return the probable wait in nanoseconds: that of our oldest attempt there, or of the last one."""
        oldest = endpoint.oldest_waiting
        oldest_delay = 0
        if oldest is not None:
            waited = self.context.now - oldest.sent_at
            oldest_delay = waited - self.estimates.duration(oldest.uncached_tokens)
        if endpoint.role is not Role.DECODE and self.load_probes.has_report(endpoint):
            queued = round(endpoint.load_report.queued_prompt_tokens or 0)
            return max(oldest_delay, self.estimates.duration(queued))
        return max(0, oldest_delay, self._fading_delay(endpoint))

    def is_known(self, endpoint: EndpointState) -> bool:
        """Return whether an endpoint has shown recently how long new work waits there."""
        if endpoint.oldest_waiting is not None:
            return True
        if self.context.now < endpoint.queueing_delay_at + RECENT_SPAN:
            return True
        return self.load_probes.has_report(endpoint)

    def _fading_delay(self, endpoint: EndpointState) -> int:
        """Return the last measured delay, less the longer ago that was; it may be below 0."""
        measured = endpoint.queueing_delay
        if measured <= 0:
            return 0
        age = self.context.now - endpoint.queueing_delay_at
        lifetime = measured + self.send_rates.mean_interval(endpoint) / 3
        return round(measured * (1 - age / lifetime))
