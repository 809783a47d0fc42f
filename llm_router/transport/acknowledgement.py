"""Checks with the kernel whether the other end has acknowledged what was written to a connection."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta

from llm_router.transport.clock import to_seconds

# Several round trips, and more than a delayed acknowledgement takes.
ACKNOWLEDGEMENT_TIMEOUT = timedelta(milliseconds=120)
UNSENT_BYTES = struct.Struct("i")
LINGER_ZERO = struct.pack("ii", 1, 0)  # struct linger: a close resets the connection


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the other machine has not acknowledged; 0 where that cannot be found out.

    Counts what is still buffered in this process, and the kernel's SIOCOUTQ (tcp(7), the number of
    TIOCOUTQ)."""
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
    """Make the coming close of a connection discard what the other machine has not acknowledged.

    A call may be given up while its endpoint is cut off. After a plain close the kernel would go on sending,
    and the endpoint would run the call for nobody once it is back."""
    connection = transport.get_extra_info("socket")
    if connection is None or not unacknowledged_bytes(transport):
        return
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)


class AcknowledgementTimer:
    """Checks once, some round trips after a request was written, whether its last byte has arrived."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_unacknowledged: Callable[[], None]) -> None:
        self._loop = loop
        self._on_unacknowledged = on_unacknowledged
        self._timer: asyncio.TimerHandle | None = None

    def start(self, transport: asyncio.Transport | None) -> None:
        """Begin to time a connection to which a request is being written."""
        if transport is None:
            return
        self._timer = self._loop.call_later(to_seconds(ACKNOWLEDGEMENT_TIMEOUT), self._check, transport)

    def _check(self, transport: asyncio.Transport) -> None:
        self._timer = None
        if unacknowledged_bytes(transport):
            self._on_unacknowledged()

    def stop(self) -> None:
        """Stop the timer: there is a response, or nobody waits for one any more."""
        if self._timer is not None:
            self._timer.cancel()
