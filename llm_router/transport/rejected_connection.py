"""A client connection over the limit: its request is rejected without being read."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from datetime import timedelta

from llm_router.transport.clock import to_seconds

REJECTED_TIMEOUT = timedelta(seconds=2.2)  # a client is owed an answer or a close within 3 s
RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


class RejectedConnections:
    """The rejected connections that are open; past `max_count` the oldest one is closed."""

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._open: OrderedDict[RejectedConnection, asyncio.Transport] = OrderedDict()

    def add(self, connection: RejectedConnection, transport: asyncio.Transport) -> None:
        """Note a new connection."""
        self._open[connection] = transport
        if len(self._open) > self._max_count:
            _, oldest = self._open.popitem(last=False)
            oldest.abort()

    def remove(self, connection: RejectedConnection) -> None:
        """Forget a connection that has ended."""
        self._open.pop(connection, None)


class RejectedConnection(asyncio.Protocol):
    """Rejects the request of one client connection too many, and closes the connection.

    It reads what comes and lets the client close first: the reset that follows a close over unread input may
    overtake the answer."""

    def __init__(self, connections: RejectedConnections) -> None:
        self._connections = connections
        self._answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Await the request for a bounded time."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._timeout = loop.call_later(to_seconds(REJECTED_TIMEOUT), transport.abort)
        self._connections.add(self, transport)

    def data_received(self, _data: bytes) -> None:
        """Answer the first bytes and drop all others."""
        if self._answered:
            return
        self._answered = True
        self._transport.write(RESPONSE)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Handle the end of the connection."""
        self._timeout.cancel()
        self._connections.remove(self)
