"""The last moment before a request is written: what changed while its connection came up still counts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, MutableMapping
from contextvars import ContextVar

import aiohttp

BeforeWrite = Callable[[MutableMapping[str, str], asyncio.Transport | None], None]

# What the running task wants done with the headers once its connection is up, before the first byte goes.
before_write: ContextVar[BeforeWrite | None] = ContextVar("before_write", default=None)


class AttemptWithdrawnError(aiohttp.ClientConnectionError):
    """The request was not sent: its reason had gone by the time its connection was up."""


class LateRequest(aiohttp.ClientRequest):
    """A request whose headers are completed when its connection is up.

    Guards against connections that take long: the time left to the client goes down meanwhile, and the
    endpoint may have begun to drain."""

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        if (complete := before_write.get()) is not None:
            complete(self.headers, conn.transport)
        return await super().send(conn)
