"""How large a share of all requests has a given prefix."""

from __future__ import annotations

from llm_router.routing.context import PolicyContext
from llm_router.routing.duration import SECOND
from llm_router.routing.statistics import DecayingCounter, drop_older_than

POPULARITY_SPAN = 120 * SECOND  # nanoseconds over which requests count: as long as a session may idle
PRIOR_REQUESTS = 10  # added to the number of all requests, so that the first few make no prefix popular
ALL_REQUESTS = ""  # the key that counts every request


class PrefixPopularity:
    """Decaying counts of requests by prefix."""

    def __init__(self, context: PolicyContext) -> None:
        self.context = context
        self.requests: dict[str, DecayingCounter] = {}  # the one that was counted last stands last

    def record(self, prefix: str | None) -> None:
        """Count a request for its prefix, and among all."""
        for key in dict.fromkeys((ALL_REQUESTS, prefix or ALL_REQUESTS)):
            self.requests[key] = self.requests.pop(key, DecayingCounter(POPULARITY_SPAN))
            self.requests[key].add(self.context.now)

    def share(self, prefix: str) -> float:
        """Return the prefix's share of all requests, without the current request."""
        earlier = max(0.0, self.requests[prefix].count - 1)
        return earlier / (self.requests[ALL_REQUESTS].count + PRIOR_REQUESTS)

    def drop_idle(self) -> None:
        """Drop the prefixes that had no request within POPULARITY_SPAN."""
        drop_older_than(self.requests, self.context.now - POPULARITY_SPAN)
