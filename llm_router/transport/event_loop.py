"""Provides an event loop that estimates how long its input has waited in the kernel."""

from __future__ import annotations

import asyncio
import selectors
import socket
import time
from collections.abc import Callable

# Time in seconds after which a `select` call counts as blocked.
# The input that a blocked call reports has only just arrived.
BLOCKED_THRESHOLD = 0.0005
# Maximum bytes that one call receives from a connection.
# All ready connections receive before any request is served, so this limits the memory of one iteration.
RECEIVE_SIZE = 16 * 1024


class TimedSelector(selectors.DefaultSelector):
    """A selector that records the earliest time at which the last reported input can have arrived.

    It also measures the turns of the event loop, which are the times between two calls of `select`."""

    def __init__(self) -> None:
        super().__init__()
        self.select_count = 0
        self.longest_turn = 0.0  # seconds; the reader of this attribute may reset it
        self.input_since = time.monotonic()
        self._last_select = self.input_since

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready files; their input arrived after the previous call or while this call blocked."""
        start = time.monotonic()
        self.longest_turn = max(self.longest_turn, start - self._last_select)
        ready = super().select(timeout)
        now = time.monotonic()
        self.input_since = now if now - start > BLOCKED_THRESHOLD else self._last_select
        self._last_select = now
        self.select_count += 1
        return ready


class TimedEventLoop(asyncio.SelectorEventLoop):
    """An event loop that knows the earliest time at which its current input can have arrived."""

    def __init__(self) -> None:
        self.selector = TimedSelector()
        super().__init__(self.selector)

    def serve_connection(
        self, accepted: socket.socket, peer: object, factory: Callable[[], asyncio.Protocol]
    ) -> None:
        """Serve an accepted connection with a new protocol object, without creating a task.

        asyncio's public function creates a task for each connection, which is costly when many arrive at
        once. This method calls a private method of the event loop in the pinned Python release."""
        extra = {"peername": peer}
        self._make_socket_transport(accepted, factory(), extra=extra)  # type: ignore[attr-defined]  # private


def input_since(loop: asyncio.AbstractEventLoop) -> float:
    """Return the earliest loop time at which the current input can have arrived.

    Return the current time if the loop is not a `TimedEventLoop`."""
    return loop.selector.input_since if isinstance(loop, TimedEventLoop) else loop.time()


def take_longest_turn(loop: asyncio.AbstractEventLoop) -> float:
    """Return the seconds of the longest turn since the last call; 0 if the loop is not a `TimedEventLoop`."""
    if not isinstance(loop, TimedEventLoop):
        return 0.0
    longest = loop.selector.longest_turn
    loop.selector.longest_turn = 0.0
    return longest


def select_count(loop: asyncio.AbstractEventLoop) -> int:
    """Return how often the loop has polled for input; 0 if it is not a `TimedEventLoop`."""
    return loop.selector.select_count if isinstance(loop, TimedEventLoop) else 0


def set_receive_size(transport: asyncio.BaseTransport, size: int = RECEIVE_SIZE) -> None:
    """Limit the bytes that one call receives; this sets a private attribute of the pinned Python release."""
    transport.max_size = size  # type: ignore[attr-defined]  # asyncio's selector transports have it
