"""Extends aiohttp's low-level server with a limit on client connections.

It uses private parts of the pinned aiohttp release, which `tests/transport/test_connections.py` checks."""

from __future__ import annotations

import asyncio
import functools
import math
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
from llm_router.transport.client_input import ArrivalTime
from llm_router.transport.clock import to_seconds
from llm_router.transport.input_turns import InputTurns
from llm_router.transport.listener import Listener
from llm_router.transport.memory_budget import MemoryBudget
from llm_router.transport.rejected_connection import RejectedConnection, RejectedConnections
from llm_router.transport.waiting_requests import is_rejected

# Client connections are closed after this time without a complete request head.
# Clients expect a response or a close within 3 s.
KEEPALIVE_TIMEOUT = timedelta(seconds=2.2)
# The first request head of a connection younger than this may still be in transit.
NEW_CONNECTION_AGE = timedelta(seconds=0.3)
# A connection that has been idle for less than this is in use, and is not closed for a new one.
MIN_IDLE_TIME = timedelta(seconds=0.3)

# Key under which a request stores the arrival of its last byte, or None if its body was not yet complete.
ARRIVAL: web.RequestKey[ArrivalTime | None] = web.RequestKey(
    "arrival",
    ArrivalTime | None,  # type: ignore[arg-type]  # aiohttp uses the type only in the key's repr.
)

# Key under which a request stores whether it was rejected while it waited behind another one.
WAS_REJECTED: web.RequestKey[bool] = web.RequestKey("was_rejected", bool)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
ErrorResponse = Callable[..., web.Response]


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """The resource limits of a server: connections as counts, sizes in bytes."""

    max_connections: int
    max_rejected: int  # maximum number of open rejected connections
    max_body_size: int


def client_connection(request: web.BaseRequest) -> ClientConnection:
    """Return the connection of a request."""
    return cast(ClientConnection, request.protocol)


class HttpServer(web.Server):
    """An HTTP server that limits client connections and closes idle ones to accept new ones.

    `input_memory` is the budget for input that waits to be parsed or answered."""

    def __init__(
        self,
        handler: Handler,
        error_response: ErrorResponse,
        limits: ServerLimits,
        input_memory: MemoryBudget,
    ) -> None:
        # Cancel a handler when its client disconnects, because its response would be lost.
        super().__init__(handler, request_factory=self._new_request, handler_cancellation=True)
        self._make_connection = functools.partial(
            ClientConnection,
            self,
            loop=self._loop,
            access_log=None,
            keepalive_timeout=to_seconds(KEEPALIVE_TIMEOUT),
            lingering_time=0,  # aiohttp would delay the end of the response until the body is read.
        )
        self.listener: Listener | None = None
        self.error_response = error_response
        self.max_connections = limits.max_connections
        self.max_body_size = limits.max_body_size
        self.input_memory = input_memory
        self.input_turns = InputTurns(self._loop)
        self.draining = False
        self._answer_input_until = math.inf
        self.lingering: OrderedDict[ClientConnection, None] = OrderedDict()
        self._rejected = RejectedConnections(limits.max_rejected)

    def _clients(self) -> Iterable[ClientConnection]:
        """Return aiohttp's open connections, which are all instances of ClientConnection."""
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
        arrival = cast(ClientConnection, protocol).start_request(message)
        request[ARRIVAL] = arrival if payload.is_eof() else None
        request[WAS_REJECTED] = is_rejected(message)
        return request

    def waiting_since(self, transport: asyncio.BaseTransport) -> float:
        """Return the earliest loop time at which a new connection can have entered the accept queue."""
        accepted = transport.get_extra_info("socket")
        if self.listener is None or accepted is None:
            return self._loop.time()
        return self.listener.waiting_since.pop(accepted.fileno(), self._loop.time())

    def __call__(self) -> asyncio.Protocol:  # type: ignore[override]  # may be a RejectedConnection
        """Create the protocol object of a new connection, which rejects it if the limit is reached."""
        if len(self._connections) < self.max_connections or self.evict():
            return self._make_connection()
        log.emit_rate_limited("client_connection_rejected", connections=self.max_connections)
        return RejectedConnection(self._rejected)

    def evict(self) -> bool:
        """Close a connection to make room for a new one; return False if none can be closed.

        Lingering connections go first, then those that sent no request, then the one idle for longest.
        So a flood of new connections does not displace clients that send requests. A connection is not closed
        while it is in use, or while a request of its client waits to be read."""
        if self.lingering:
            oldest, _ = self.lingering.popitem(last=False)
            self._evict(oldest, "lingering")
            return True
        idle: list[ClientConnection] = []
        now = self._loop.time()
        opened_before = now - to_seconds(NEW_CONNECTION_AGE)
        idle_before = now - to_seconds(MIN_IDLE_TIME)
        for connection in self._clients():  # The oldest come first, so the search ends early in a flood.
            if connection.transport is None:
                # The connection is closed, but stays in the table until the next loop iteration.
                continue
            is_old = connection.idle_since < opened_before
            if is_old and connection.is_silent and not connection.has_pending_input:
                self._evict(connection, "silent")
                return True
            in_use = connection.idle_since >= idle_before
            if connection.all_answered and not in_use and (connection.has_served or is_old):
                idle.append(connection)
        for connection in sorted(idle, key=self._eviction_order):
            if not connection.has_pending_input:
                self._evict(connection, "idle")
                return True
        return False

    def _evict(self, connection: ClientConnection, reason: str) -> None:
        """Close a connection to make room for a new one, and log the reason."""
        idle_ms = round((self._loop.time() - connection.idle_since) * 1000)
        log.emit_rate_limited(
            "client_connection_evicted", reason=reason, idle_ms=idle_ms, connections=len(self._connections)
        )
        connection.shut_down_sending()
        connection.force_close()

    @staticmethod
    def _eviction_order(connection: ClientConnection) -> tuple[bool, bool, float]:
        return connection.has_served, not connection.is_idle, connection.idle_since

    @staticmethod
    def request_arrival(request: web.BaseRequest) -> ArrivalTime:
        """Return the arrival of the last byte of a complete request."""
        return request[ARRIVAL] or client_connection(request).last_arrival

    def request_awaited_since(self, request: web.BaseRequest) -> float:
        """Return the loop time from which the timeout of a request body counts.

        It is the connection's start for the first request, and the current time for later ones."""
        connection = client_connection(request)
        return self._loop.time() if connection.has_served else connection.idle_since

    @property
    def has_open_requests(self) -> bool:
        """Whether a connection has an unanswered or partial request."""
        return any(each.has_open_requests for each in self._clients())

    def may_close(self, connection: ClientConnection) -> bool:
        """Return whether a connection may close after the request that is being answered."""
        return not connection.has_input_behind or self._loop.time() > self._answer_input_until

    def drain(self, answer_input_until: float = math.inf) -> None:
        """Close the idle connections; each other one closes once the requests received on it are answered.

        After the loop time `answer_input_until` each connection closes after its response, so that clients
        that keep sending cannot delay the shutdown."""
        self._answer_input_until = answer_input_until
        self.draining = True
        for connection in list(self._clients()):
            if connection.is_idle:
                connection.linger()
