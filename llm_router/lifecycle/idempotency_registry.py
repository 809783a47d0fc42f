"""A registry of the idempotency keys of requests that may have run, limited in size and in time."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(slots=True)
class IdempotencyRegistry:
    """The idempotency keys of requests that must not run twice.

    A client may repeat a request, for example a booking, while the first one runs or after it may have run. A
    key is registered when its request is accepted. It is removed `retention` after the end of the request, or
    at the end if the request has certainly not run.

    A full registry accepts no key, or forgets the oldest one that has ended if `forgets_oldest` is true."""

    capacity: int  # maximum number of keys
    retention: timedelta
    forgets_oldest: bool = False
    running: set[str] = field(default_factory=set)
    completed: dict[str, timedelta] = field(default_factory=dict)  # end times by key, oldest first

    def conflicts(self, key: str, now: timedelta) -> bool:
        """Return whether a request with this key is running or may have run within the retention time."""
        self.expire(now)
        return key in self.running or key in self.completed

    @property
    def is_full(self) -> bool:
        """Whether the registry accepts no key; forgetting one early could let a request run twice."""
        return not self.forgets_oldest and self._is_at_capacity

    @property
    def _is_at_capacity(self) -> bool:
        return len(self.running) + len(self.completed) >= self.capacity

    def start(self, key: str) -> None:
        """Register the key of a request that starts to run."""
        if self.completed and self._is_at_capacity:
            del self.completed[next(iter(self.completed))]
        self.running.add(key)

    def end(self, key: str, now: timedelta, may_have_run: bool) -> None:
        """Record the end of the request with this key; if it has not run, the key becomes free for reuse."""
        if key not in self.running:
            return
        self.running.discard(key)
        if may_have_run:
            self.completed[key] = now

    def expire(self, now: timedelta) -> None:
        """Remove the keys whose retention time has ended."""
        while self.completed:
            oldest = next(iter(self.completed))
            if now - self.completed[oldest] <= self.retention:
                return
            del self.completed[oldest]
