"""The connections of aborted attempts whose close may reach their endpoint late."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

# The close of a connection may take this long to reach an endpoint behind a network partition.
MAX_CLOSE_DELAY_IF_UNREACHABLE = timedelta(seconds=3)


@dataclass(slots=True)
class UnconfirmedCloses:
    """The times of aborts by the number of the endpoint, until the endpoint answers a later call.

    An endpoint that answers is reachable, so that the close has reached it or does so soon."""

    aborted_at: dict[int, timedelta] = field(default_factory=dict)

    def __contains__(self, endpoint: int) -> bool:
        """Return whether a close may reach the endpoint late."""
        return endpoint in self.aborted_at

    def record_abort(self, endpoint: int, now: timedelta) -> None:
        """Record that an attempt was aborted whose endpoint has answered no call since it began."""
        self.aborted_at[endpoint] = now

    def confirm(self, endpoint: int) -> None:
        """Record that an endpoint has answered a call."""
        self.aborted_at.pop(endpoint, None)

    @property
    def expected_until(self) -> timedelta:
        """The time until which the last of the closes may reach its endpoint."""
        if not self.aborted_at:
            return timedelta()
        return max(self.aborted_at.values()) + MAX_CLOSE_DELAY_IF_UNREACHABLE
