"""Discards the input of a client that sends more than the router keeps, and rejects the requests in it.

The transport goes on reading, because only reading shows that a client has left: the end of its input lies
behind all bytes that it has sent. The module uses private parts of the pinned aiohttp release, which
`tests/transport/test_connections.py` checks."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any

from llm_router import log
from llm_router.transport.client_input import ArrivalTime, ReceivedPiece
from llm_router.transport.clock import to_seconds
from llm_router.transport.event_loop import RECEIVE_SIZE, select_count, set_receive_size
from llm_router.transport.limited_request_handler import LimitedRequestHandler
from llm_router.transport.waiting_requests import last_is_rejected, reject_last

# Bytes of input that one connection receives or discards in one turn.
TURN_SIZE = 64 * 1024
# Maximum number of rejected requests that wait for their answer on one connection.
MAX_REJECTED_REQUESTS = 4096
# Number of input polls from the last bytes of a client that has left to the end of its attempts.
# The end of the input is read, the connection is lost, its handler is cancelled, and then the attempt.
DISCONNECT_POLLS = 5
# Time limit for reading the input that a client has sent, because a client may send without an end.
PENDING_INPUT_TIMEOUT = timedelta(seconds=1)


class DiscardingRequestHandler(LimitedRequestHandler):
    """A server protocol that reads on when too much input is buffered.

    It then parses the buffered input ahead of its turn. Each request in it is rejected in its turn. While a
    connection discards input it receives more only in turns, which it shares with other such connections."""

    __slots__ = ("_discards_body", "_is_discarding", "_is_draining", "_last_receive_poll", "_waits_for_turn")

    def __init__(self, *arguments: Any, **settings: Any) -> None:  # noqa: ANN401  # the base class takes any type
        super().__init__(*arguments, **settings)
        self._is_discarding = False  # Whether buffered input is being discarded.
        self._discards_body = False  # Whether the body that is being received belongs to a rejected request.
        self._is_draining = False  # Whether received bytes of a body are being dropped.
        self._waits_for_turn = False  # Whether the transport is paused until the connection gets a turn.
        self._last_receive_poll = 0  # number of the input poll that reported the latest bytes

    async def wait_for_pending_input(self) -> bool:
        """Wait until the input that the client has sent is read; return False after PENDING_INPUT_TIMEOUT.

        If the client has left, its requests have ended by then."""
        end = self._loop.time() + to_seconds(PENDING_INPUT_TIMEOUT)
        while self._may_have_pending_input:
            if self._loop.time() > end:
                return False
            await asyncio.sleep(0)
        return True

    @property
    def _may_have_pending_input(self) -> bool:
        """Whether one of the latest input polls has reported bytes of the client, or has left them out."""
        polls = select_count(self._loop)
        return self._waits_for_turn or (polls > 0 and polls - self._last_receive_poll < DISCONNECT_POLLS)

    def data_received(self, data: bytes) -> None:
        """Process bytes that the event loop has received, or continue with those that the parser has kept."""
        if data:
            self._last_receive_poll = select_count(self._loop)
        elif self._is_draining:
            return  # The parser continues once the received bytes are dropped.
        super().data_received(data)

    @property
    def _must_buffer(self) -> bool:
        return super()._must_buffer and not self._discards_body

    @property
    def _limits_heads_to_memory(self) -> bool:
        return not self._is_discarding

    def _limit_input(self) -> None:
        """Let the transport receive more, or let it wait for a turn while input is discarded."""
        super()._limit_input()
        if self.accepts_input and (self._is_discarding or self._discards_body):
            self._wait_for_turn()

    def _handle_excess_input(self) -> None:
        """Discard the buffered input, or pause the transport if the turn of the buffered request has come."""
        if self._upgraded:
            self._reject_input(503, "too much input behind a request for an upgrade")
            return
        self._is_discarding = self._may_discard()
        if not self._is_discarding and self.accepts_input:
            super()._handle_excess_input()

    def _wait_for_turn(self) -> None:
        """Pause the transport until the connection gets a turn."""
        if self._manager is None or self.transport is None:
            return
        self._waits_for_turn = True
        self.transport.pause_reading()
        self._manager.input_turns.add(self)

    def take_input_turn(self) -> None:
        """Discard a part of the buffered input; receive more once all of it is discarded."""
        self._waits_for_turn = False
        if self.transport is None or not self.accepts_input:
            return
        discarded = 0
        self._is_discarding = True
        while self._may_discard() and discarded < TURN_SIZE:
            discarded += self._discard_slice()
        self._is_discarding = self._may_discard()
        if self._is_discarding:
            self._wait_for_turn()
            return
        self._last_receive_poll = select_count(self._loop)
        super()._limit_input()

    def _may_discard(self) -> bool:
        """Reject the waiting requests that were parsed, and return whether more input can be discarded."""
        if self._input is None or not self._input.buffer:
            return False
        self._reject_parsed()
        return self.accepts_input and (self._discards_body or last_is_rejected(self._messages))

    def _discard_slice(self) -> int:
        """Parse the first slice of the buffered input, and return its size."""
        piece = self._held_input().buffer.pop()
        size = min(len(piece.data), self._slice_size())
        if size < len(piece.data):
            self._held_input().buffer.put_back(ReceivedPiece(piece.data[size:], piece.arrival))
        self._parse_slice(piece.data[:size], piece.arrival)
        return size

    def _reject_parsed(self) -> None:
        """Reject the requests that were parsed and whose turn has not come."""
        while self.accepts_input:
            is_handling = self._request_count - self._answered_requests > len(self._messages)
            message = reject_last(self._messages, is_handling)
            if message is None:
                return
            log.emit_rate_limited("waiting_request_rejected", peer=str(self.peername))
            self._head_arrivals.pop(id(message), None)
            self._held_input().heads.drop_last()
            if self._upgraded or len(self._messages) > MAX_REJECTED_REQUESTS:
                self._reject_input(503, "too many requests wait on the connection")
                return
            self._discards_body = True
            self._set_receive_size(TURN_SIZE)
            self._after_feed(self.last_arrival)

    def discard_body(self) -> None:
        """Discard the body that is being received, because its request is rejected."""
        if self._body.is_eof() or not self.accepts_input:
            return
        self._discards_body = True
        self._set_receive_size(TURN_SIZE)
        self._after_feed(self.last_arrival)
        self._limit_input()

    def _after_feed(self, arrival: ArrivalTime) -> None:
        """Drop the received part of a rejected request's body, and let the parser continue behind it."""
        while self._discards_body and self.accepts_input:
            body, received = self._body, self._body.total_bytes
            self._drop_received()
            if body.is_eof():
                self._discards_body = False
                self._set_receive_size(RECEIVE_SIZE)
                assert self._parser is not None, "the connection accepts input"
                self._parser.message_consumed()
                self._feed_parser(b"", arrival)
                return
            assert self._manager is not None, "the connection is open"
            if received > self._manager.max_body_size:
                self._reject_input(413, "the body of a waiting request is too large")
                return
            self._feed_parser(b"", arrival)
            if body.total_bytes == received and not body.is_eof():
                return

    def _drop_received(self) -> None:
        """Drop the received bytes of the body."""
        self._is_draining = True
        try:
            while self._body.exception() is None and self._body.read_nowait():
                pass
        finally:
            self._is_draining = False

    def _set_receive_size(self, size: int) -> None:
        """Set the maximum number of bytes that one call receives."""
        if self.transport is not None:
            set_receive_size(self.transport, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give up the connection's place among those that wait for a turn."""
        if self._manager is not None:
            self._manager.input_turns.remove(self)
        super().connection_lost(exc)
