"""Decides whether idle connections to endpoints may be reused."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

from llm_router import log
from llm_router.transport.clock import to_seconds

STALE_THRESHOLD = 2  # number of stale connections within STALE_WINDOW that suspends the reuse
STALE_WINDOW = timedelta(seconds=5)
# Duration of the first suspension of the reuse.
# A suspension lasts twice as long as the previous one if the time between the two is shorter than that one.
INITIAL_BACKOFF = timedelta(seconds=10)
MAX_BACKOFF = timedelta(seconds=80)  # maximum duration of a suspension


class IdleConnectionPolicy:
    """Suspends the reuse of idle connections after several stale connections within a short time.

    Endpoints or proxies in front of them may reset connections that were idle only briefly. A request on
    such a connection may have run, so a request that must not run twice fails. All times are event loop
    times in seconds."""

    def __init__(self, enabled: bool) -> None:
        self._enabled = enabled  # Whether the configuration allows idle connections.
        self._suspended = False
        self.stale_at: deque[float] = deque(maxlen=STALE_THRESHOLD)  # times of the last stale connections
        self._backoff = to_seconds(INITIAL_BACKOFF)
        self._resume_at = 0.0

    @property
    def reuses(self) -> bool:
        """Whether idle connections may be reused now."""
        return self._enabled and not self._suspended

    def record_stale(self, now: float, idle_seconds: float) -> None:
        """Record a stale connection; suspend the reuse if the threshold is reached."""
        self.stale_at.append(now)
        is_below_threshold = len(self.stale_at) < STALE_THRESHOLD or now - self.stale_at[0] > to_seconds(
            STALE_WINDOW
        )
        if is_below_threshold or not self.reuses:
            return
        is_repeated = now - self._resume_at < self._backoff
        longer = min(2 * self._backoff, to_seconds(MAX_BACKOFF))
        self._backoff = longer if is_repeated else to_seconds(INITIAL_BACKOFF)
        self._resume_at = now + self._backoff
        self._suspended = True
        log.emit("idle_connections_stale", idle_ms=round(idle_seconds * 1000), none_kept_for_s=self._backoff)

    def update(self, now: float) -> None:
        """Resume the reuse of idle connections once the backoff is over."""
        if self._suspended and now > self._resume_at:
            self._suspended = False
