"""Limits on what the process takes: memory for bodies, descriptors for connections to endpoints."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from contextlib import suppress
from contextvars import ContextVar
from weakref import WeakSet

from aiohttp.connector import AddrInfoType

from llm_router.transport.resilient_socket import ResilientSocket, SocketLimitError

# Whether the running task's call may take a socket that is reserved for releases. The connector opens
# sockets on behalf of a call that it does not pass on, hence a context variable.
may_use_release_sockets: ContextVar[bool] = ContextVar("may_use_release_sockets", default=False)


class BodyMemoryBudget:
    """The memory that bodies may take, in bytes; what would exceed it is rejected before it is read."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.available = capacity

    def resize(self, capacity: int) -> None:
        """Set a new capacity; `available` is negative while more than it is in use."""
        self.available += capacity - self.capacity
        self.capacity = capacity

    def reserve(self, size: int) -> bool:
        """Take `size` bytes; return False, and take nothing, where they are not available."""
        if size > self.available:
            return False
        self.available -= size
        return True

    def release(self, size: int) -> None:
        """Return `size` bytes that were reserved."""
        self.available += size


class SocketBudget:
    """Opens sockets up to a bound; `release_sockets` of them are reserved for release calls."""

    def __init__(self, max_sockets: int, release_sockets: int, drop_idle: Callable[[], int]) -> None:
        self.max_sockets = max_sockets
        self.release_sockets = release_sockets
        self._drop_idle = drop_idle  # closes idle connections and returns how many there were
        self._open: WeakSet[socket.socket] = WeakSet()

    def open(self, info: AddrInfoType) -> socket.socket:
        """Return a new socket; raise SocketLimitError where the bound is reached and none is idle."""
        limit = self.max_sockets
        if not may_use_release_sockets.get():
            limit -= self.release_sockets
        if len(self._open) >= limit:
            # Closed ones stay in memory till a garbage collection: they must not count.
            self._open = WeakSet(each for each in self._open if each.fileno() >= 0)
        # A dropped connection closes a moment later, so one new connection may be made before it is gone.
        if len(self._open) >= limit and not self._drop_idle():
            raise SocketLimitError(errno.EMFILE, "no socket is left for another connection")
        opened = ResilientSocket(*info[:3])
        self._open.add(opened)
        with suppress(OSError):
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return opened
