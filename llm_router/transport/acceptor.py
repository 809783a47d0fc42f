"""Accepts connections on a listening socket, with a backoff while accept fails."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from datetime import timedelta
from enum import Enum, auto

from llm_router import log
from llm_router.transport.clock import to_seconds
from llm_router.transport.event_loop import TimedEventLoop
from llm_router.transport.listener import Listener

# Pause after the first failed accept call. Each further failure doubles it, up to MAX_BACKOFF.
INITIAL_BACKOFF = timedelta(milliseconds=1)
MAX_BACKOFF = timedelta(milliseconds=20)


class AcceptorState(Enum):
    """The states of an acceptor."""

    ACCEPTING = auto()  # The event loop watches the listening socket for new connections.
    BACKING_OFF = auto()  # The last accept call failed, and a timer will retry it.
    CLOSED = auto()  # The listening socket is closed for good.


class Acceptor:
    """Accepts connections on a listening socket and closes the socket at the end.

    It replaces asyncio's own server, which pauses for a second when descriptors or memory run out.
    Requests on connections in the kernel's accept queue would miss their deadlines during that pause. If the
    listener closed during the pause, the kernel would reset these connections."""

    def __init__(self, listener: Listener, factory: Callable[[], asyncio.Protocol], batch_size: int) -> None:
        self._listener = listener
        self._factory = factory
        self._batch_size = batch_size
        self._loop = asyncio.get_running_loop()
        self._state = AcceptorState.BACKING_OFF
        self._backoff = INITIAL_BACKOFF
        self._failures = 0  # total number of failed accept calls
        self._starting: set[asyncio.Task[None]] = set()  # connection setups in progress
        self._resume()

    def _resume(self) -> None:
        """Start or resume accepting, unless the acceptor is closed."""
        if self._state is not AcceptorState.BACKING_OFF:
            return
        try:
            self._loop.add_reader(self._listener.fileno(), self._accept_batch)
        except OSError as error:  # The call epoll_ctl failed because memory or epoll watches ran out.
            self._back_off(error)
            return
        self._state = AcceptorState.ACCEPTING

    def _accept_batch(self) -> None:
        """Accept queued connections, at most `batch_size` in one iteration of the event loop."""
        for _ in range(self._batch_size):
            try:
                accepted, peer = self._listener.accept()
                accepted.setblocking(False)
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._loop.remove_reader(self._listener.fileno())
                self._back_off(error)
                return
            self._backoff = INITIAL_BACKOFF
            self._start(accepted, peer)

    def _back_off(self, error: OSError) -> None:
        """Schedule a retry after a failed accept call; every error is treated as temporary."""
        self._failures += 1
        log.emit_rate_limited("accept_failed", error=repr(error), failures=self._failures)
        self._state = AcceptorState.BACKING_OFF
        self._loop.call_later(to_seconds(self._backoff), self._resume)
        self._backoff = min(2 * self._backoff, MAX_BACKOFF)

    def _start(self, accepted: socket.socket, peer: object) -> None:
        """Start to serve an accepted connection with a new protocol object."""
        if isinstance(self._loop, TimedEventLoop):
            try:
                self._loop.serve_connection(accepted, peer, self._factory)
            except OSError as error:  # The client has disconnected already.
                self._discard(accepted, error)
            return
        task = self._loop.create_task(self._connect(accepted))
        self._starting.add(task)
        task.add_done_callback(self._starting.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, accepted)
        except OSError as error:
            self._discard(accepted, error)

    @staticmethod
    def _discard(accepted: socket.socket, error: OSError) -> None:
        """Log and close a connection whose setup failed."""
        log.emit_rate_limited("connection_setup_failed", error=repr(error))
        accepted.close()

    @property
    def drained(self) -> bool:
        """Whether the accept queue was empty at the last call and no connection setup is in progress."""
        return self._listener.drained and not self._starting

    @property
    def failing(self) -> bool:
        """Whether the last accept call failed and the retry is pending."""
        return self._state is AcceptorState.BACKING_OFF

    def close(self) -> None:
        """Close the listening socket; the kernel resets the connections in its accept queue."""
        if self._state is AcceptorState.CLOSED:
            return
        if self._state is AcceptorState.ACCEPTING:
            self._loop.remove_reader(self._listener.fileno())
        self._state = AcceptorState.CLOSED
        self._listener.close()
