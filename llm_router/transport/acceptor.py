"""Accepts connections on a listening socket, and goes on when accept fails for a moment."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from datetime import timedelta
from enum import Enum, auto

from llm_router import log
from llm_router.transport.arrival import Listener, Loop

FIRST_PAUSE = timedelta(milliseconds=1)  # after an accept that failed; doubled with each in a row
LONGEST_PAUSE = timedelta(milliseconds=20)


class AcceptorState(Enum):
    """Whether connections are accepted."""

    ACCEPTING = auto()
    PAUSED = auto()  # accept failed; it is tried again in a moment
    CLOSED = auto()


class Acceptor:
    """Owns a listening socket, from the first accept to its close.

    Guards against asyncio's own server, which stops accepting for a second when a descriptor or memory is
    short: clients that the machine has accepted are late by then, and reset if the listener closes first."""

    def __init__(self, listener: Listener, factory: Callable[[], asyncio.Protocol], in_a_row: int) -> None:
        self.listener, self.factory, self.in_a_row = listener, factory, in_a_row
        self.loop = asyncio.get_running_loop()
        self.state = AcceptorState.PAUSED
        self.pause = FIRST_PAUSE
        self.failures = 0  # calls of accept that failed, in all
        self.starting: set[asyncio.Task] = set()  # connections on their way to their protocols
        self.resume()

    def resume(self) -> None:
        """Go on accepting after a pause."""
        if self.state is not AcceptorState.PAUSED:
            return
        try:
            self.loop.add_reader(self.listener.fileno(), self.accept_some)
        except OSError as error:  # epoll_ctl: no memory, or no watch is left
            self.fail(error)
            return
        self.state = AcceptorState.ACCEPTING

    def accept_some(self) -> None:
        """Accept the connections that wait, a bounded number of them before the loop comes round."""
        for _ in range(self.in_a_row):
            try:
                accepted, peer = self.listener.accept()
                accepted.setblocking(False)
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self.loop.remove_reader(self.listener.fileno())
                self.fail(error)
                return
            self.pause = FIRST_PAUSE
            self.start(accepted, peer)

    def fail(self, error: OSError) -> None:
        """Pause for a moment: no error of accept is a reason to stop for good."""
        self.failures += 1
        log.emit_rate_limited("accept_failed", error=repr(error), failures=self.failures)
        self.state = AcceptorState.PAUSED
        self.loop.call_later(self.pause.total_seconds(), self.resume)
        self.pause = min(2 * self.pause, LONGEST_PAUSE)

    def start(self, accepted: socket.socket, peer: object) -> None:
        """Hand a connection to a protocol of its own."""
        if isinstance(self.loop, Loop):
            try:
                self.loop.take_connection(accepted, peer, self.factory)
            except OSError as error:  # it has gone already
                self.broke_at_start(accepted, error)
            return
        task = self.loop.create_task(self.connect(accepted))
        self.starting.add(task)
        task.add_done_callback(self.starting.discard)

    async def connect(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.factory, accepted)
        except OSError as error:
            self.broke_at_start(accepted, error)

    @staticmethod
    def broke_at_start(accepted: socket.socket, error: OSError) -> None:
        """Tell of a connection that ended before it was served."""
        log.emit_rate_limited("connection_setup_failed", error=repr(error))
        accepted.close()

    @property
    def drained(self) -> bool:
        """Tell whether nobody waited to be accepted at the last look."""
        return self.listener.drained and not self.starting

    @property
    def failing(self) -> bool:
        """Tell whether the last accept failed."""
        return self.state is AcceptorState.PAUSED

    def close(self) -> None:
        """Stop accepting for good; whoever still waits is reset by the machine."""
        if self.state is AcceptorState.CLOSED:
            return
        if self.state is AcceptorState.ACCEPTING:
            self.loop.remove_reader(self.listener.fileno())
        self.state = AcceptorState.CLOSED
        self.listener.close()
