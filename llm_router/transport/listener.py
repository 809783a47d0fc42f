"""Provides a listening socket that bounds how long each connection waited in the accept queue."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from datetime import timedelta

from llm_router import log
from llm_router.transport.clock import to_seconds
from llm_router.transport.event_loop import input_since, select_count
from llm_router.transport.resilient_socket import LOCAL_ERRORS, ResilientSocket

# Time limit for opening the listening socket. A previous process may still use the address.
START_TIMEOUT = timedelta(seconds=3)
START_RETRY_INTERVAL = timedelta(milliseconds=50)  # pause between two attempts to open the socket


class Listener(socket.socket):
    """A listening socket that estimates how long each connection waited in the kernel's accept queue.

    The event loop accepts only a few connections in one iteration. The kernel does not report how long the
    other connections wait, but this time counts against the deadlines of their requests."""

    def __init__(self, *arguments: int) -> None:
        super().__init__(*arguments)
        # Earliest time of entry into the accept queue, by the descriptor of the accepted socket.
        self.waiting_since: dict[int, float] = {}
        self.drained = True  # Whether the last accept call found the queue empty.
        # Start of the longest time up to now during which the accept queue may never have been empty.
        self._queue_since = 0.0
        # Whether the last accept call failed. Connections queued at that time are still in the queue.
        self._accept_failed = False
        self._last_select_count = 0
        self._accepted_at: deque[float] = deque(maxlen=1)

    def listen(self, backlog: int = socket.SOMAXCONN, /) -> None:
        """Begin to listen with a queue for `backlog` connections, and record as many accept times."""
        super().listen(backlog)
        self._accepted_at = deque(self._accepted_at, maxlen=max(1, backlog))

    def accept(self) -> tuple[ResilientSocket, object]:
        """Accept a connection; raise BlockingIOError if the queue is empty, another OSError on failure."""
        loop = asyncio.get_running_loop()
        count = select_count(loop)
        # If a `select` call since the last accept did not report the socket, the queue was empty then.
        # This does not hold after a failed accept call, because the loop did not watch the socket then.
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
        # Passing family, type and protocol saves the system calls by which Python would look them up.
        socket_parameters = self.family, self.type, self.proto
        return ResilientSocket(*socket_parameters, fileno=accepted.detach()), address

    def _earliest_arrival(self) -> float:
        """Return the earliest time at which the connection just accepted can have entered the accept queue.

        If the queue was always full, this connection entered the queue when the connection that is `backlog`
        places ahead was accepted."""
        is_full = len(self._accepted_at) == self._accepted_at.maxlen
        return self._accepted_at[0] if is_full else self._queue_since


async def open_listener(host: str, port: int, backlog: int) -> Listener:
    """Return a socket that listens at an address; retry local errors such as a lack of memory.

    Raise OSError if the address cannot be used, or if local errors persist for START_TIMEOUT."""
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
    """Return a non-blocking socket that listens at an address."""
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
