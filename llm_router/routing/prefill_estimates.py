"""Estimates of prefill work from the measurements of earlier requests."""

from __future__ import annotations

from llm_router.routing.duration import SECOND
from llm_router.routing.endpoint_state import CachedPrefix, EndpointState
from llm_router.routing.session_affinity import IDLE_TIMEOUT, MAX_ENTRIES
from llm_router.routing.statistics import MovingAverage, drop_older_than, drop_oldest
from llm_router.routing.tracked_request import TrackedRequest

# The factor on the recorded peak prefill speed at each prefill, so that an outdated peak decays.
PEAK_SPEED_DECAY = 0.98


class PrefillEstimates:
    """The estimator of prompt lengths, prefill times and cached tokens."""

    def __init__(self) -> None:
        self.prompt_tokens = MovingAverage()
        self.tokens_per_second = 0.0  # recent peak prefill speed of an endpoint, 0 while unknown

    @property
    def mean_prompt_tokens(self) -> float:
        """Return the mean length of recent prompts in tokens, or 0 before the first prompt."""
        return self.prompt_tokens.value or 0

    def duration(self, tokens: int) -> int:
        """Return the estimated prefill time of `tokens` in nanoseconds, or 0 while no speed is known."""
        if not self.tokens_per_second:
            return 0
        return round(tokens * SECOND / self.tokens_per_second)

    def uncached_tokens(self, request: TrackedRequest, endpoint: EndpointState) -> int:
        """Return the estimated number of prompt tokens of a request that are not in an endpoint's cache."""
        received = request.received
        cached = received.prefix_tokens if (received.prefix or "") in endpoint.cached_prefixes else 0
        affinity = request.affinity
        if affinity is not None and affinity.prefill_endpoint_id == endpoint.endpoint_id:
            cached = max(cached, affinity.prefilled_tokens)
        return max(0, received.prompt_tokens - cached)

    def record_prefill(self, tokens: int, elapsed: int) -> None:
        """Update the peak prefill speed after a prefill of `tokens` in `elapsed` nanoseconds."""
        speed = tokens * SECOND / max(1, elapsed)
        self.tokens_per_second = max(speed, self.tokens_per_second * PEAK_SPEED_DECAY)

    def record_cached_prefix(self, request: TrackedRequest, endpoint: EndpointState, now: int) -> None:
        """Record that an endpoint has a request's prefix in its cache, and drop its idle prefixes."""
        prefix = request.received.prefix or ""
        endpoint.cached_prefixes.pop(prefix, None)
        endpoint.cached_prefixes[prefix] = CachedPrefix(now)
        drop_older_than(endpoint.cached_prefixes, now - IDLE_TIMEOUT)
        drop_oldest(endpoint.cached_prefixes, MAX_ENTRIES)
