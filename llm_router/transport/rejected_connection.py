"""Rejects client connections above the connection limit without parsing their requests."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from datetime import timedelta

from llm_router.transport.clock import to_seconds
from llm_router.transport.event_loop import set_receive_size

# Time limit for a rejected connection. Clients expect a response or a close within 3 s.
REJECTED_TIMEOUT = timedelta(seconds=2.2)
RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


class RejectedConnections:
    """The set of open rejected connections; the oldest is aborted if there are more than `max_count`."""

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._open: OrderedDict[RejectedConnection, asyncio.Transport] = OrderedDict()

    def add(self, connection: RejectedConnection, transport: asyncio.Transport) -> None:
        """Add a connection, and abort the oldest one if there are too many."""
        self._open[connection] = transport
        if len(self._open) > self._max_count:
            _, oldest = self._open.popitem(last=False)
            oldest.abort()

    def remove(self, connection: RejectedConnection) -> None:
        """Remove a connection that was closed."""
        self._open.pop(connection, None)


class RejectedConnection(asyncio.Protocol):
    """A client connection above the limit, which answers the first input with status 503.

    It drops further input and lets the client close first. Closing a socket that has unread input resets the
    connection, and the client may then lose the response."""

    def __init__(self, connections: RejectedConnections) -> None:
        self._connections = connections
        self._answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and abort it if it is still open after REJECTED_TIMEOUT."""
        assert isinstance(transport, asyncio.Transport)
        set_receive_size(transport)
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._timeout = loop.call_later(to_seconds(REJECTED_TIMEOUT), transport.abort)
        self._connections.add(self, transport)

    def data_received(self, _data: bytes) -> None:
        """Send the rejection on the first input, and drop all later input."""
        if self._answered:
            return
        self._answered = True
        self._transport.write(RESPONSE)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Cancel the timeout and unregister the connection."""
        self._timeout.cancel()
        self._connections.remove(self)
