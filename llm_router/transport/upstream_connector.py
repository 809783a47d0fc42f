"""Opens connections to endpoints: aiohttp's connector, with retries after local errors.

This module uses private parts of the pinned aiohttp release; `tests/transport/test_connections.py` checks
that they exist."""

from __future__ import annotations

import asyncio
import errno
import functools
from datetime import timedelta
from typing import Any, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest, ConnectionKey
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from llm_router import log
from llm_router.transport.clock import to_seconds
from llm_router.transport.errors import LocalConnectError
from llm_router.transport.idle_connection_policy import IdleConnectionPolicy
from llm_router.transport.pending_input import has_pending_input
from llm_router.transport.resilient_socket import LOCAL_ERRORS, LocalSocketError, SocketLimitError
from llm_router.transport.socket_budget import may_use_release_sockets
from llm_router.transport.upstream_connection import UpstreamConnection

# A connection is used again only this long after the last bytes received on it.
# An endpoint may write a second answer up to 20 ms behind the first. Bytes that come while no request is out
# close the connection; behind the next request they would be taken for its response.
REUSE_DELAY = timedelta(milliseconds=25)
# Delay before the first retry after a local connect error. It doubles with each further retry.
INITIAL_BACKOFF = timedelta(milliseconds=1)


class UpstreamConnector(aiohttp.TCPConnector):
    """aiohttp's connector, which opens `UpstreamConnection`s and can close the idle ones."""

    def __init__(self, **settings: Any) -> None:  # noqa: ANN401  # the base class takes any type
        super().__init__(**settings)
        # The type differs because UpstreamConnection is a subclass of ResponseHandler.
        self._factory = functools.partial(  # type: ignore[assignment]
            UpstreamConnection, loop=self._loop, on_stale=self._on_stale
        )
        self._usual_keepalive_timeout = self._keepalive_timeout
        self.idle_policy = IdleConnectionPolicy(enabled=(self._keepalive_timeout or 0.0) > 0)
        self.local_failures = 0  # number of connects that failed because of an error on the router's host

    def _on_stale(self, idle_seconds: float) -> None:
        self.idle_policy.record_stale(self._loop.time(), idle_seconds)
        self._apply_idle_policy()

    def _apply_idle_policy(self) -> None:
        self._keepalive_timeout = self._usual_keepalive_timeout if self.idle_policy.reuses else 0.0

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        """Return an idle connection that is still open and may be used again, or None if there is none.

        A call waits for the end of a reuse delay, because a new connection would cost its endpoint more. A
        release does not wait, because its time is short."""
        self.idle_policy.update(self._loop.time())
        self._apply_idle_policy()
        wait_until = self._loop.time() + to_seconds(REUSE_DELAY)
        while (reusable_at := self._next_reusable_at(key)) is not None:
            if reusable_at > self._loop.time():
                may_wait = self.idle_policy.reuses and not may_use_release_sockets.get()
                if not may_wait or reusable_at > wait_until:
                    return None
                await asyncio.sleep(reusable_at - self._loop.time())
            elif (connection := await super()._get(key, traces)) is not None:
                if not has_pending_input(connection.transport):
                    return connection
                connection.close()
        return None

    def _next_reusable_at(self, key: ConnectionKey) -> float | None:
        """Return the loop time from which an open idle connection may be used again; None if none is open.

        This is the connection that aiohttp uses next: the idle ones are in the order of their last use."""
        for connection, _ in self._conns.get(key, ()):
            if connection.is_connected():
                return cast(UpstreamConnection, connection).last_received + to_seconds(REUSE_DELAY)
        return None

    async def _create_connection(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> ResponseHandler:
        """Open a connection; retry local errors with a backoff until the connect timeout is over.

        If the network stays unreachable until then, the failure counts as one of the endpoint, because other
        endpoints may be reachable."""
        end = self._loop.time() + (timeout.sock_connect or 0.0)
        backoff = to_seconds(INITIAL_BACKOFF)
        while True:
            try:
                return await super()._create_connection(req, traces, timeout)
            except aiohttp.ClientConnectorError as failure:
                is_last = self._loop.time() + backoff > end
                self._handle_connect_failure(failure, is_last)
            await asyncio.sleep(backoff)
            backoff *= 2

    def _handle_connect_failure(self, failure: aiohttp.ClientConnectorError, is_last: bool) -> None:
        """Return if the connect may be retried; raise the final error otherwise."""
        error = failure.os_error
        if error.errno not in LOCAL_ERRORS and not isinstance(error, LocalSocketError):
            raise failure
        log.emit_rate_limited("connect_failed_locally", error=repr(error))
        self.local_failures += 1
        if isinstance(error, SocketLimitError):
            raise LocalConnectError(error.errno, str(error)) from error
        if not is_last:
            return
        if error.errno == errno.ENETUNREACH:
            raise failure
        raise LocalConnectError(error.errno, str(error)) from error

    @property
    def has_idle(self) -> bool:
        """Whether any connection is idle."""
        return any(self._conns.values())

    def drop_idle(self, address: str | None = None) -> int:
        """Close the idle connections to one endpoint or to all; return their number."""
        dropped = 0
        for key, idle in list(self._conns.items()):
            if address not in (None, f"{key.host}:{key.port}"):
                continue
            while idle:
                protocol, _ = idle.popleft()
                if protocol.transport is not None:
                    protocol.transport.abort()
                    dropped += 1
        return dropped


def disable_retries(session: aiohttp.ClientSession) -> None:
    """Stop aiohttp from resending a GET or DELETE automatically after a stale connection breaks."""
    session._retry_connection = False
