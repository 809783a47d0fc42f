"""Provides the router's clock, and conversions between `timedelta` and the event loop's seconds."""

from __future__ import annotations

import asyncio
import time
from datetime import timedelta

MILLISECOND = timedelta(milliseconds=1)
NANOSECONDS_PER_SECOND = 1_000_000_000


def to_seconds(duration: timedelta) -> float:
    """Return a duration in seconds, the unit of the event loop's clock."""
    return duration.total_seconds()


def to_duration(seconds: float) -> timedelta:
    """Return a number of seconds as a duration."""
    return timedelta(seconds=seconds)


def to_milliseconds(duration: timedelta) -> int:
    """Return a duration in milliseconds, rounded down."""
    return duration // MILLISECOND


def elapsed_since(start: float) -> timedelta:
    """Return the time since `start`, which is a time of the running event loop's clock."""
    return to_duration(asyncio.get_running_loop().time() - start)


def loop_nanoseconds() -> int:
    """Return the time of the running event loop in nanoseconds, the unit of the routing policy."""
    return to_nanoseconds(asyncio.get_running_loop().time())


def to_nanoseconds(seconds: float) -> int:
    """Return a duration or time of the event loop's clock in nanoseconds, the unit of the routing policy."""
    return int(seconds * NANOSECONDS_PER_SECOND)


def nanoseconds_to_seconds(nanoseconds: int) -> float:
    """Return a duration or time of the routing policy in seconds, the unit of the event loop's clock."""
    return nanoseconds / NANOSECONDS_PER_SECOND


class Clock:
    """A monotonic clock that is set to the wall-clock time when the router starts.

    It is monotonic because clock steps must not affect timers. It starts at the wall-clock time because it is
    compared with `since_ms` in the endpoint list, which is wall-clock time."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> timedelta:
        """Return the time since the Unix epoch, unaffected by clock steps after the router's start."""
        return to_duration(self._offset + time.monotonic())

    def loop_time(self, moment: timedelta) -> float:
        """Convert a time of this clock to the event loop's monotonic seconds."""
        return to_seconds(moment) - self._offset
