"""A client request that calls a hook immediately before it is written."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, MutableMapping
from contextvars import ContextVar

import aiohttp

# A hook that is called with the request's headers, which it may change, and with the transport.
# If the hook raises an exception, the request is not written.
BeforeWrite = Callable[[MutableMapping[str, str], asyncio.Transport | None], None]

# The hook for the current task's request.
# It is a context variable because aiohttp creates the request object and passes no custom argument to it.
before_write: ContextVar[BeforeWrite | None] = ContextVar("before_write", default=None)


class HookedClientRequest(aiohttp.ClientRequest):
    """A request whose hook is called once it has a connection, before its first byte is written.

    The hook is needed because connecting may take long: the client's time remaining decreases meanwhile, and
    the endpoint may begin to drain."""

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Call the hook, then write the request."""
        hook = before_write.get()
        if hook is not None:
            hook(self.headers, conn.transport)
        return await super().send(conn)
