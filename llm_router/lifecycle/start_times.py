"""When each endpoint's present start counts as begun, on the reducer's clock.

Discovery tells starts by the wall clock of another machine. A slow start is a span of real time, so a told
start is believed only as far as it fits what could be known of it here."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

LONG_AGO = timedelta()  # as discovery tells it
LATEST = timedelta(days=100_000)  # any told start beyond this is no time at all, and counts as now
REMEMBERED = timedelta(minutes=10)  # for how long an endpoint that is listed no more keeps its start


@dataclass(slots=True, frozen=True)
class Start:
    """A start as it was told, and as it counts."""

    told: timedelta
    counted: timedelta


@dataclass(slots=True)
class StartTimes:
    """The starts of the endpoints that are listed, and for a while of those that were."""

    late_by: timedelta = timedelta()  # a start so long before the last answer is believed
    counted: dict[str, Start] = field(default_factory=dict)
    gone: dict[str, tuple[Start, timedelta]] = field(default_factory=dict)  # with when; the oldest first

    def count(self, name: str, told: timedelta, now: timedelta, unheard: timedelta | None) -> timedelta:
        """Give the clock time from which a told start counts.

        `unheard` is how long before now the last answer of discovery came, None if this is the first: what
        was not in that answer started later, or little before it where lists come late. One that is told to
        lie further back counts from that answer. A start that was counted before counts as it did."""
        if told == LONG_AGO:
            self.counted.pop(name, None)
            return LONG_AGO
        start = self.counted.get(name) or self.gone.pop(name, (None, now))[0]
        if start is None or start.told != told:
            believed = told
            if unheard is not None and told < now - unheard - self.late_by:
                believed = now - unheard
            if start is not None:
                believed = max(believed, start.counted + timedelta.resolution)
            start = Start(told, min(believed, now))
        self.counted[name] = start
        return start.counted

    def forget(self, name: str, now: timedelta) -> None:
        """Note that an endpoint is listed no more; it may come back with the same start."""
        if (start := self.counted.pop(name, None)) is not None:
            self.gone[name] = start, now
        while self.gone and now - next(iter(self.gone.values()))[1] > REMEMBERED:
            del self.gone[next(iter(self.gone))]


def parse_start_time(since_ms: object) -> timedelta:
    """Translate a told start, in milliseconds of Unix time, 0 for long ago.

    What is no number may be anything, so it counts as a start of just now; so does what lies ahead."""
    if isinstance(since_ms, bool) or not isinstance(since_ms, int | float) or since_ms != since_ms:
        return LATEST
    latest_ms = LATEST // timedelta(milliseconds=1)
    return timedelta(milliseconds=min(max(since_ms, 0), latest_ms))
