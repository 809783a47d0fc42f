"""Moving averages and decaying counters for recent measurements and events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeVar

from llm_router.routing.duration import SECOND

# The weight of a new sample in a moving average; the average covers about the last ten samples.
SMOOTHING_FACTOR = 0.1
RECENT_SPAN = 5 * SECOND  # nanoseconds over which events are counted; load changes within seconds


@dataclass(slots=True)
class MovingAverage:
    """An exponentially weighted moving average; `value` is None before the first sample."""

    value: float | None = None

    def add(self, sample: float) -> None:
        """Add a sample."""
        if self.value is None:
            self.value = sample
        else:
            self.value += SMOOTHING_FACTOR * (sample - self.value)


@dataclass(slots=True)
class DecayingCounter:
    """A count of recent events that decays over `span` nanoseconds."""

    span: int
    count: float = 0.0
    updated_at: int = 0

    def decay(self, now: int) -> float:
        """Apply the decay up to `now` and return the count."""
        self.count *= max(0.0, 1 - (now - self.updated_at) / self.span)
        self.updated_at = now
        return self.count

    def add(self, now: int, amount: int = 1) -> float:
        """Add `amount` events and return the count."""
        self.decay(now)
        self.count += amount
        return self.count


class Timestamped(Protocol):
    """An object with the time of its last update."""

    updated_at: int


Entry = TypeVar("Entry", bound=Timestamped)


def drop_oldest(table: dict[str, Entry], max_entries: int) -> None:
    """Remove the entries updated longest ago while there are more than `max_entries`.

    The table must be ordered by update time."""
    while len(table) > max_entries:
        del table[next(iter(table))]


def drop_older_than(table: dict[str, Entry], moment: int) -> None:
    """Remove the entries last updated before `moment`. The table must be ordered by update time."""
    while table:
        oldest = next(iter(table))
        if table[oldest].updated_at >= moment:
            return
        del table[oldest]
