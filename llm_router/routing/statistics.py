"""Statistics over what was seen recently."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeVar

from llm_router.routing.duration import SECOND

SMOOTHING = 0.1  # weight of a new sample in a moving average: about the last ten samples count
RECENT_SPAN = 5 * SECOND  # nanoseconds over which rates are counted: load changes within seconds


@dataclass(slots=True)
class MovingAverage:
    """An exponentially weighted moving average; `value` is None before the first sample."""

    value: float | None = None

    def add(self, sample: float) -> None:
        """Add a sample."""
        if self.value is None:
            self.value = sample
        else:
            self.value += SMOOTHING * (sample - self.value)


@dataclass(slots=True)
class DecayingCounter:
    """A count of recent events, which fades over `span` nanoseconds."""

    span: int
    count: float = 0.0
    updated_at: int = 0

    def decay(self, now: int) -> float:
        """Let the count fade up to `now` and return it."""
        self.count *= max(0.0, 1 - (now - self.updated_at) / self.span)
        self.updated_at = now
        return self.count

    def add(self, now: int, amount: int = 1) -> float:
        """Count `amount` more events and return the count."""
        self.decay(now)
        self.count += amount
        return self.count


class Timestamped(Protocol):
    """Something that knows when it was last updated."""

    updated_at: int


Entry = TypeVar("Entry", bound=Timestamped)


def drop_older_than(table: dict[str, Entry], moment: int) -> None:
    """Drop the entries last updated before `moment` from a table in the order of its updates."""
    while table:
        oldest = next(iter(table))
        if table[oldest].updated_at >= moment:
            return
        del table[oldest]
