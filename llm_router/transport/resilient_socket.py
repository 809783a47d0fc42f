"""Provides sockets whose system calls tolerate temporary resource shortages on the local host."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from typing_extensions import Buffer

OUT_OF_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
# Errors of socket() and connect() that are caused by the local host and tell nothing about the peer.
LOCAL_ERRORS = frozenset(
    (
        *OUT_OF_MEMORY,
        errno.EMFILE,
        errno.ENFILE,
        errno.EADDRNOTAVAIL,  # No local port is free.
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EINTR,
        errno.EALREADY,
        errno.EACCES,  # The local firewall denies the connection.
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EAFNOSUPPORT,
        errno.EPROTONOSUPPORT,
    )
)
MAX_CONNECT_CALLS = 8  # maximum number of connect() calls if signals interrupt them


class LocalSocketError(OSError):
    """A socket call failed for a reason on the local host.

    The class is distinct because Python maps EAGAIN and EINTR to exceptions that asyncio takes as "connect
    in progress"."""


class SocketLimitError(LocalSocketError):
    """The router's own limit on sockets is reached, so an immediate retry would fail as well."""


class ResilientSocket(socket.socket):
    """A stream socket that tolerates temporary local errors.

    If memory runs out, `send` and `recv` report that they would block, and asyncio retries them. If `connect`
    cannot begin, it raises LocalSocketError instead of an error that means "connect in progress".
    `on_close` is called with the socket when it is closed, as closed sockets stay in memory for a while."""

    on_close: Callable[[ResilientSocket], object] | None = None

    def close(self) -> None:
        """Close the socket, and report this once."""
        super().close()
        if self.on_close is not None and self.fileno() < 0:
            self.on_close(self)
            self.on_close = None

    def connect(self, address: tuple[Any, ...] | str | Buffer) -> None:
        """Begin to connect.

        Raise BlockingIOError if the connect is in progress, LocalSocketError if it could not begin."""
        for _ in range(MAX_CONNECT_CALLS):
            try:
                return super().connect(address)
            except InterruptedError:
                # If the connect is in progress, the next call raises EALREADY. Otherwise it begins now.
                continue
            except BlockingIOError as error:
                if error.errno == errno.EAGAIN:
                    raise LocalSocketError(error.errno, error.strerror) from None
                raise
            except OSError as error:
                if error.errno == errno.EISCONN:
                    return None
                raise
        raise LocalSocketError(errno.EINTR, "connect() was interrupted by a signal at each attempt")

    def send(self, data: Buffer, flags: int = 0) -> int:
        """Send as many bytes as the send buffer takes, and return their number."""
        try:
            return super().send(data, flags)
        except OSError as error:
            raise self._as_would_block(error) from None

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return received bytes, at most `size`."""
        try:
            return super().recv(size, flags)
        except OSError as error:
            raise self._as_would_block(error) from None

    @staticmethod
    def _as_would_block(error: OSError) -> OSError:
        """Return BlockingIOError for an out-of-memory error, and any other error unchanged."""
        if error.errno in OUT_OF_MEMORY:
            return BlockingIOError(errno.EAGAIN, error.strerror)
        return error
