"""A client request that calls a hook immediately before it is written."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, MutableMapping
from contextvars import ContextVar

import aiohttp

# A hook that is called with the request's headers, which it may change, and with the transport.
# If the hook raises an exception, the request is not written.
BeforeWrite = Callable[[MutableMapping[str, str], asyncio.Transport | None], None]


class HookSlot:
    """Holds the hook of one request until the hook is called.

    A connection keeps a copy of the context in which it was opened. The copy refers to the slot, and must not
    keep the hook with its request and body in memory for as long as the connection is open."""

    __slots__ = ("_hook",)

    def __init__(self, hook: BeforeWrite | None) -> None:
        self._hook = hook

    def take(self) -> BeforeWrite | None:
        """Remove and return the hook."""
        hook = self._hook
        self._hook = None
        return hook


# The slot with the hook for the current task's request.
# It is a context variable because aiohttp creates the request object and passes no custom argument to it.
_slot: ContextVar[HookSlot | None] = ContextVar("before_write", default=None)


def set_hook(hook: BeforeWrite | None) -> None:
    """Set the hook for the next request of the current task."""
    _slot.set(HookSlot(hook))


class HookedClientRequest(aiohttp.ClientRequest):
    """A request whose hook is called once it has a connection, before its first byte is written.

    The hook is needed because connecting may take long: the client's time remaining decreases meanwhile, and
    the endpoint may begin to drain."""

    async def send(self, conn: aiohttp.connector.Connection) -> aiohttp.ClientResponse:
        """Call the hook, then write the request."""
        slot = _slot.get()
        hook = None if slot is None else slot.take()
        if hook is not None:
            hook(self.headers, conn.transport)
        return await super().send(conn)
