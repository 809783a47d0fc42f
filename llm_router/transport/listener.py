"""A listening socket that records since when each connection may have waited to be accepted."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from datetime import timedelta

from llm_router import log
from llm_router.transport.clock import to_seconds
from llm_router.transport.event_loop import input_since, select_count
from llm_router.transport.resilient_socket import LOCAL_ERRORS, ResilientSocket

START_TIMEOUT = timedelta(seconds=3)  # for a socket and its address, which a process before may still use
START_RETRY_INTERVAL = timedelta(milliseconds=50)


class Listener(socket.socket):
    """A listening socket that records since when each connection may have waited to be accepted.

    In a flood of connections the loop accepts a few at a time, and the others wait in the kernel's queue
    without a sign; the time they wait there counts against their requests' deadlines."""

    def __init__(self, *arguments: int) -> None:
        super().__init__(*arguments)
        self.waiting_since: dict[int, float] = {}  # by the accepted socket's descriptor
        self.drained = True  # the last accept found the queue empty
        self._queue_since = 0.0  # since when the queue may have been non-empty without interruption
        self._accept_failed = False  # so that whoever waited then is still waiting
        self._last_select_count = 0
        self._accepted_at: deque[float] = deque(maxlen=1)

    def listen(self, backlog: int = socket.SOMAXCONN, /) -> None:
        """Begin to listen; an accepted connection came when at most `backlog` others were before it."""
        super().listen(backlog)
        self._accepted_at = deque(self._accepted_at, maxlen=max(1, backlog))

    def accept(self) -> tuple[ResilientSocket, object]:
        """Accept a connection; raise BlockingIOError where none is left, another OSError on failure."""
        loop = asyncio.get_running_loop()
        count = select_count(loop)
        # A `select` in between that found nobody waiting ends the queue, unless accept had failed: then we
        # did not watch the socket.
        if not self._accept_failed and (self.drained or count > self._last_select_count + 1):
            self._queue_since = input_since(loop)
        self._last_select_count = count
        try:
            accepted, address = super().accept()
        except BlockingIOError:
            self.drained, self._accept_failed = True, False
            raise
        except OSError:
            self.drained, self._accept_failed = False, True
            raise
        self.drained = self._accept_failed = False
        self.waiting_since[accepted.fileno()] = max(self._queue_since, self._earliest_arrival())
        self._accepted_at.append(input_since(loop))
        # With its family, type and protocol given, Python need not ask the kernel for them each time.
        form = self.family, self.type, self.proto
        return ResilientSocket(*form, fileno=accepted.detach()), address

    def _earliest_arrival(self) -> float:
        """Return the earliest time at which the connection accepted now can have joined the queue.

        A queue that was full all the time let it in when the connection `backlog` places before it left."""
        is_full = len(self._accepted_at) == self._accepted_at.maxlen
        return self._accepted_at[0] if is_full else self._queue_since


async def open_listener(host: str, port: int, backlog: int) -> Listener:
    """Return a socket that listens at an address, retrying what this machine may grant a moment later.

    Raise OSError where the address cannot be used, or not within START_TIMEOUT."""
    loop = asyncio.get_running_loop()
    end = loop.time() + to_seconds(START_TIMEOUT)
    while True:
        try:
            return _listen(host, port, backlog)
        except OSError as error:
            if error.errno not in LOCAL_ERRORS or loop.time() > end:
                raise
            log.emit_rate_limited("listen_failed", error=repr(error))
        await asyncio.sleep(to_seconds(START_RETRY_INTERVAL))


def _listen(host: str, port: int, backlog: int) -> Listener:
    """Return a socket that listens at an address."""
    listener = Listener(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, port))
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener
