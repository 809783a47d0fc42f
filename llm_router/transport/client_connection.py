"""A client's connection: aiohttp's server protocol, with bounds on malformed and slow requests.

It uses private parts of the pinned aiohttp release; `tests/transport/test_connections.py` checks them."""

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

LINGER_TIMEOUT = timedelta(seconds=5)  # for a client to take an error and to end what it is sending
# Polls for input after a connection's start, up to which its first bytes count as come along with it.
FIRST_INPUT_SELECTS = 2


class ConnectionState(Enum):
    """The life cycle of a client's connection, with its transitions in `TRANSITIONS`.

    That it is closed is not a state here: aiohttp tells it by `transport`, which is None then."""

    OPEN = auto()  # requests are read and answered
    INPUT_REJECTED = auto()  # malformed input was read: its error is to be answered, further input is dropped
    LINGERING = auto()  # our sending has ended: the client's end is awaited, and its input dropped


TRANSITIONS = {
    ConnectionState.OPEN: (ConnectionState.INPUT_REJECTED, ConnectionState.LINGERING),
    ConnectionState.INPUT_REJECTED: (ConnectionState.LINGERING,),
    ConnectionState.LINGERING: (),
}


class ClientConnection(RequestHandler):
    """A client's connection; malformed input is answered once, and nothing after it is taken.

    A connection closed over unread input is reset, and the reset may discard the answer on its way. So we end
    our sending, wait for the client's end, and drop what it sends meanwhile."""

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

    def __init__(self, manager: HttpServer, **settings: Any) -> None:  # noqa: ANN401  # aiohttp's
        super().__init__(manager, **settings)
        self._state = ConnectionState.OPEN
        self.has_served = False  # a request was answered
        self.idle_since = self._loop.time()  # the connection's start, or its last answer
        self.last_input_since = self.idle_since  # since when the bytes that came last may have waited
        self.partial_head_since: float | None = None  # when the first bytes of an incomplete head came
        self._head_arrivals: dict[int, float] = {}  # since when each queued head waits, by its identity
        self._first_select_count = 0
        self._answered_requests = 0
        self._buffers_input = False  # aiohttp wants no more input for now
        self._input_buffer = InputBuffer(manager.input_budget, 2 * manager.max_body_size)
        self._linger_timer: asyncio.TimerHandle | None = None

    def _enter(self, state: ConnectionState) -> None:
        """Change the state; raise RuntimeError for a transition that is not in the table."""
        if state not in TRANSITIONS[self._state]:
            raise RuntimeError(f"client connection: no transition from {self._state} to {state}")
        self._state = state

    @property
    def accepts_input(self) -> bool:
        """Whether what the client sends is read."""
        return self._state is ConnectionState.OPEN

    @property
    def all_answered(self) -> bool:
        """Whether all requests that were read are answered.

        A request that aiohttp has taken from its queue and whose handler has yet to begin is not."""
        return self._request_count == self._answered_requests

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request has come that waits for its answer."""
        return self.all_answered and self.partial_head_since is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the client."""
        super().connection_made(transport)
        self._first_select_count = select_count(self._loop)
        if self._manager is not None:
            self.last_input_since = self._manager.waiting_since(transport)

    def data_received(self, data: bytes) -> None:
        """Read bytes that the event loop has received."""
        if not self.accepts_input:
            return
        selects = select_count(self._loop) - self._first_select_count
        is_first = not self._request_count and selects <= FIRST_INPUT_SELECTS
        self._read(data, self.last_input_since if is_first else input_since(self._loop))

    def _read(self, data: bytes, since: float) -> None:
        """Parse bytes that may have waited since a moment, or buffer them while aiohttp wants no more."""
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
            # Otherwise each further piece of input would count as one more malformed request.
            self._enter(ConnectionState.INPUT_REJECTED)

    def take_arrival(self, message: object) -> float:
        """Return since when a request's head may have waited, and forget it."""
        return self._head_arrivals.pop(id(message), self.last_input_since)

    def _buffer(self, data: bytes, since: float) -> None:
        """Buffer input that comes before aiohttp wants it; past the bounds reading stops after all."""
        self._input_buffer.append(data, since)
        if self._input_buffer.is_full:
            super()._pause_transport_reading()

    def _pause_transport_reading(self) -> None:
        # Reading goes on: otherwise the client's end would not be seen while its next request waits unread.
        self._buffers_input = True

    def _resume_transport_reading(self) -> None:
        super()._resume_transport_reading()
        if self._buffers_input:
            self._buffers_input = False
            self._loop.call_soon(self._read_buffered)

    def _read_buffered(self) -> None:
        """Parse what was buffered, until aiohttp wants no more."""
        while self._input_buffer and not self._buffers_input:
            piece = self._input_buffer.pop()
            self._read(piece.data, piece.since)

    def eof_received(self) -> None:
        """Handle the end of the client's sending."""
        # A close would wait for unsent bytes, while work goes on for a client that has gone.
        if not self.all_answered and self.transport is not None:
            self.transport.abort()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the frontend's error response, with a rate-limited log line."""
        if request.writer.output_size > 0:
            raise ConnectionError("an answer has begun")
        assert self._manager is not None, "aiohttp handles no request of a lost connection"
        text = message or repr(exc)
        log.emit_rate_limited("request_malformed", text=text.split("\n")[0][:200])
        return self._manager.error_response(status, "the request cannot be read", close=True)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write the end of a response; return it and whether the client has reset the connection."""
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
        """Close the connection; log a violation where a request that was read is not answered."""
        if not self.all_answered and self.transport is not None and not self.transport.is_closing():
            open_requests = self._request_count - self._answered_requests
            log.emit("invariant_violated", rule="closed_unanswered", open=open_requests)
        super().force_close()

    def linger(self) -> None:
        """End our sending and wait for the client's end, for a bounded time."""
        if self._state is ConnectionState.LINGERING or self.transport is None or self._manager is None:
            return
        self._enter(ConnectionState.LINGERING)
        self._manager.lingering[self] = None
        self._resume_transport_reading()
        with suppress(OSError, RuntimeError):
            self.transport.write_eof()
        self._linger_timer = self._loop.call_later(to_seconds(LINGER_TIMEOUT), self.force_close)

    def _process_keepalive(self) -> None:
        """End a connection that is idle or silent for too long, unless a head is on its way."""
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
        """Handle the end of the connection."""
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        if self._manager is not None:  # which aiohttp forgets when the connection is lost
            self._manager.lingering.pop(self, None)
        self._input_buffer.clear()
        super().connection_lost(exc)
