"""Reads the requests of a client within limits on the memory for its input.

It uses private parts of the pinned aiohttp release, which `tests/transport/test_connections.py` checks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp import StreamReader, web_protocol
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from llm_router.transport.client_input import ArrivalTime, ClientInput, ReceivedPiece
from llm_router.transport.event_loop import input_since, select_count, set_receive_size
from llm_router.transport.memory_budget import MemoryShare

if TYPE_CHECKING:
    from llm_router.transport.http_server import HttpServer

# Number of input polls after the connection setup.
# Bytes received in these polls are assumed to have arrived together with the connection.
FIRST_INPUT_SELECTS = 2
MAX_HEAD_SIZE = 32 * 1024  # maximum bytes of a request head, and of a request's trailer
# Bytes that are parsed at once.
# The parser keeps the input that follows a complete request, and repeats malformed input in its errors.
PARSE_SIZE = 4 * 1024
# Maximum number of requests that are parsed before their turn comes; the input after them stays unparsed.
MAX_QUEUED_REQUESTS = 1
# Bytes of input that each connection may hold while the memory for input is used up.
INPUT_ALLOWANCE = 16 * 1024

# aiohttp has no setting for this. Changing its constant spares a second parser for each connection.
web_protocol.MAX_MSG_QUEUE_SIZE = MAX_QUEUED_REQUESTS


class LimitedRequestHandler(RequestHandler):
    """aiohttp's server protocol, which holds a limited amount of input.

    It stops accepting input for good after malformed input, and when `stop_input` is called."""

    __slots__ = (
        "_answered_requests",
        "_body",
        "_body_size",
        "_buffers_input",
        "_first_select_count",
        "_head_arrivals",
        "_input",
        "last_arrival",
        "partial_head_since",
    )

    _manager: HttpServer | None

    def __init__(self, manager: HttpServer, **settings: Any) -> None:  # noqa: ANN401  # aiohttp's settings
        # Compressed bodies are left as they are: a small one could expand past the limits.
        super().__init__(manager, read_bufsize=PARSE_SIZE, auto_decompress=False, **settings)
        now = self._loop.time()
        self.last_arrival = ArrivalTime(now, now)  # arrival of the last parsed bytes
        # Time at which the first bytes of an incomplete request head were read.
        self.partial_head_since: float | None = None
        # Arrival of each queued request head, by the message's id().
        self._head_arrivals: dict[int, ArrivalTime] = {}
        self._first_select_count = 0
        self._answered_requests = 0
        self._buffers_input = False  # Whether aiohttp has paused reading.
        # It is created with the first input, because floods of silent connections are frequent.
        self._input: ClientInput | None = None
        self._body: StreamReader = EMPTY_PAYLOAD  # body of the request that was parsed last
        self._body_size = 0  # declared size of this body in bytes; 0 if it is not declared

    @property
    def accepts_input(self) -> bool:
        """Whether input from the client is processed rather than dropped."""
        return self._parser is not None

    @property
    def all_answered(self) -> bool:
        """Whether all requests that were read are answered.

        This is False for a request that aiohttp has taken from its queue before its handler has begun."""
        return self._request_count == self._answered_requests

    @property
    def is_idle(self) -> bool:
        """Whether no complete or partial request waits for a response."""
        has_buffered = self._input is not None and self._input.buffer
        return self.all_answered and self.partial_head_since is None and not has_buffered

    @property
    def has_input_behind(self) -> bool:
        """Whether input was received behind the request that is being answered."""
        has_buffered = self._input is not None and self._input.buffer
        unanswered = self._request_count - self._answered_requests
        return unanswered > 1 or self.partial_head_since is not None or bool(has_buffered)

    def _held_input(self) -> ClientInput:
        """Return the record of the input that this connection holds."""
        if self._input is None:
            assert self._manager is not None, "a closed connection receives no input"
            share = MemoryShare(self._manager.input_memory, INPUT_ALLOWANCE)
            self._input = ClientInput(share, 2 * self._manager.max_body_size)
        return self._input

    def on_input_rejected(self) -> None:
        """Handle the rejection of the client's input; an error response is queued for it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the connection, and record how long it may have waited to be accepted."""
        set_receive_size(transport)
        super().connection_made(transport)
        self._first_select_count = select_count(self._loop)
        if self._manager is not None:
            self.last_arrival = ArrivalTime(self._manager.waiting_since(transport), self._loop.time())

    def data_received(self, data: bytes) -> None:
        """Process bytes that the event loop has received.

        aiohttp calls this method without bytes to continue with the input that its parser has kept."""
        if not self.accepts_input:
            return
        if not data:
            self._parse_slice(data, self.last_arrival)
            return
        selects = select_count(self._loop) - self._first_select_count
        is_first = not self._request_count and selects <= FIRST_INPUT_SELECTS
        earliest = self.last_arrival.earliest if is_first else input_since(self._loop)
        piece = ReceivedPiece(data, ArrivalTime(earliest, self._loop.time()))
        if self._must_buffer or self._held_input().buffer:
            self._held_input().buffer.append(piece)
        else:
            self._parse(piece)
        self._limit_input()

    @property
    def _must_buffer(self) -> bool:
        """Whether input has to wait until aiohttp parses more."""
        return self._buffers_input

    def _parse(self, piece: ReceivedPiece) -> None:
        """Parse a piece of input in slices, and buffer the rest once aiohttp pauses reading."""
        position = 0
        while position < len(piece.data) and self.accepts_input:
            if self._must_buffer:
                self._held_input().buffer.put_back(ReceivedPiece(piece.data[position:], piece.arrival))
                return
            end = position + self._slice_size()
            self._parse_slice(piece.data[position:end], piece.arrival)
            position = end

    def _slice_size(self) -> int:
        """Return the number of bytes to parse at once; the rest of a body of known size is one slice."""
        return max(PARSE_SIZE, self._body_size - self._body.total_bytes)

    def _parse_slice(self, data: bytes, arrival: ArrivalTime) -> None:
        """Parse some bytes with this arrival."""
        body, had_body = self._body, not self._body.is_eof()
        self._feed_parser(data, arrival)
        self._after_feed(arrival)
        if had_body and body.is_eof() and not self._messages and self.accepts_input:
            # The parser stops after each complete request, also after one whose handler is running.
            self._feed_parser(b"", arrival)

    def _after_feed(self, arrival: ArrivalTime) -> None:
        """Handle bytes that the parser has received; subclasses extend this."""

    def _feed_parser(self, data: bytes, arrival: ArrivalTime) -> None:
        """Pass bytes to the parser, and record which of them belong to heads."""
        requests_before, body_before = self._request_count, self._body.total_bytes
        if data:
            self.last_arrival = arrival
        super().data_received(data)
        heads = self._held_input().heads
        if self._request_count > requests_before:
            heads.add(data)
            heads.complete()
            self.partial_head_since = None
            self._start_request()
        elif self._body.total_bytes > body_before:
            heads.drop_incomplete()
        else:
            heads.add(data)
            if data and self.is_idle:
                self.partial_head_since = self._loop.time()
        self._check_heads()

    def _start_request(self) -> None:
        """Record the arrival and the body of the request whose head is complete."""
        message, body = self._messages[-1]
        self._body = body
        self._body_size = 0
        if isinstance(message, _ErrInfo):
            # Its frames would keep the connection and its input in memory until a garbage collection.
            message.exc.__traceback__ = None
            # In the state OPEN, each further piece of input would count as another malformed request.
            self._stop_parsing()
            return
        self._head_arrivals[id(message)] = self.last_arrival
        self._body_size = _declared_size(message)

    def _check_heads(self) -> None:
        """Reject the input if an incomplete head is too large, or too large for the memory that is left."""
        if not self.accepts_input:
            return
        if self._held_input().heads.incomplete_size > MAX_HEAD_SIZE:
            self._reject_input(431, f"request head or trailer exceeds {MAX_HEAD_SIZE} bytes")
        elif (
            self._limits_heads_to_memory
            and not self._held_input().fits_in_memory()
            and self._body.is_eof()
            and self._held_input().heads.incomplete_size
        ):
            self._reject_input(503, "no memory is left for a large request head")

    @property
    def _limits_heads_to_memory(self) -> bool:
        """Whether a large incomplete head is rejected while the memory for input is used up."""
        return True

    def _reject_input(self, status: int, message: str) -> None:
        """Answer an incomplete request with an error in its turn, and drop all further input."""
        self._held_input().heads.drop_incomplete()
        self._held_input().heads.complete()
        self._request_count += 1
        self._messages.append((_ErrInfo(status, BadHttpMessage(message), message), EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._stop_parsing()

    def _stop_parsing(self) -> None:
        """Drop all further input, because an error response is queued for it."""
        self.stop_input()
        self.on_input_rejected()

    def stop_input(self) -> None:
        """Free the input that is not parsed completely, and drop all further input."""
        self._parser = None
        if self._input is not None:
            self._input.buffer.clear()
            self._input.heads.drop_incomplete()
            self._input.fits_in_memory()
        super()._resume_transport_reading()

    def start_request(self, message: object) -> ArrivalTime:
        """Remove and return the arrival of the head of a request whose turn has come.

        This gives back the memory of the previous head, which aiohttp has kept until now."""
        if self._input is not None and self._answered_requests:
            self._input.heads.drop_answered()
            self._input.fits_in_memory()
        return self._head_arrivals.pop(id(message), self.last_arrival)

    def _pause_transport_reading(self) -> None:
        # The transport keeps reading into the buffer, because only reading detects a client disconnect.
        self._buffers_input = True

    def _resume_transport_reading(self) -> None:
        if self._buffers_input:
            self._buffers_input = False
            self._loop.call_soon(self._parse_buffered)

    def _parse_buffered(self) -> None:
        """Parse buffered input until the buffer is empty or aiohttp pauses reading."""
        if self._input is None:
            return
        while self._input.buffer and not self._must_buffer:
            self._parse(self._input.buffer.pop())
        self._limit_input()

    def _limit_input(self) -> None:
        """Let the transport receive more, or make room if too much input is buffered."""
        if self.accepts_input and self._held_input().is_too_large():
            self._handle_excess_input()
        else:
            super()._resume_transport_reading()

    def _handle_excess_input(self) -> None:
        """Pause the transport until buffered input has been parsed; subclasses may do more."""
        super()._pause_transport_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Free the input of the connection after it was closed."""
        super().connection_lost(exc)
        if self._input is not None:
            self._input.release()
            self._body = EMPTY_PAYLOAD  # The body refers to this connection.
            self._messages.clear()


def _declared_size(message: RawRequestMessage) -> int:
    """Return the size in bytes that a request declares for its body; 0 if it declares none."""
    return int(message.headers.get("Content-Length", 0))
