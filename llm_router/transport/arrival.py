"""Tells since when input may have waited in the machine before the event loop came to read it."""

from __future__ import annotations

import asyncio
import selectors
import socket
import time
from collections import deque
from collections.abc import Callable

from llm_router.transport.resilient_socket import ResilientSocket

BLOCKED = 0.0005  # seconds: a look for input that took longer waited for it, so that it came just then


class TimedSelector(selectors.DefaultSelector):
    """A selector that knows since when the input that it reported last may have been there."""

    def __init__(self) -> None:
        super().__init__()
        self.looks = 0
        self.input_since = self.looked_at = time.monotonic()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Look for input; what is there came after the look before, or while this one waited."""
        begun = time.monotonic()
        found = super().select(timeout)
        now = time.monotonic()
        self.input_since = now if now - begun > BLOCKED else self.looked_at
        self.looked_at = now
        self.looks += 1
        return found


class Loop(asyncio.SelectorEventLoop):
    """An event loop that tells since when its input may have waited."""

    def __init__(self) -> None:
        self.selector = TimedSelector()
        super().__init__(self.selector)

    def take_connection(
        self, accepted: socket.socket, peer: object, factory: Callable[[], asyncio.Protocol]
    ) -> None:
        """Serve an accepted connection by a protocol of its own, with no task for its start.

        A flood of connections costs little this way; asyncio's public call makes a task for each."""
        self._make_socket_transport(accepted, factory(), extra={"peername": peer})


def input_since(loop: asyncio.AbstractEventLoop) -> float:
    """Give the loop's time since which the input now handled may have waited; now, on another loop."""
    return loop.selector.input_since if isinstance(loop, Loop) else loop.time()


def looks(loop: asyncio.AbstractEventLoop) -> int:
    """Give how often the loop has looked for input; always 0 on another loop."""
    return loop.selector.looks if isinstance(loop, Loop) else 0


class Listener(socket.socket):
    """A listening socket that notes since when each connection may have waited to be accepted.

    Guards against a flood of connections: the loop accepts a few in a row, and the others wait unseen."""

    def __init__(self, *arguments: int) -> None:
        super().__init__(*arguments)
        self.waiting_since: dict[int, float] = {}  # by the accepted socket's descriptor
        self.queue_since = 0.0  # since when there may have been somebody in the queue at each moment
        self.drained = True
        self.failing = False  # the last accept failed, so that whoever waited then waits still
        self.last_look = 0
        self.accepted_at: deque[float] = deque(maxlen=1)

    def listen(self, backlog: int) -> None:
        """Begin to listen; whoever is accepted came when at most the queue's length were ahead."""
        super().listen(backlog)
        self.accepted_at = deque(self.accepted_at, maxlen=max(1, backlog))

    def accept(self) -> tuple[socket.socket, object]:
        """Accept a connection, or note that none is left."""
        loop = asyncio.get_running_loop()
        look = looks(loop)
        # A look between that found none waiting ends the queue, unless we did not look because accept failed.
        if not self.failing and (self.drained or look > self.last_look + 1):
            self.queue_since = input_since(loop)
        self.last_look = look
        try:
            accepted, address = super().accept()
        except BlockingIOError:
            self.drained, self.failing = True, False
            raise
        except OSError:
            self.drained, self.failing = False, True
            raise
        self.drained = self.failing = False
        full = len(self.accepted_at) == self.accepted_at.maxlen
        behind = self.accepted_at[0] if full else self.queue_since
        self.accepted_at.append(input_since(loop))
        self.waiting_since[accepted.fileno()] = max(self.queue_since, behind)
        # With its form told, Python need not ask the kernel for it, connection by connection.
        form = self.family, self.type, self.proto
        return ResilientSocket(*form, fileno=accepted.detach()), address
