"""The popularity of prompt prefixes: the share of recent requests that have a given prefix."""

from __future__ import annotations

from llm_router.routing.context import PolicyContext
from llm_router.routing.duration import SECOND
from llm_router.routing.statistics import DecayingCounter, drop_older_than, drop_oldest

# The nanoseconds over which requests are counted. The span equals the idle timeout of sessions.
POPULARITY_SPAN = 120 * SECOND
# This number is added to the count of all requests, so that the first requests make no prefix popular.
PRIOR_REQUESTS = 10
# Maximum number of counters. Clients choose the prefixes, so without a limit they could fill the memory.
MAX_COUNTERS = 16_384
ALL_REQUESTS = ""  # key of the counter for all requests


class PrefixPopularity:
    """Decaying counters of requests by prefix."""

    def __init__(self, context: PolicyContext) -> None:
        self.context = context
        self.requests: dict[str, DecayingCounter] = {}  # request counters by prefix, ordered by last update

    def record(self, prefix: str | None) -> None:
        """Count a request in the counter of its prefix and in the counter of all requests."""
        for key in dict.fromkeys((ALL_REQUESTS, prefix or ALL_REQUESTS)):
            self.requests[key] = self.requests.pop(key, DecayingCounter(POPULARITY_SPAN))
            self.requests[key].add(self.context.now)
        drop_oldest(self.requests, MAX_COUNTERS)

    def share(self, prefix: str) -> float:
        """Return the share of recent requests that have this prefix, without counting the current request.

        It is 0 for a prefix whose counter was dropped."""
        counter = self.requests.get(prefix)
        earlier = max(0.0, counter.count - 1) if counter is not None else 0.0
        return earlier / (self.requests[ALL_REQUESTS].count + PRIOR_REQUESTS)

    def drop_idle(self) -> None:
        """Delete the counters of prefixes that had no request within POPULARITY_SPAN."""
        drop_older_than(self.requests, self.context.now - POPULARITY_SPAN)
