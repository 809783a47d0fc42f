"""Extends aiohttp's server protocol for client connections, with limits on malformed and slow requests.

It uses private parts of the pinned aiohttp release, which `tests/transport/test_connections.py` checks."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from datetime import timedelta
from enum import Enum, auto
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from llm_router import log
from llm_router.transport.clock import to_seconds
from llm_router.transport.event_loop import input_since, select_count
from llm_router.transport.input_buffer import InputBuffer

if TYPE_CHECKING:
    from llm_router.transport.http_server import HttpServer

# Time limit for a client to read the last response and to close its side of the connection.
LINGER_TIMEOUT = timedelta(seconds=5)
# Number of input polls after the connection setup.
# Bytes received in these polls are assumed to have arrived together with the connection.
FIRST_INPUT_SELECTS = 2


class ConnectionState(Enum):
    """The states of a client connection; `TRANSITIONS` lists the allowed transitions.

    There is no state for a closed connection: aiohttp sets `transport` to None when it is closed."""

    OPEN = auto()  # Requests are read and answered.
    # Malformed input was received. An error response is pending, and further input is dropped.
    INPUT_REJECTED = auto()
    # The router has shut down its sending side. It waits for the client to close, and drops input.
    LINGERING = auto()


TRANSITIONS = {
    ConnectionState.OPEN: (ConnectionState.INPUT_REJECTED, ConnectionState.LINGERING),
    ConnectionState.INPUT_REJECTED: (ConnectionState.LINGERING,),
    ConnectionState.LINGERING: (),
}


class ClientConnection(RequestHandler):
    """A client connection that answers malformed input once and drops all input after it.

    Closing a socket that has unread input resets the connection, and the reset may discard the last response.
    So the router shuts down its sending side, waits until the client closes, and drops input meanwhile."""

    __slots__ = (
        "_answered_requests",
        "_buffers_input",
        "_first_select_count",
        "_head_arrivals",
        "_linger_timer",
        "_input_buffer",
        "_state",
        "has_served",
        "idle_since",
        "last_input_since",
        "partial_head_since",
    )

    _manager: HttpServer | None

    def __init__(self, manager: HttpServer, **settings: Any) -> None:  # noqa: ANN401  # aiohttp's settings
        super().__init__(manager, **settings)
        self._state = ConnectionState.OPEN
        self.has_served = False  # Whether any request on this connection was answered.
        self.idle_since = self._loop.time()  # time of the last response, or of the connection's start
        # Earliest time at which the last received bytes can have arrived.
        self.last_input_since = self.idle_since
        # Time at which the first bytes of an incomplete request head were read.
        self.partial_head_since: float | None = None
        # Earliest arrival time of each queued request head, by the message's id().
        self._head_arrivals: dict[int, float] = {}
        self._first_select_count = 0
        self._answered_requests = 0
        self._buffers_input = False  # Whether aiohttp has paused reading.
        self._input_buffer = InputBuffer(manager.input_budget, 2 * manager.max_body_size)
        self._linger_timer: asyncio.TimerHandle | None = None

    def _enter(self, state: ConnectionState) -> None:
        """Change the state; raise RuntimeError if `TRANSITIONS` does not list the transition."""
        if state not in TRANSITIONS[self._state]:
            raise RuntimeError(f"client connection: no transition from {self._state} to {state}")
        self._state = state

    @property
    def accepts_input(self) -> bool:
        """Whether input from the client is processed rather than dropped."""
        return self._state is ConnectionState.OPEN

    @property
    def all_answered(self) -> bool:
        """Whether all requests that were read are answered.

        This is False for a request that aiohttp has taken from its queue before its handler has begun."""
        return self._request_count == self._answered_requests

    @property
    def is_idle(self) -> bool:
        """Whether no complete or partial request waits for a response."""
        return self.all_answered and self.partial_head_since is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the connection, and record how long it may have waited to be accepted."""
        super().connection_made(transport)
        self._first_select_count = select_count(self._loop)
        if self._manager is not None:
            self.last_input_since = self._manager.waiting_since(transport)

    def data_received(self, data: bytes) -> None:
        """Process bytes that the event loop has received."""
        if not self.accepts_input:
            return
        selects = select_count(self._loop) - self._first_select_count
        is_first = not self._request_count and selects <= FIRST_INPUT_SELECTS
        self._read(data, self.last_input_since if is_first else input_since(self._loop))

    def _read(self, data: bytes, since: float) -> None:
        """Parse bytes, or buffer them while aiohttp has paused reading.

        `since` is the earliest loop time at which the bytes can have arrived."""
        if not self.accepts_input:
            return
        if self._buffers_input and data:
            self._buffer(data, since)
            return
        requests_before = self._request_count
        if data:
            self.last_input_since = since
        super().data_received(data)
        for message, _ in self._messages:
            self._head_arrivals.setdefault(id(message), self.last_input_since)
        if self._request_count > requests_before:
            self.partial_head_since = None
        elif data and self.is_idle:
            self.partial_head_since = self._loop.time()
        if self._messages and isinstance(self._messages[-1][0], _ErrInfo):
            # In the state OPEN, each further piece of input would count as another malformed request.
            self._enter(ConnectionState.INPUT_REJECTED)

    def pop_head_arrival(self, message: object) -> float:
        """Remove and return the earliest arrival time of a request head."""
        return self._head_arrivals.pop(id(message), self.last_input_since)

    def _buffer(self, data: bytes, since: float) -> None:
        """Buffer input while aiohttp has paused reading; pause the transport if the buffer is full."""
        self._input_buffer.append(data, since)
        if self._input_buffer.is_full:
            super()._pause_transport_reading()

    def _pause_transport_reading(self) -> None:
        # The transport keeps reading into the buffer, because only reading detects a client disconnect.
        self._buffers_input = True

    def _resume_transport_reading(self) -> None:
        super()._resume_transport_reading()
        if self._buffers_input:
            self._buffers_input = False
            self._loop.call_soon(self._read_buffered)

    def _read_buffered(self) -> None:
        """Parse buffered input until the buffer is empty or aiohttp pauses reading."""
        while self._input_buffer and not self._buffers_input:
            piece = self._input_buffer.pop()
            self._read(piece.data, piece.since)

    def eof_received(self) -> None:
        """Abort the connection if the client closes its sending side with a request unanswered."""
        # A plain close would wait until unsent bytes are sent, and the client's request would run meanwhile.
        if not self.all_answered and self.transport is not None:
            self.transport.abort()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the frontend's error response for a malformed request, and log it with a rate limit."""
        if request.writer.output_size > 0:
            raise ConnectionError("cannot send an error: the response has already started")
        assert self._manager is not None, "aiohttp does not handle requests of a closed connection"
        text = message or repr(exc)
        log.emit_rate_limited("request_malformed", text=text.split("\n")[0][:200])
        return self._manager.error_response(status, "the request is malformed", close=True)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Finish a response; return it and whether the client has reset the connection."""
        resp, reset = await super().finish_response(request, resp, start_time)
        self.idle_since = self._loop.time()
        self.has_served = True
        self._answered_requests += 1
        if self._manager and self._manager.draining:
            resp.force_close()
        if not reset and not resp.keep_alive and self.transport is not None and self._manager:
            self.linger()
            await asyncio.sleep(to_seconds(LINGER_TIMEOUT))
        return resp, reset

    def force_close(self) -> None:
        """Close the connection; log an invariant violation if a request is unanswered."""
        if not self.all_answered and self.transport is not None and not self.transport.is_closing():
            open_requests = self._request_count - self._answered_requests
            log.emit("invariant_violated", rule="closed_unanswered", open=open_requests)
        super().force_close()

    def linger(self) -> None:
        """Shut down the sending side; force the close if the client has not closed by LINGER_TIMEOUT."""
        if self._state is ConnectionState.LINGERING or self.transport is None or self._manager is None:
            return
        self._enter(ConnectionState.LINGERING)
        self._manager.lingering[self] = None
        self._resume_transport_reading()
        with suppress(OSError, RuntimeError):
            self.transport.write_eof()
        self._linger_timer = self._loop.call_later(to_seconds(LINGER_TIMEOUT), self.force_close)

    def _process_keepalive(self) -> None:
        """Close a connection after its keep-alive timeout, which a partial request head extends."""
        self._keepalive_handle = None
        if self._force_close or not self.accepts_input or not self.all_answered:
            return
        close_at = self._next_keepalive_close_time
        if self.partial_head_since is not None and self.has_served:
            close_at = max(close_at, self.partial_head_since + self._keepalive_timeout)
        if self._loop.time() < close_at:
            self._keepalive_handle = self._loop.call_at(close_at, self._process_keepalive)
        else:
            self.linger()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Free the resources of the connection after it was closed."""
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        if self._manager is not None:  # aiohttp sets it to None when the connection is lost.
            self._manager.lingering.pop(self, None)
        self._input_buffer.clear()
        super().connection_lost(exc)
