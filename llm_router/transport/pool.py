"""Connections to endpoints: aiohttp's client with its defaults set for this protocol."""

from __future__ import annotations

import asyncio
import errno
import socket
from contextlib import suppress
from contextvars import ContextVar
from datetime import timedelta
from weakref import WeakSet

import aiohttp
from aiohttp import TraceConfig
from yarl import URL

from llm_router.configuration import RouterConfig
from llm_router.transport.aio import UpstreamConnector, never_resend
from llm_router.transport.outgoing import BeforeWrite, LateRequest, before_write
from llm_router.transport.resilient_socket import ResilientSocket, SocketLimitError

READ_AHEAD = 16 * 1024  # bytes taken from an endpoint before a slow client has taken them
DISCOVERY_SOCKETS = 4  # sockets that only discovery uses: one for its watch, others while broken ones end
RELEASE_SOCKETS = 4  # of the sockets to endpoints: attempts leave them, so that a release finds one
IDLE_SHARE = 0.5  # of the endpoints' idle time: what is written to a connection later may end as a reset


# Whether the running task's call may take a socket that is kept for releases.
may_use_release_sockets: ContextVar[bool] = ContextVar("may_take_kept", default=False)


class ConnectionPool:
    """A client session that never waits for a connection, resends nothing and counts its sockets.

    `kept` of them are for releases alone."""

    def __init__(self, config: RouterConfig, most: int, kept: int = 0) -> None:
        self.max_sockets, self.release_sockets, self.sockets = most, kept, WeakSet()
        # Guards against aiohttp's total of 100, past which attempts would wait unseen: we count ourselves.
        self.connector = UpstreamConnector(
            limit=0,
            keepalive_timeout=(config.idle_timeout * IDLE_SHARE).total_seconds(),
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=self.open_socket,
        )
        trace = TraceConfig(trace_config_ctx_factory=lambda trace_request_ctx=None: trace_request_ctx)
        trace.on_request_headers_sent.append(self.on_bytes_sent)
        trace.on_request_chunk_sent.append(self.on_bytes_sent)
        # Guards against a total time-out of five minutes, which would cut long streams, and inflating.
        self.session = aiohttp.ClientSession(
            connector=self.connector,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=config.connect_timeout.total_seconds()),
            auto_decompress=False,
            trace_configs=[trace],
            read_bufsize=READ_AHEAD,
            request_class=LateRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        never_resend(self.session)

    def open_socket(self, info: tuple) -> socket.socket:
        """Make a socket, unless that would take more than our part of the descriptors."""
        most = self.max_sockets if may_use_release_sockets.get() else self.max_sockets - self.release_sockets
        if len(self.sockets) >= most:
            # Guards against counting closed ones, which stay in memory till a garbage collection.
            self.sockets = WeakSet(each for each in self.sockets if each.fileno() >= 0)
        # A dropped one closes a moment later, so one new connection may go before it.
        if len(self.sockets) >= most and not self.connector.drop_idle():
            raise SocketLimitError(errno.EMFILE, "no socket is left for another connection")
        made = ResilientSocket(*info[:3])
        self.sockets.add(made)
        with suppress(OSError):
            made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return made

    @staticmethod
    async def on_bytes_sent(session: object, context: asyncio.Event | None, params: object) -> None:
        """Note that bytes of a call are on their way."""
        if context is not None:
            context.set()

    def request(
        self,
        method: str,
        address: str,
        path: str,
        sent: asyncio.Event | None = None,
        connect_within: timedelta | None = None,
        complete: BeforeWrite | None = None,
        for_release: bool = False,
        **more,
    ):
        """Send a call; `sent` is set once its first bytes may have gone.

        `connect_within` shortens the usual wait for a new connection; `complete` is called when it is up."""
        before_write.set(complete)  # always: a task inherits what the one that started it had set
        may_use_release_sockets.set(for_release)
        if connect_within is not None:
            bound = min(connect_within.total_seconds(), self.session.timeout.sock_connect)
            more["timeout"] = aiohttp.ClientTimeout(total=None, sock_connect=bound)
        # Guards against yarl writing a path or query anew: it passes on as it came.
        url = URL(f"http://{address}{path}", encoded=True)
        return self.session.request(method, url, allow_redirects=False, trace_request_ctx=sent, **more)

    async def fetch(self, address: str, path: str, within: timedelta) -> tuple[int, bytes] | None:
        """Fetch a short text and give its status with it, None where it did not come."""
        try:
            async with asyncio.timeout(within.total_seconds()):
                async with self.request("GET", address, path) as answer:
                    return answer.status, await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        within: timedelta,
        sent: asyncio.Event | None = None,
        for_release: bool = False,
        complete: BeforeWrite | None = None,
    ) -> int | None:
        """Make a call without a body and give the answer's status, None where none came."""
        try:
            async with asyncio.timeout(within.total_seconds()):
                call = self.request(method, address, path, sent, None, complete, for_release)
                async with call as answer:
                    await answer.read()
                    return answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def close(self) -> None:
        await self.session.close()
