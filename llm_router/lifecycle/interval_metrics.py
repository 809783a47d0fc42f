"""Counts and times of what was met, for one log line an interval."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

EVERY = timedelta(seconds=5)
MILLISECOND = timedelta(milliseconds=1)


@dataclass(slots=True)
class IntervalMetrics:
    """What was met since the last line."""

    since: timedelta | None = None
    counts: Counter = field(default_factory=Counter)
    times: dict[str, tuple[timedelta, timedelta]] = field(default_factory=dict)  # sum and longest, by name

    def add(self, name: str, took: timedelta | None = None) -> None:
        """Count one more, with the time that it took where one was told."""
        self.counts[name] += 1
        if took is not None:
            total, longest = self.times.get(name, (timedelta(), timedelta()))
            self.times[name] = total + took, max(longest, took)

    def line(self, now: timedelta) -> dict[str, object] | None:
        """Give the facts of an interval once it is over, and begin the next."""
        if self.since is None:
            self.since = now
        if now - self.since < EVERY or not self.counts:
            return None
        facts: dict[str, object] = {"seconds": round((now - self.since).total_seconds(), 1), **self.counts}
        for name, (total, longest) in self.times.items():
            facts[f"{name}_ms"] = round(total / self.counts[name] / MILLISECOND)
            facts[f"{name}_max_ms"] = round(longest / MILLISECOND)
        self.since = now
        self.counts.clear()
        self.times.clear()
        return facts
