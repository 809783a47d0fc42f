"""The pending timers of the routing policy."""

from __future__ import annotations

from collections.abc import Callable

from llm_router.routing.tracked_request import TrackedRequest

TimerCallback = Callable[[], TrackedRequest | None]


class Timers:
    """The callbacks of the pending timers, by timer number."""

    def __init__(self) -> None:
        self._callbacks: dict[int, TimerCallback] = {}
        self._last_id = 0

    def add(self, callback: TimerCallback) -> int:
        """Store a callback and return the number of its timer."""
        self._last_id += 1
        self._callbacks[self._last_id] = callback
        return self._last_id

    def fire(self, timer_id: int) -> TrackedRequest | None:
        """Run a timer's callback and remove it; return the request to advance next, if any."""
        callback = self._callbacks.pop(timer_id, None)
        return callback() if callback else None
