"""Limits the number of sockets to endpoints."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from contextlib import suppress
from contextvars import ContextVar
from weakref import WeakSet

from aiohttp.connector import AddrInfoType

from llm_router.transport.resilient_socket import ResilientSocket, SocketLimitError

# Whether the current task may use a socket that is reserved for release calls.
# It is a context variable because aiohttp's connector opens the socket and does not know which call needs it.
may_use_release_sockets: ContextVar[bool] = ContextVar("may_use_release_sockets", default=False)


class SocketBudget:
    """A limit on open sockets to endpoints; `release_sockets` of them are reserved for release calls."""

    def __init__(self, max_sockets: int, release_sockets: int, drop_idle: Callable[[], int]) -> None:
        self.max_sockets = max_sockets
        self.release_sockets = release_sockets
        # The function that closes idle connections and returns their number.
        self._drop_idle = drop_idle
        self._open: WeakSet[ResilientSocket] = WeakSet()

    @property
    def has_free_socket(self) -> bool:
        """Whether a release call may open a socket without closing an idle connection."""
        return len(self._open) < self.max_sockets

    def open(self, info: AddrInfoType) -> socket.socket:
        """Return a new socket; raise SocketLimitError if the limit is reached and no connection is idle."""
        limit = self.max_sockets
        if not may_use_release_sockets.get():
            limit -= self.release_sockets
        # A dropped connection closes with a delay, so the limit may be exceeded for a moment.
        if len(self._open) >= limit and not self._drop_idle():
            raise SocketLimitError(errno.EMFILE, "socket limit reached and no idle connection to close")
        opened = ResilientSocket(*info[:3])
        opened.on_close = self._open.discard
        self._open.add(opened)
        with suppress(OSError):
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return opened
