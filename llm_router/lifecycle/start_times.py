"""The start times of endpoints, converted to the router's clock.

Discovery reports start times on the wall clock of another host, which may be wrong. Slow start is measured in
real time, so a reported start time is limited to the range that is plausible on the router's clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from math import isnan

# NO_START_TIME is re-exported for the parsers of endpoint lists.
from llm_router.lifecycle.endpoint import NO_START_TIME as NO_START_TIME

# Upper limit for reported start times. It stands for an invalid value; as a future time, it counts as now.
MAX_START_TIME = timedelta(days=100_000)
RETENTION = timedelta(minutes=10)  # how long the start time of a removed endpoint is kept


@dataclass(slots=True, frozen=True)
class StartTime:
    """The start time of an endpoint as discovery reported it, and as it is used on the router's clock."""

    reported: timedelta
    effective_start: timedelta


@dataclass(slots=True, frozen=True)
class RemovedStartTime:
    """The start time of an endpoint that was removed from the endpoint list."""

    start: StartTime
    removed_at: timedelta


@dataclass(slots=True)
class StartTimes:
    """The start times of the listed endpoints, and of endpoints that were removed a short time ago."""

    # The maximum delay of an endpoint list.
    # An endpoint may have started up to this long before the last answer of discovery.
    max_list_delay: timedelta = timedelta()
    listed: dict[str, StartTime] = field(default_factory=dict)
    # The removed endpoints by name, in the order of their removal.
    removed: dict[str, RemovedStartTime] = field(default_factory=dict)

    def effective_start(
        self, name: str, reported: timedelta, now: timedelta, since_last_answer: timedelta | None
    ) -> timedelta:
        """Record a reported start time, and return the start time to use on the router's clock.

        `since_last_answer` is the time since the last answer of discovery, or None if this is the first
        answer. If the last answer did not contain a start, the endpoint cannot have started more than
        `max_list_delay` before that answer. An earlier reported time is wrong, and the time of that answer is
        used instead. If the same start time is reported again, the result stays the same."""
        if reported == NO_START_TIME:
            self.listed.pop(name, None)
            return NO_START_TIME
        start = self.listed.get(name) or self._restore(name)
        if start is None or start.reported != reported:
            start = StartTime(reported, self._plausible_start(reported, now, since_last_answer, start))
        self.listed[name] = start
        return start.effective_start

    def remove(self, name: str, now: timedelta) -> None:
        """Record that an endpoint was removed from the list; it may return with the same start time."""
        start = self.listed.pop(name, None)
        if start is not None:
            self.removed[name] = RemovedStartTime(start, now)
        while self.removed:
            oldest = next(iter(self.removed))
            if now - self.removed[oldest].removed_at <= RETENTION:
                break
            del self.removed[oldest]

    def _restore(self, name: str) -> StartTime | None:
        """Return the start time of an endpoint that is listed again, and drop it from `removed`."""
        removed = self.removed.pop(name, None)
        return None if removed is None else removed.start

    def _plausible_start(
        self,
        reported: timedelta,
        now: timedelta,
        since_last_answer: timedelta | None,
        previous: StartTime | None,
    ) -> timedelta:
        """Return a reported start time limited to the plausible range.

        The result is not in the future and is later than the previous start of the same endpoint."""
        plausible = reported
        if since_last_answer is not None and reported < now - since_last_answer - self.max_list_delay:
            plausible = now - since_last_answer
        if previous is not None:
            plausible = max(plausible, previous.effective_start + timedelta.resolution)
        return min(plausible, now)


def parse_start_time(unix_milliseconds: object) -> timedelta:
    """Return a reported start time, in milliseconds of Unix time, as a `timedelta`.

    The value 0 means that discovery gives no start time. A value that is not a number becomes MAX_START_TIME,
    so that the endpoint counts as started now."""
    if isinstance(unix_milliseconds, bool) or not isinstance(unix_milliseconds, int | float):
        return MAX_START_TIME
    if isinstance(unix_milliseconds, float) and isnan(unix_milliseconds):
        return MAX_START_TIME
    latest = MAX_START_TIME // timedelta(milliseconds=1)
    return timedelta(milliseconds=min(max(unix_milliseconds, 0), latest))
