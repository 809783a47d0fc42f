"""Makes the protocols of client connections: aiohttp's low-level server with a limit on connections.

It uses private parts of the pinned aiohttp release; `tests/transport/test_connections.py` checks them."""

from __future__ import annotations

import asyncio
import functools
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import cast

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from llm_router import log
from llm_router.transport.client_connection import ClientConnection
from llm_router.transport.clock import to_seconds
from llm_router.transport.input_buffer import InputBudget
from llm_router.transport.listener import Listener
from llm_router.transport.rejected_connection import RejectedConnection, RejectedConnections

# A client connection without a complete head is closed after this: its client is owed a close within 3 s.
SILENCE_TIMEOUT = timedelta(seconds=2.2)
NEW_CONNECTION_AGE = timedelta(seconds=0.3)  # a connection so young may have a head on its way

# A request's own entry: since when it may have waited, None where its body is still to come.
WAITING_SINCE: web.RequestKey[float | None] = web.RequestKey(
    "waiting_since",
    float | None,  # type: ignore[arg-type]  # aiohttp uses it in the key's repr alone
)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
ErrorResponse = Callable[..., web.Response]


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """The bounds of a server: counts of connections, sizes in bytes."""

    max_connections: int
    max_rejected: int  # connections over the limit that may be open until they are answered
    max_body_size: int
    input_buffer_size: int  # input that may be buffered before its turn, for all connections together


class HttpServer(web.Server):
    """Takes client connections up to a limit; idle ones give way to new ones."""

    def __init__(self, handler: Handler, error_response: ErrorResponse, limits: ServerLimits) -> None:
        # A handler is cancelled when its client has left: it must not work on for nobody.
        super().__init__(handler, request_factory=self._new_request, handler_cancellation=True)
        self._make_connection = functools.partial(
            ClientConnection,
            self,
            loop=self._loop,
            auto_decompress=False,  # a small body must not inflate past the limits
            access_log=None,
            keepalive_timeout=to_seconds(SILENCE_TIMEOUT),  # for idle and silent connections
            lingering_time=0,  # aiohttp's wait for the rest of a body would hold the answer's end back
        )
        self.listener: Listener | None = None
        self.error_response = error_response
        self.max_connections = limits.max_connections
        self.max_body_size = limits.max_body_size
        self.input_budget = InputBudget(limits.input_buffer_size)
        self.draining = False
        self.lingering: OrderedDict[ClientConnection, None] = OrderedDict()
        self._rejected = RejectedConnections(limits.max_rejected)

    def _clients(self) -> Iterable[ClientConnection]:
        """Return aiohttp's table of connections, all of which `__call__` has made."""
        return cast(Iterable[ClientConnection], self._connections)

    def _new_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        output: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        max_size = self.max_body_size + 1
        request = web.BaseRequest(
            message, payload, protocol, output, task, self._loop, client_max_size=max_size
        )
        arrival = cast(ClientConnection, protocol).take_arrival(message)
        request[WAITING_SINCE] = arrival if payload.is_eof() else None
        return request

    def waiting_since(self, transport: asyncio.BaseTransport) -> float:
        """Return the loop's time since which a new connection may have waited to be accepted."""
        accepted = transport.get_extra_info("socket")
        if self.listener is None or accepted is None:
            return self._loop.time()
        return self.listener.waiting_since.pop(accepted.fileno(), self._loop.time())

    def __call__(self) -> asyncio.Protocol:  # type: ignore[override]  # a rejected one has no handler
        """Return the protocol of a new connection."""
        if len(self._connections) < self.max_connections or self.evict():
            return self._make_connection()
        log.emit_rate_limited("client_connection_rejected", connections=self.max_connections)
        return RejectedConnection(self._rejected)

    def evict(self) -> bool:
        """Close a connection to make room for a new one; return False where none may be closed.

        Lingering ones go first, then silent ones, then the one that has been idle for longest. So a flood of
        connections does not take the capacity of usual clients."""
        if self.lingering:
            oldest, _ = self.lingering.popitem(last=False)
            oldest.force_close()
            return True
        idle: list[ClientConnection] = []
        opened_before = self._loop.time() - to_seconds(NEW_CONNECTION_AGE)
        for connection in self._clients():  # oldest first, so that a flood of silent ones is met at once
            if connection.transport is None:
                # Closed already, though still in the table until the loop comes round: it frees nothing more.
                continue
            is_old = connection.idle_since < opened_before
            if connection.is_idle and not connection.has_served and is_old:
                connection.force_close()
                return True
            if connection.all_answered and (connection.has_served or is_old):
                idle.append(connection)
        if not idle:
            return False
        min(idle, key=self._eviction_order).force_close()
        return True

    @staticmethod
    def _eviction_order(connection: ClientConnection) -> tuple[bool, bool, float]:
        return connection.has_served, not connection.is_idle, connection.idle_since

    @staticmethod
    def request_waiting_since(request: web.BaseRequest) -> float:
        """Return the loop's time since which the last byte of a request that was read may have waited."""
        since = request[WAITING_SINCE]
        if since is not None:
            return since
        return cast(ClientConnection, request.protocol).last_input_since

    def request_awaited_since(self, request: web.BaseRequest) -> float:
        """Return the loop's time since which a request is awaited: for the first, its connection's start."""
        connection = cast(ClientConnection, request.protocol)
        return self._loop.time() if connection.has_served else connection.idle_since

    @property
    def has_open_requests(self) -> bool:
        """Whether a connection has a request open, or a part of one."""
        return any(each.accepts_input and not each.is_idle for each in self._clients())

    def drain(self) -> None:
        """End the idle connections; the others end with their answers."""
        self.draining = True
        for connection in list(self._clients()):
            if connection.is_idle:
                connection.linger()
