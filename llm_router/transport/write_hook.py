"""A client request that calls a hook at the last moment before it is written."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, MutableMapping
from contextvars import ContextVar

import aiohttp

# Is given the headers, which it may complete, and the transport. An error that it raises keeps the request
# from being written.
BeforeWrite = Callable[[MutableMapping[str, str], asyncio.Transport | None], None]

# The hook of the running task's request. aiohttp creates the request object itself and takes no argument
# for it, hence a context variable.
before_write: ContextVar[BeforeWrite | None] = ContextVar("before_write", default=None)


class HookedClientRequest(aiohttp.ClientRequest):
    """A request whose hook is called once its connection is up, before its first byte is written.

    A connection may take long: the client's remaining time goes down meanwhile, and the endpoint may have
    begun to drain."""

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Call the hook, then write the request."""
        hook = before_write.get()
        if hook is not None:
            hook(self.headers, conn.transport)
        return await super().send(conn)
