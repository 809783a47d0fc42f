"""Tells whether a connection has input that the event loop has not read yet."""

from __future__ import annotations

import asyncio
import select


def has_pending_input(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether an open connection has unread bytes or an unread end; also true for a closed connection.

    Bytes that are written to such a connection may be lost, and a close would reset it."""
    connection = None if transport is None else transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return True
    poller = select.poll()
    poller.register(connection.fileno(), select.POLLIN)
    return bool(poller.poll(0))
