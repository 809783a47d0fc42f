"""The idempotency keys of requests that may have run, bounded in number and in time."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(slots=True)
class IdempotencyRegistry:
    """Keys of requests that must not run twice.

    A client may repeat a booking whose first sending runs or may have run. A key is registered when its
    request comes, and stays until `retention` after the request's end, unless it certainly never ran."""

    capacity: int
    retention: timedelta
    running: set[str] = field(default_factory=set)
    completed: dict[str, timedelta] = field(default_factory=dict)  # end times, oldest first

    def conflicts(self, key: str, now: timedelta) -> bool:
        """Return whether a request with this key is running or may have run within the retention time."""
        self.expire(now)
        return key in self.running or key in self.completed

    @property
    def is_full(self) -> bool:
        """Whether no other key fits: dropping one early could let a booking run twice."""
        return len(self.running) + len(self.completed) >= self.capacity

    def start(self, key: str) -> None:
        """Register a key as running."""
        self.running.add(key)

    def end(self, key: str, now: timedelta, may_have_run: bool) -> None:
        """Register a running key as ended; the key of a request that never ran may be used once more."""
        if key not in self.running:
            return
        self.running.discard(key)
        if may_have_run:
            self.completed[key] = now

    def expire(self, now: timedelta) -> None:
        """Remove the keys whose retention time is over."""
        while self.completed:
            oldest = next(iter(self.completed))
            if now - self.completed[oldest] <= self.retention:
                return
            del self.completed[oldest]
