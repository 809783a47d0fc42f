"""The connection pool for calls to endpoints and discovery, which is built on aiohttp's client session."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from types import SimpleNamespace

import aiohttp
from aiohttp import TraceConfig
from aiohttp.client import _RequestContextManager
from yarl import URL

from llm_router.configuration import RouterConfig
from llm_router.transport.body_reader import read_body
from llm_router.transport.clock import to_seconds
from llm_router.transport.socket_budget import SocketBudget, may_use_release_sockets
from llm_router.transport.upstream_connector import UpstreamConnector, disable_retries
from llm_router.transport.write_hook import BeforeWrite, HookedClientRequest, set_hook

MAX_CALL_BODY_SIZE = 256 * 1024  # maximum bytes in the body of a response to a call
READ_BUFFER_SIZE = 16 * 1024  # bytes buffered per response while its client reads slowly
# Number of sockets for discovery: one for its watch, the others for new calls while broken connections close.
DISCOVERY_SOCKETS = 4
# Number of endpoint sockets reserved for release calls, so that attempts cannot use all sockets.
RELEASE_SOCKETS = 4
# Share of the endpoints' idle timeout after which the router closes an idle connection.
# With a share of 1, a request could be sent on a connection that the endpoint is just closing.
IDLE_TIMEOUT_SHARE = 0.5
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


@dataclass(slots=True, frozen=True)
class UpstreamCall:
    """A call to an endpoint, with the options for making it."""

    method: str
    address: str
    path: str
    headers: Mapping[str, str] | None = None
    body: bytes | None = None
    # This event is set once the first bytes may have been sent.
    written: asyncio.Event | None = None
    # This timeout applies if it is shorter than the configured connect timeout.
    connect_timeout: timedelta | None = None
    # The pool calls this hook after connecting, just before the call is written.
    before_write: BeforeWrite | None = None
    # Whether the call may use a socket that is reserved for release calls.
    for_release: bool = False


@dataclass(slots=True, frozen=True)
class CallResponse:
    """The status and the body of a response that was read to its end."""

    status: int
    body: bytes


class ConnectionPool:
    """A client session that does not queue calls, does not resend them, and limits the number of sockets.

    Of the `max_sockets` sockets, `release_sockets` are reserved for release calls."""

    def __init__(self, config: RouterConfig, max_sockets: int, release_sockets: int = 0) -> None:
        self.socket_budget = SocketBudget(max_sockets, release_sockets, self._drop_all_idle)
        # The socket budget replaces aiohttp's limit of 100 connections.
        # Above that limit, attempts would be queued inside aiohttp.
        self.connector = UpstreamConnector(
            limit=0,
            keepalive_timeout=to_seconds(config.idle_timeout * IDLE_TIMEOUT_SHARE),
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=self.socket_budget.open,
        )
        # aiohttp's total timeout of five minutes is off because it would truncate long streams.
        # Bodies are not decompressed, because they are relayed unchanged.
        self.session = aiohttp.ClientSession(
            connector=self.connector,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=to_seconds(config.connect_timeout)),
            auto_decompress=False,
            trace_configs=[self._trace_config()],
            read_bufsize=READ_BUFFER_SIZE,
            request_class=HookedClientRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        disable_retries(self.session)

    @property
    def has_socket_for_release(self) -> bool:
        """Whether a release call can get a socket now: a free one, or that of an idle connection."""
        return self.socket_budget.has_free_socket or self.connector.has_idle

    def _drop_all_idle(self) -> int:
        return self.connector.drop_idle()

    def _trace_config(self) -> TraceConfig:
        """Return a trace configuration that sets a call's `written` event once bytes may have been sent."""
        config = TraceConfig()
        config.on_request_headers_sent.append(self._on_bytes_sent)
        config.on_request_chunk_sent.append(self._on_bytes_sent)
        return config

    @staticmethod
    async def _on_bytes_sent(_session: object, context: SimpleNamespace, _parameters: object) -> None:
        written: asyncio.Event | None = context.trace_request_ctx
        if written is not None:
            written.set()

    def request(self, call: UpstreamCall) -> _RequestContextManager:
        """Make a call; return aiohttp's awaitable and context manager for the response."""
        # A hook of None is set as well, because a task inherits the hook of the task that created it.
        set_hook(call.before_write)
        may_use_release_sockets.set(call.for_release)
        timeout = self.session.timeout
        if call.connect_timeout is not None:
            bound = min(to_seconds(call.connect_timeout), timeout.sock_connect or 0.0)
            timeout = aiohttp.ClientTimeout(total=None, sock_connect=bound)
        # `encoded=True` keeps yarl from rewriting the path and query, which are forwarded unchanged.
        url = URL(f"http://{call.address}{call.path}", encoded=True)
        return self.session.request(
            call.method,
            url,
            headers=call.headers,
            data=call.body,
            allow_redirects=False,
            trace_request_ctx=call.written,
            timeout=timeout,
        )

    async def fetch(self, address: str, path: str, timeout: timedelta) -> CallResponse | None:
        """Make a GET call and return its response, or None if the call fails or times out."""
        return await self._call_within(UpstreamCall("GET", address, path), timeout)

    async def call(self, call: UpstreamCall, timeout: timedelta) -> int | None:
        """Make a call and return the response's status, or None if the call fails or times out."""
        response = await self._call_within(call, timeout)
        return None if response is None else response.status

    async def _call_within(self, call: UpstreamCall, timeout: timedelta) -> CallResponse | None:
        try:
            async with asyncio.timeout(to_seconds(timeout)):
                async with self.request(call) as response:
                    body = await read_body(response.content, MAX_CALL_BODY_SIZE)
                    return CallResponse(response.status, body)
        except CALL_ERRORS:
            return None

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
