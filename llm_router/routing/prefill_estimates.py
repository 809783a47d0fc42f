"""Estimates of prefill work, from what earlier requests showed."""

from __future__ import annotations

from llm_router.routing.duration import SECOND
from llm_router.routing.endpoint_state import CachedPrefix, EndpointState
from llm_router.routing.session_affinity import IDLE_TIMEOUT
from llm_router.routing.statistics import MovingAverage, drop_older_than
from llm_router.routing.tracked_request import TrackedRequest

SPEED_RETENTION = 0.98  # of the best prefill speed that is left with each prefill, so that it can sink


class PrefillEstimates:
    """The mean prompt length, the prefill speed and what endpoints have cached."""

    def __init__(self) -> None:
        self.prompt_tokens = MovingAverage()
        self.tokens_per_second = 0.0  # of an endpoint at its best

    @property
    def mean_prompt_tokens(self) -> float:
        """Return the mean length of recent prompts, 0 before the first."""
        return self.prompt_tokens.value or 0

    def duration(self, tokens: int) -> int:
        """Return how many nanoseconds a prefill of some tokens takes; 0 while no speed is known."""
        if not self.tokens_per_second:
            return 0
        return round(tokens * SECOND / self.tokens_per_second)

    def uncached_tokens(self, request: TrackedRequest, endpoint: EndpointState) -> int:
        """Return how many tokens of a prompt an endpoint probably has to prefill."""
        received = request.received
        cached = received.prefix_tokens if (received.prefix or "") in endpoint.cached_prefixes else 0
        affinity = request.affinity
        if affinity is not None and affinity.prefill_endpoint_id == endpoint.endpoint_id:
            cached = max(cached, affinity.prefilled_tokens)
        return max(0, received.prompt_tokens - cached)

    def record_prefill(self, tokens: int, elapsed: int) -> None:
        """Learn the prefill speed from a prefill of some tokens in `elapsed` nanoseconds."""
        speed = tokens * SECOND / max(1, elapsed)
        self.tokens_per_second = max(speed, self.tokens_per_second * SPEED_RETENTION)

    def record_cached_prefix(self, request: TrackedRequest, endpoint: EndpointState, now: int) -> None:
        """Note that an endpoint has a request's prefix in its cache."""
        prefix = request.received.prefix or ""
        endpoint.cached_prefixes.pop(prefix, None)
        endpoint.cached_prefixes[prefix] = CachedPrefix(now)
        drop_older_than(endpoint.cached_prefixes, now - IDLE_TIMEOUT)
