"""Decides whether idle connections to endpoints may be used again."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

from llm_router import log
from llm_router.transport.clock import to_seconds

STALE_THRESHOLD = 2  # stale connections within the window that stop the reuse
STALE_WINDOW = timedelta(seconds=5)
INITIAL_BACKOFF = timedelta(seconds=10)  # without reuse; doubled if it comes to that again within the backoff
MAX_BACKOFF = timedelta(seconds=80)


class IdleConnectionPolicy:
    """Stops the reuse of idle connections for a while once several have been stale within a short time.

    Endpoints, or what lies before them, may reset idle connections however short they were idle. A request
    that must not run twice is lost with each: it may have run. All times are the event loop's seconds."""

    def __init__(self, enabled: bool) -> None:
        self._enabled = enabled  # False where the settings keep no idle connection at all
        self._suspended = False
        self.stale_at: deque[float] = deque(maxlen=STALE_THRESHOLD)  # the last stale connections
        self._backoff = to_seconds(INITIAL_BACKOFF)
        self._resume_at = 0.0

    @property
    def reuses(self) -> bool:
        """Whether idle connections are used again at present."""
        return self._enabled and not self._suspended

    def record_stale(self, now: float, idle_seconds: float) -> None:
        """Note a connection that broke when it was used again; stop the reuse where it is one too many."""
        self.stale_at.append(now)
        is_single = len(self.stale_at) < STALE_THRESHOLD or now - self.stale_at[0] > to_seconds(STALE_WINDOW)
        if is_single or not self.reuses:
            return
        is_repeated = now - self._resume_at < self._backoff
        longer = min(2 * self._backoff, to_seconds(MAX_BACKOFF))
        self._backoff = longer if is_repeated else to_seconds(INITIAL_BACKOFF)
        self._resume_at = now + self._backoff
        self._suspended = True
        log.emit("idle_connections_stale", idle_ms=round(idle_seconds * 1000), none_kept_for_s=self._backoff)

    def update(self, now: float) -> None:
        """Resume the reuse once the backoff is over."""
        if self._suspended and now > self._resume_at:
            self._suspended = False
