"""Decides how long a router waits for the next event of a stream that has started."""

from __future__ import annotations

from llm_router.routing.duration import MILLISECOND, SECOND

# Maximum time between two events, and between two pieces of one event.
# A client must not be left waiting for 5 s after the last event of a running endpoint.
EVENT_TIMEOUT = 4_800 * MILLISECOND
# Minimum rate in bytes per second at which an endpoint must write an event that takes longer than this.
MIN_EVENT_RATE = 100
# Maximum time by which the bytes of one incomplete event extend the time for it, however many they are.
MAX_EVENT_EXTENSION = 60 * SECOND


class StreamTimeout:
    """The time until which one stream may wait for its endpoint; all times are in nanoseconds.

    Only bytes of an event extend this time. Comments and empty lines do not, because an endpoint that writes
    nothing else has stopped. An endpoint may write one long event slowly. So each byte of an incomplete event
    extends the time by the duration of one byte at MIN_EVENT_RATE."""

    def __init__(self, now: int) -> None:
        self._waiting_since = now
        self._last_progress = now
        self._incomplete_size = 0

    def event_completed(self, now: int) -> None:
        """Record that the router begins to wait for another event."""
        self._waiting_since = now
        self._last_progress = now
        self._incomplete_size = 0

    def event_grew(self, now: int, incomplete_size: int) -> None:
        """Record the size in bytes of the incomplete event; other bytes do not count."""
        if incomplete_size > self._incomplete_size:
            self._incomplete_size = incomplete_size
            self._last_progress = now

    @property
    def expires_at(self) -> int:
        """The time at which the stream counts as stalled unless it makes progress."""
        extension = min(self._incomplete_size * SECOND // MIN_EVENT_RATE, MAX_EVENT_EXTENSION)
        return EVENT_TIMEOUT + min(self._waiting_since + extension, self._last_progress)
