"""The rates at which this router instance sends prefill and decode attempts."""

from __future__ import annotations

from llm_router.routing.context import PolicyContext
from llm_router.routing.endpoint_index import EndpointIndex
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.settings import Role
from llm_router.routing.statistics import RECENT_SPAN, DecayingCounter


class SendRates:
    """Separate decaying counters of the prefill attempts and decode attempts sent."""

    def __init__(self, context: PolicyContext, index: EndpointIndex) -> None:
        self.context = context
        self.index = index
        self._prefill = DecayingCounter(RECENT_SPAN)
        self._decode = DecayingCounter(RECENT_SPAN)

    def record(self, endpoint: EndpointState, *, is_prefill: bool) -> None:
        """Count an attempt sent to an endpoint."""
        self._counter(is_prefill).add(self.context.now)
        self.index.mark_used(endpoint)

    def recent_per_endpoint(self, endpoint: EndpointState, *, is_prefill: bool) -> float:
        """Return the mean number of recent attempts per endpoint, over the endpoints of the same role."""
        return self._counter(is_prefill).decay(self.context.now) / self.index.count(endpoint.role)

    def mean_interval(self, endpoint: EndpointState) -> int:
        """Return the mean time between attempts at each endpoint of the same role, in nanoseconds."""
        recent = self._counter(endpoint.role is Role.PREFILL).decay(self.context.now)
        return round(RECENT_SPAN * self.index.count(endpoint.role) / max(1.0, recent))

    def _counter(self, is_prefill: bool) -> DecayingCounter:
        return self._prefill if is_prefill else self._decode
