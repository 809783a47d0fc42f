"""Sockets whose calls fail for a moment without harm, and which errors are this machine's own."""

from __future__ import annotations

import errno
import socket

SHORT_OF_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
# Errors of socket() and connect() that tell nothing of the other end.
LOCAL_ERRORS = frozenset(
    (
        *SHORT_OF_MEMORY,
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
INTERRUPTED_MOST = 8  # times that a connect is begun again after EINTR


class LocalSocketError(OSError):
    """A call that failed for a reason of this machine's.

    Its own class, as Python makes EAGAIN and EINTR the errors that asyncio takes for a connect under way."""


class SocketLimitError(LocalSocketError):
    """Our own bound on sockets is reached: there is no use in trying again at once."""


class ResilientSocket(socket.socket):
    """A stream socket that takes passing errors for what they are.

    A send or receive for which memory is short would block; asyncio then tries it again. A connect that was
    not begun raises LocalError rather than an error that looks like one under way."""

    def connect(self, address: tuple) -> None:
        """Begin to connect; BlockingIOError tells that it is under way."""
        for _ in range(INTERRUPTED_MOST):
            try:
                return super().connect(address)
            except InterruptedError:
                continue  # it goes on by itself, which the next call tells as EALREADY, or was not begun
            except BlockingIOError as error:
                if error.errno == errno.EAGAIN:
                    raise LocalSocketError(error.errno, error.strerror) from None
                raise
            except OSError as error:
                if error.errno == errno.EISCONN:
                    return None
                raise
        raise LocalSocketError(errno.EINTR, "connect was interrupted again and again")

    def send(self, data: bytes, flags: int = 0) -> int:
        """Send what there is room for."""
        try:
            return super().send(data, flags)
        except OSError as error:
            raise self.would_block(error) from None

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Receive what has come."""
        try:
            return super().recv(size, flags)
        except OSError as error:
            raise self.would_block(error) from None

    @staticmethod
    def would_block(error: OSError) -> OSError:
        """Give BlockingIOError in place of an error that passes, else the error itself."""
        if error.errno in SHORT_OF_MEMORY:
            return BlockingIOError(errno.EAGAIN, error.strerror)
        return error
