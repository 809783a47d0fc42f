"""Counts and durations of the events in one interval, which are logged in one line."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

LOG_INTERVAL = timedelta(seconds=5)  # minimum time between two log lines with metrics
MILLISECOND = timedelta(milliseconds=1)


@dataclass(slots=True)
class DurationSummary:
    """The sum and the maximum of the durations that were added."""

    total: timedelta = timedelta()
    longest: timedelta = timedelta()

    def add(self, duration: timedelta) -> None:
        """Add one duration to the summary."""
        self.total += duration
        self.longest = max(self.longest, duration)


@dataclass(slots=True)
class IntervalMetrics:
    """The counts and durations of events since the last log line with metrics."""

    started_at: timedelta | None = None
    counts: Counter[str] = field(default_factory=Counter)
    # The durations by metric name. Some metrics have only a count.
    durations: dict[str, DurationSummary] = field(default_factory=dict)

    def add(self, name: str, duration: timedelta | None = None) -> None:
        """Count one event, and add its duration if it has one."""
        self.counts[name] += 1
        if duration is not None:
            self.durations.setdefault(name, DurationSummary()).add(duration)

    def end_interval(self, now: timedelta) -> dict[str, object] | None:
        """Return the log fields of the interval and start the next one, or return None before its end."""
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
