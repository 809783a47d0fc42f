"""Sockets whose system calls survive a passing shortage on this machine."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from typing_extensions import Buffer

OUT_OF_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
# Errors of socket() and connect() that say nothing about the other end.
LOCAL_ERRORS = frozenset(
    (
        *OUT_OF_MEMORY,
        errno.EMFILE,
        errno.ENFILE,
        errno.EADDRNOTAVAIL,  # no port is free
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EINTR,
        errno.EALREADY,
        errno.EACCES,  # the machine's own firewall
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EAFNOSUPPORT,
        errno.EPROTONOSUPPORT,
    )
)
MAX_CONNECT_CALLS = 8  # calls of connect that may be interrupted by a signal


class LocalSocketError(OSError):
    """A call failed because of this machine.

    A class of its own, as Python maps EAGAIN and EINTR to the errors that asyncio takes for a connect under
    way."""


class SocketLimitError(LocalSocketError):
    """The router's own bound on sockets is reached: an immediate retry is of no use."""


class ResilientSocket(socket.socket):
    """A stream socket that treats passing errors as passing.

    A send or receive for which memory is short behaves as if it would block; asyncio then retries it. A
    connect that was not begun raises LocalSocketError rather than an error that looks like one under way."""

    def connect(self, address: tuple[Any, ...] | str | Buffer) -> None:
        """Begin to connect; raise BlockingIOError when it is under way, LocalSocketError when not begun."""
        for _ in range(MAX_CONNECT_CALLS):
            try:
                return super().connect(address)
            except InterruptedError:
                # Either it goes on by itself, which the next call reports as EALREADY, or it was not begun.
                continue
            except BlockingIOError as error:
                if error.errno == errno.EAGAIN:
                    raise LocalSocketError(error.errno, error.strerror) from None
                raise
            except OSError as error:
                if error.errno == errno.EISCONN:
                    return None
                raise
        raise LocalSocketError(errno.EINTR, "connect was interrupted again and again")

    def send(self, data: Buffer, flags: int = 0) -> int:
        """Send as much as there is room for and return its size."""
        try:
            return super().send(data, flags)
        except OSError as error:
            raise self._as_would_block(error) from None

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Receive what has come, at most `size` bytes."""
        try:
            return super().recv(size, flags)
        except OSError as error:
            raise self._as_would_block(error) from None

    @staticmethod
    def _as_would_block(error: OSError) -> OSError:
        """Return BlockingIOError in place of an error that passes, else the error itself."""
        if error.errno in OUT_OF_MEMORY:
            return BlockingIOError(errno.EAGAIN, error.strerror)
        return error
