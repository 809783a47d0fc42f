"""Slow start, which limits the rate of attempts at an endpoint that started a short time ago."""

from __future__ import annotations

from llm_router.routing.context import PolicyContext
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.send_rates import SendRates
from llm_router.routing.statistics import RECENT_SPAN

# Share of the rate that an endpoint in slow start can withstand, used by all router instances together.
# The rest of the rate is a safety margin.
SAFETY_FACTOR = 0.4


class SlowStart:
    """The rate limiter of attempts at endpoints in slow start.

    The first attempt at an endpoint is delayed by a random time, so that the router instances do not all send
    their attempts at the same moment."""

    def __init__(self, context: PolicyContext, send_rates: SendRates) -> None:
        self.context = context
        self.send_rates = send_rates

    def admit(self, endpoint: EndpointState, *, is_prefill: bool) -> bool:
        """Return whether an attempt may be sent to an endpoint now; if so, set the time of the next one."""
        if not self._is_limited(endpoint):
            return True
        now = self.context.now
        interval = self._interval(endpoint, is_prefill)
        if endpoint.next_slow_start_send is None:
            endpoint.next_slow_start_send = now + self.context.random.randrange(interval + 1)
        if now < endpoint.next_slow_start_send:
            return False
        endpoint.next_slow_start_send = now + interval
        return True

    def _is_limited(self, endpoint: EndpointState) -> bool:
        settings = self.context.settings
        started_at = endpoint.entry.started_at
        if not started_at or not settings.overload_factor:
            return False
        return self.context.now < started_at + settings.slow_start_window

    def _interval(self, endpoint: EndpointState, is_prefill: bool) -> int:
        """Return the minimum time between two attempts at an endpoint in slow start, in nanoseconds."""
        settings = self.context.settings
        rate = self.send_rates.recent_per_endpoint(endpoint, is_prefill=is_prefill)
        if not rate:
            return settings.slow_start_window
        max_rate_share = min(1.0, settings.slow_start_share * (settings.overload_factor or 0.0))
        rate_share = max_rate_share * SAFETY_FACTOR
        return round(RECENT_SPAN / (rate * rate_share))
