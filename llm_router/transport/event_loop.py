"""An event loop that records since when its input may have been waiting in the kernel."""

from __future__ import annotations

import asyncio
import selectors
import socket
import time
from collections.abc import Callable

# Seconds. A `select` that took longer has waited for its input, so that the input has come just now.
BLOCKED_THRESHOLD = 0.0005


class TimedSelector(selectors.DefaultSelector):
    """A selector that records since when the input that it reported last may have been there."""

    def __init__(self) -> None:
        super().__init__()
        self.select_count = 0
        self.input_since = time.monotonic()
        self._last_select = self.input_since

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready files; their input came after the call before, or while this one waited."""
        start = time.monotonic()
        ready = super().select(timeout)
        now = time.monotonic()
        self.input_since = now if now - start > BLOCKED_THRESHOLD else self._last_select
        self._last_select = now
        self.select_count += 1
        return ready


class TimedEventLoop(asyncio.SelectorEventLoop):
    """An event loop that knows since when its input may have been waiting."""

    def __init__(self) -> None:
        self.selector = TimedSelector()
        super().__init__(self.selector)

    def serve_connection(
        self, accepted: socket.socket, peer: object, factory: Callable[[], asyncio.Protocol]
    ) -> None:
        """Serve an accepted connection by a protocol of its own, without a task for its start.

        This keeps a flood of connections cheap; asyncio's public call makes a task for each. It calls a
        private method of the pinned Python release's event loop."""
        extra = {"peername": peer}
        self._make_socket_transport(accepted, factory(), extra=extra)  # type: ignore[attr-defined]  # private


def input_since(loop: asyncio.AbstractEventLoop) -> float:
    """Return the loop's time since which the input now handled may have waited; now, on another loop."""
    return loop.selector.input_since if isinstance(loop, TimedEventLoop) else loop.time()


def select_count(loop: asyncio.AbstractEventLoop) -> int:
    """Return how often the loop has polled for input; always 0 on another loop."""
    return loop.selector.select_count if isinstance(loop, TimedEventLoop) else 0
