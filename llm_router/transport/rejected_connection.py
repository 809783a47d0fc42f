"""Rejects client connections above the connection limit without parsing their requests."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from datetime import timedelta

from llm_router.transport.clock import to_seconds
from llm_router.transport.event_loop import set_receive_size
from llm_router.transport.pending_input import has_pending_input

# Time limit for a rejected connection. Clients expect a response or a close within 3 s.
REJECTED_TIMEOUT = timedelta(seconds=2.2)
RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


class RejectedConnections:
    """The set of open rejected connections; one of them is closed if there are more than `max_count`."""

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._open: OrderedDict[RejectedConnection, None] = OrderedDict()

    def add(self, connection: RejectedConnection) -> None:
        """Add a connection; if there are too many, close the oldest answered one, or else the oldest."""
        self._open[connection] = None
        if len(self._open) > self._max_count:
            surplus = next((each for each in self._open if each.is_answered), next(iter(self._open)))
            del self._open[surplus]
            surplus.close()

    def remove(self, connection: RejectedConnection) -> None:
        """Remove a connection that was closed."""
        self._open.pop(connection, None)


class RejectedConnection(asyncio.Protocol):
    """A client connection above the limit, which answers the first input with status 503.

    It drops further input and lets the client close first. Closing a socket that has unread input resets the
    connection, and the client may then lose the response."""

    def __init__(self, connections: RejectedConnections) -> None:
        self._connections = connections
        self.is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and abort it if it is still open after REJECTED_TIMEOUT."""
        assert isinstance(transport, asyncio.Transport)
        set_receive_size(transport)
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._timeout = loop.call_later(to_seconds(REJECTED_TIMEOUT), transport.abort)
        self._connections.add(self)

    def data_received(self, _data: bytes) -> None:
        """Send the rejection on the first input, and drop all later input."""
        self._answer()

    def close(self) -> None:
        """Close the connection; a request that has not been read yet is answered with the rejection first."""
        if has_pending_input(self._transport):
            self._answer()
        self._transport.close()

    def _answer(self) -> None:
        """Send the rejection once."""
        if not self.is_answered:
            self.is_answered = True
            self._transport.write(RESPONSE)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Cancel the timeout and unregister the connection."""
        self._timeout.cancel()
        self._connections.remove(self)
