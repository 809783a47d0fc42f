"""Counts and durations of what was met in an interval, for one line of the log."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

LOG_INTERVAL = timedelta(seconds=5)  # between two lines of the log, at least
MILLISECOND = timedelta(milliseconds=1)


@dataclass(slots=True)
class DurationSummary:
    """The sum and the maximum of several durations."""

    total: timedelta = timedelta()
    longest: timedelta = timedelta()

    def add(self, duration: timedelta) -> None:
        """Add one duration."""
        self.total += duration
        self.longest = max(self.longest, duration)


@dataclass(slots=True)
class IntervalMetrics:
    """Counts and durations since the last line of the log."""

    started_at: timedelta | None = None
    counts: Counter[str] = field(default_factory=Counter)
    durations: dict[str, DurationSummary] = field(default_factory=dict)  # by name, for a part of the counts

    def add(self, name: str, duration: timedelta | None = None) -> None:
        """Count one more, with how long it took where that is known."""
        self.counts[name] += 1
        if duration is not None:
            self.durations.setdefault(name, DurationSummary()).add(duration)

    def end_interval(self, now: timedelta) -> dict[str, object] | None:
        """Return the log fields of the interval and start the next, None while this one is not over."""
        if self.started_at is None:
            self.started_at = now
        if now - self.started_at < LOG_INTERVAL or not self.counts:
            return None
        seconds = round((now - self.started_at).total_seconds(), 1)
        fields: dict[str, object] = {"seconds": seconds, **self.counts}
        for name, summary in self.durations.items():
            fields[f"{name}_ms"] = round(summary.total / self.counts[name] / MILLISECOND)
            fields[f"{name}_max_ms"] = round(summary.longest / MILLISECOND)
        self.started_at = now
        self.counts.clear()
        self.durations.clear()
        return fields
