"""The router's clock, with the conversions between `timedelta` and the event loop's seconds."""

from __future__ import annotations

import asyncio
import time
from datetime import timedelta

MILLISECOND = timedelta(milliseconds=1)


def to_seconds(duration: timedelta) -> float:
    """Return a duration as the event loop counts it, in seconds."""
    return duration.total_seconds()


def to_duration(seconds: float) -> timedelta:
    """Return a span of the event loop's seconds as a duration."""
    return timedelta(seconds=seconds)


def to_milliseconds(duration: timedelta) -> int:
    """Return a duration in milliseconds, rounded down."""
    return duration // MILLISECOND


def elapsed_since(start: float) -> timedelta:
    """Return the time since a moment of the running event loop."""
    return to_duration(asyncio.get_running_loop().time() - start)


class Clock:
    """A clock that starts at the wall clock's time and runs on monotonically.

    Timers must not follow steps of the wall clock; yet the clock is compared with `since_ms` in the endpoint
    list, which is wall-clock time."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> timedelta:
        """Return the time since the epoch, as if the wall clock was never set after the start."""
        return to_duration(self._offset + time.monotonic())

    def loop_time(self, moment: timedelta) -> float:
        """Return a moment of this clock in the event loop's seconds, which count by the monotonic clock."""
        return to_seconds(moment) - self._offset
