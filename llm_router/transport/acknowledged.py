"""Tells by the kernel whether what was written to a connection has come to the other end's machine."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta

ROUND_TRIPS = timedelta(milliseconds=120)  # several, and more than a delayed acknowledgement takes
UNSENT = struct.Struct("i")
LINGER_NOT_AT_ALL = struct.pack("ii", 1, 0)  # a close resets the connection


def unacknowledged(transport: asyncio.Transport) -> int:
    """Give how many written bytes the other machine has not acknowledged; 0 where that cannot be told.

    Counts what still waits in this process, and the kernel's SIOCOUTQ (tcp(7), the number of TIOCOUTQ)."""
    connection = transport.get_extra_info("socket")
    if connection is None or transport.is_closing():
        return 0
    waiting = transport.get_write_buffer_size()
    try:
        (queued,) = UNSENT.unpack(fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(UNSENT.size)))
    except OSError:
        return waiting
    return waiting + max(0, queued)


def reset_if_unacknowledged(transport: asyncio.Transport) -> None:
    """Let the coming close of a connection discard what the other machine has not taken.

    Guards against a call that is given up while its endpoint is cut off: after a plain close the kernel sends
    on, and the endpoint runs it for nobody when it is back."""
    connection = transport.get_extra_info("socket")
    if connection is None or not unacknowledged(transport):
        return
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT_AT_ALL)


class ArrivalWatch:
    """Looks once, some round trips after a request was written, whether its last byte has arrived."""

    def __init__(self, loop: asyncio.AbstractEventLoop, missing: Callable[[], None]) -> None:
        self.loop, self.missing = loop, missing
        self.timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None

    def start(self, transport: asyncio.Transport | None) -> None:
        """Begin to watch a connection to which a request is being written."""
        self.transport = transport
        if transport is not None:
            self.timer = self.loop.call_later(ROUND_TRIPS.total_seconds(), self.look)

    def look(self) -> None:
        """Tell if bytes are still on their way."""
        self.timer = None
        if unacknowledged(self.transport):
            self.missing()

    def stop(self) -> None:
        """End the watch: there is an answer, or no wait for one any more."""
        if self.timer is not None:
            self.timer.cancel()
