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

INITIAL_BACKOFF = timedelta(milliseconds=1)  # after an accept that failed; doubled with each further failure
MAX_BACKOFF = timedelta(milliseconds=20)


class AcceptorState(Enum):
    """Whether connections are accepted."""

    ACCEPTING = auto()
    BACKING_OFF = auto()  # accept failed; it is retried in a moment
    CLOSED = auto()


class Acceptor:
    """Owns a listening socket, from the first accept to its close.

    asyncio's own server stops accepting for a second when a descriptor or memory is short: clients whose
    connections the kernel has accepted would be late by then, and reset if the listener closes first."""

    def __init__(self, listener: Listener, factory: Callable[[], asyncio.Protocol], batch_size: int) -> None:
        self._listener = listener
        self._factory = factory
        self._batch_size = batch_size
        self._loop = asyncio.get_running_loop()
        self._state = AcceptorState.BACKING_OFF
        self._backoff = INITIAL_BACKOFF
        self._failures = 0  # calls of accept that failed, in all
        self._starting: set[asyncio.Task[None]] = set()  # connections on their way to their protocols
        self._resume()

    def _resume(self) -> None:
        """Accept from now on, at the start or after a backoff."""
        if self._state is not AcceptorState.BACKING_OFF:
            return
        try:
            self._loop.add_reader(self._listener.fileno(), self._accept_batch)
        except OSError as error:  # epoll_ctl: no memory, or no watch is left
            self._back_off(error)
            return
        self._state = AcceptorState.ACCEPTING

    def _accept_batch(self) -> None:
        """Accept the connections that wait, a bounded number of them in one turn of the loop."""
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
        """Retry in a moment: no error of accept is a reason to stop for good."""
        self._failures += 1
        log.emit_rate_limited("accept_failed", error=repr(error), failures=self._failures)
        self._state = AcceptorState.BACKING_OFF
        self._loop.call_later(to_seconds(self._backoff), self._resume)
        self._backoff = min(2 * self._backoff, MAX_BACKOFF)

    def _start(self, accepted: socket.socket, peer: object) -> None:
        """Hand a connection to a protocol of its own."""
        if isinstance(self._loop, TimedEventLoop):
            try:
                self._loop.serve_connection(accepted, peer, self._factory)
            except OSError as error:  # the client has gone already
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
        """Log and close a connection that ended before it was served."""
        log.emit_rate_limited("connection_setup_failed", error=repr(error))
        accepted.close()

    @property
    def drained(self) -> bool:
        """Whether the last accept found the queue empty, and all accepted connections have started."""
        return self._listener.drained and not self._starting

    @property
    def failing(self) -> bool:
        """Whether the last accept failed."""
        return self._state is AcceptorState.BACKING_OFF

    def close(self) -> None:
        """Stop accepting for good; the kernel resets the connections that still wait."""
        if self._state is AcceptorState.CLOSED:
            return
        if self._state is AcceptorState.ACCEPTING:
            self._loop.remove_reader(self._listener.fileno())
        self._state = AcceptorState.CLOSED
        self._listener.close()
