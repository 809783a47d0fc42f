"""From when an endpoint's present start counts, on the reducer's clock.

Discovery reports start times by the wall clock of another machine. Slow start is a span of real time, so a
reported start is plausible only as far as it fits what could have been known of it here."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from math import isnan

from llm_router.lifecycle.endpoint import (
    NO_START_TIME as NO_START_TIME,
)  # re-exported for the parsers of endpoint lists

MAX_START_TIME = timedelta(days=100_000)  # a reported start beyond this is no time at all, and counts as now
RETENTION = timedelta(minutes=10)  # for how long an endpoint that is no longer listed keeps its start


@dataclass(slots=True, frozen=True)
class StartTime:
    """A start as discovery reported it, and the clock time from which it counts."""

    reported: timedelta
    effective_start: timedelta


@dataclass(slots=True, frozen=True)
class RemovedStartTime:
    """The start of an endpoint that is no longer listed."""

    start: StartTime
    removed_at: timedelta


@dataclass(slots=True)
class StartTimes:
    """The starts of the listed endpoints, kept a while longer for those that were listed."""

    max_list_delay: timedelta = timedelta()  # a start so long before the last answer is still plausible
    listed: dict[str, StartTime] = field(default_factory=dict)
    removed: dict[str, RemovedStartTime] = field(default_factory=dict)  # oldest first

    def effective_start(
        self, name: str, reported: timedelta, now: timedelta, since_last_answer: timedelta | None
    ) -> timedelta:
        """Record a reported start, and return the clock time from which it counts.

        `since_last_answer` is how long before now the last answer of discovery came, None if this is the
        first. What was not in that answer started later, or a little before it where lists come late: a
        start that is reported further back counts from that answer. A start that is reported once more
        counts as it did."""
        if reported == NO_START_TIME:
            self.listed.pop(name, None)
            return NO_START_TIME
        start = self.listed.get(name) or self._restore(name)
        if start is None or start.reported != reported:
            start = StartTime(reported, self._plausible_start(reported, now, since_last_answer, start))
        self.listed[name] = start
        return start.effective_start

    def remove(self, name: str, now: timedelta) -> None:
        """Record that an endpoint is no longer listed; it may come back with the same start."""
        start = self.listed.pop(name, None)
        if start is not None:
            self.removed[name] = RemovedStartTime(start, now)
        while self.removed:
            oldest = next(iter(self.removed))
            if now - self.removed[oldest].removed_at <= RETENTION:
                break
            del self.removed[oldest]

    def _restore(self, name: str) -> StartTime | None:
        """Take the start of an endpoint that is listed anew from those that were removed."""
        removed = self.removed.pop(name, None)
        return None if removed is None else removed.start

    def _plausible_start(
        self,
        reported: timedelta,
        now: timedelta,
        since_last_answer: timedelta | None,
        previous: StartTime | None,
    ) -> timedelta:
        """Return a reported start within what can be true: not in the future, not before the previous one."""
        plausible = reported
        if since_last_answer is not None and reported < now - since_last_answer - self.max_list_delay:
            plausible = now - since_last_answer
        if previous is not None:
            plausible = max(plausible, previous.effective_start + timedelta.resolution)
        return min(plausible, now)


def parse_start_time(unix_milliseconds: object) -> timedelta:
    """Return a reported start, in milliseconds of Unix time with 0 for long ago, as a `timedelta`.

    What is not a number may mean anything, so it counts as a start of just now; so does a future time."""
    if isinstance(unix_milliseconds, bool) or not isinstance(unix_milliseconds, int | float):
        return MAX_START_TIME
    if isinstance(unix_milliseconds, float) and isnan(unix_milliseconds):
        return MAX_START_TIME
    latest = MAX_START_TIME // timedelta(milliseconds=1)
    return timedelta(milliseconds=min(max(unix_milliseconds, 0), latest))
