"""Asks the kernel whether the peer's host has acknowledged the bytes written to a connection."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from contextlib import suppress
from contextvars import Context
from datetime import timedelta

from llm_router.transport.clock import to_seconds

# Time after which unacknowledged bytes are reported.
# It covers several round trips and is longer than a delayed TCP acknowledgement takes.
ACKNOWLEDGEMENT_TIMEOUT = timedelta(milliseconds=120)
UNSENT_BYTES = struct.Struct("i")
LINGER_ZERO = struct.pack("ii", 1, 0)  # a struct linger with which a close resets the connection


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the number of written bytes that the peer's host has not acknowledged.

    The number includes the bytes buffered in this process and the kernel's send queue. The queue size comes
    from the ioctl SIOCOUTQ (see tcp(7)), which has the same number as TIOCOUTQ. If the ioctl fails, only the
    bytes in this process count. The result is 0 for a closed connection."""
    connection = transport.get_extra_info("socket")
    if connection is None or transport.is_closing():
        return 0
    buffered: int = transport.get_write_buffer_size()
    try:
        result = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(UNSENT_BYTES.size))
    except OSError:
        return buffered
    queued: int = UNSENT_BYTES.unpack(result)[0]
    return buffered + max(0, queued)


def reset_if_unacknowledged(transport: asyncio.Transport) -> None:
    """Make the next close of a connection a reset if the peer's host has not acknowledged all bytes.

    A call may be cancelled while its endpoint is unreachable. After a plain close the kernel would continue
    to send, and the endpoint would run the cancelled call once it is reachable again."""
    connection = transport.get_extra_info("socket")
    if connection is None or not unacknowledged_bytes(transport):
        return
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)


class AcknowledgementTimer:
    """Checks, some round trips after a request was written, whether all its bytes are acknowledged."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_unacknowledged: Callable[[], None]) -> None:
        self._loop = loop
        self._on_unacknowledged = on_unacknowledged
        self._timer: asyncio.TimerHandle | None = None

    def start(self, transport: asyncio.Transport | None) -> None:
        """Start the timer for a connection to which a request is being written."""
        if transport is None:
            return
        # The current context holds the request. In it the timer would keep the request's body in memory.
        self._timer = self._loop.call_later(
            to_seconds(ACKNOWLEDGEMENT_TIMEOUT), self._check, transport, context=Context()
        )

    def _check(self, transport: asyncio.Transport) -> None:
        self._timer = None
        if unacknowledged_bytes(transport):
            self._on_unacknowledged()

    def stop(self) -> None:
        """Stop the timer, for example because a response has come or the call was cancelled."""
        if self._timer is not None:
            self._timer.cancel()
