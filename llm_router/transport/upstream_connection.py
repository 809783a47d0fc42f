"""Connections to endpoints: aiohttp's client protocol, with stricter checks for malformed responses.

This module uses private parts of the pinned aiohttp release; `tests/transport/test_connections.py` checks
that they exist."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage

from llm_router.transport.acknowledgement import reset_if_unacknowledged
from llm_router.transport.body_framing import BodyFraming
from llm_router.transport.clock import to_seconds
from llm_router.transport.errors import MalformedResponseError, StaleConnectionError
from llm_router.transport.event_loop import set_receive_size

MAX_HEAD_SIZE = 64 * 1024  # maximum bytes of a response head and all interim responses before it
# Maximum time from the first byte of a response head to its end. Endpoints write a head in one piece.
HEAD_TIMEOUT = timedelta(seconds=0.3)
HEAD_END = re.compile(rb"\n\r?\n")
MAX_HEAD_END_SIZE = 3  # bytes of the longest HEAD_END
STATUSES_WITHOUT_BODY = (204, 304)
MAX_INTERIM_RESPONSES = 16  # maximum number of 1xx responses before the final response
CONNECTION_FAILURES = (ConnectionError, aiohttp.ClientOSError, aiohttp.ServerDisconnectedError)


class UpstreamConnection(ResponseHandler):
    """A connection to an endpoint that is closed when a malformed response or unexpected bytes arrive.

    aiohttp itself does not handle three cases. It accepts a response head of any length. It does not report a
    malformed chunk to the reader of the body, who then waits forever. It keeps bytes that follow a response,
    and takes them for the response to the next request."""

    __slots__ = (
        "_head_end",
        "_head_size",
        "_head_timer",
        "_idle_seconds",
        "_interim_responses",
        "_on_stale",
        "_paused_at",
        "_response_body",
        "framing",
        "last_received",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, on_stale: Callable[[float], None]) -> None:
        super().__init__(loop)
        # If the connection is stale, this function is called with the idle time in seconds.
        self._on_stale = on_stale
        self.last_received = 0.0  # event loop time in seconds of the last received bytes, or 0
        self._idle_seconds = 0.0  # idle time in seconds before the current request; 0 for the first request
        # The body of the awaited response, once its head is complete.
        self._response_body: aiohttp.StreamReader | None = None
        self._interim_responses = 0
        self._head_size = 0
        self._head_end = b""  # the last bytes of an incomplete head
        self._head_timer: asyncio.TimerHandle | None = None
        # The framing of the awaited response's body; None before its head is complete, and without a framing.
        self.framing: BodyFraming | None = None
        self._paused_at: float | None = None  # event loop time in seconds since which nothing is read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the connection."""
        set_receive_size(transport)
        super().connection_made(transport)

    def set_response_params(self, **params: Any) -> None:  # noqa: ANN401  # the base class takes any type
        """Reset the state for the response to a request that is about to be written."""
        self._response_body = None
        self._interim_responses = 0
        self._head_size = 0
        self._head_end = b""
        self.framing = None
        self._payload = None
        self._idle_seconds = self._loop.time() - self.last_received if self.last_received else 0.0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the endpoint; close the connection if they are malformed or unexpected."""
        if data and (self._parser is None or self._response_is_complete()):
            self._fail_malformed(f"received {len(data)} unexpected bytes outside of a response")
            return
        self.last_received = self._loop.time()
        if data and self._response_body is None:
            data = self._receive_head(data)
            if not data:
                return
        super().data_received(data)
        if self.framing is not None:
            self.framing.feed(data, self.last_received)

    def _receive_head(self, data: bytes) -> bytes:
        """Parse bytes up to the end of the response's head, and return the bytes of the body behind it.

        Each head is parsed separately from the bytes behind it, so that the start of the body is known."""
        interim_before = self._interim_responses
        while data and self._response_body is None:
            data = self._parse_to_head_end(data)
            if self.exception() is not None:
                return b""
            if self._head_size > MAX_HEAD_SIZE or self._interim_responses > MAX_INTERIM_RESPONSES:
                limits = f"{MAX_HEAD_SIZE} bytes or {MAX_INTERIM_RESPONSES} interim responses"
                self._fail_malformed(f"response head exceeds {limits}")
                return b""
        if self._response_body is not None:
            return data
        if self._interim_responses > interim_before and not self._head_end:
            self._cancel_head_timer()
        elif self._head_timer is None:
            timeout = to_seconds(HEAD_TIMEOUT)
            reason = f"response head is incomplete {timeout} s after its first byte"
            self._head_timer = self._loop.call_later(timeout, self._fail_malformed, reason)
        return b""

    def _parse_to_head_end(self, data: bytes) -> bytes:
        """Parse bytes up to the next end of a head, and return the bytes behind it."""
        window = self._head_end + data
        end = HEAD_END.search(window)
        size = len(data) if end is None else end.end() - len(self._head_end)
        self._head_end = window[1 - MAX_HEAD_END_SIZE :] if end is None else b""
        self._head_size += size
        super().data_received(data[:size])
        return data[size:]

    def _response_is_complete(self) -> bool:
        return self._response_body is not None and self._response_body.is_eof()

    def feed_data(self, data: tuple[RawResponseMessage, aiohttp.StreamReader], size: int = 0) -> None:
        """Handle a parsed response head.

        Interim responses are dropped. A second final response to one request closes the connection."""
        message, body = data
        if self._response_body is not None:
            self._fail_malformed("received a second response to one request")
        elif 100 <= message.code < 200 and message.code != 101:
            self._interim_responses += 1
        else:
            self._cancel_head_timer()
            self._response_body = body
            self.framing = self._framing_of(message)
            super().feed_data(data, size)

    def _framing_of(self, message: RawResponseMessage) -> BodyFraming | None:
        """Return the framing of the body behind a response head, or None if it ends with the connection."""
        if message.code in STATUSES_WITHOUT_BODY:
            return None
        if message.chunked:
            return BodyFraming(self.last_received)
        length = message.headers.get("Content-Length")
        return None if length is None else BodyFraming(self.last_received, int(length))

    def pause_reading(self) -> None:
        """Stop reading while the reader of the response is slow."""
        if self._paused_at is None:
            self._paused_at = self._loop.time()
        super().pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read again; the endpoint could not send in the meantime."""
        if self._paused_at is not None and self.framing is not None:
            self.framing.exclude(self._loop.time() - self._paused_at)
        self._paused_at = None
        super().resume_reading(resume_parser)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Raise an error in the task that awaits the response or reads its body.

        aiohttp itself would leave the reader of the body waiting."""
        self._cancel_head_timer()
        exc = self._classify_error(exc)
        super().set_exception(exc, *cause)
        body = self._response_body
        if body is not None and not body.is_eof() and body.exception() is None:
            is_client_error = isinstance(exc, aiohttp.ClientError)
            body.set_exception(exc if is_client_error else aiohttp.ClientConnectionError(repr(exc)))

    def _classify_error(self, error: BaseException) -> BaseException:
        """Return a more specific error for a malformed response or stale connection, else the same error."""
        if isinstance(error, aiohttp.http_exceptions.HttpProcessingError):
            return MalformedResponseError(f"malformed response: {error.message}")
        got_nothing = self._response_body is None and not self._head_size
        if self._idle_seconds and got_nothing and isinstance(error, CONNECTION_FAILURES):
            idle_seconds = self._idle_seconds
            self._idle_seconds = 0.0
            self._on_stale(idle_seconds)
            return StaleConnectionError(f"connection broke when used again after {idle_seconds:.3f} s idle")
        return error

    def _fail_malformed(self, reason: str) -> None:
        """Abort the connection and raise MalformedResponseError in the task that awaits the response."""
        self.set_exception(MalformedResponseError(reason))
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close the connection, or reset it if a request on it is only partly written or acknowledged.

        After a plain close the rest of a cancelled request would still be sent, and the endpoint would run
        it although its client no longer waits. aiohttp reports an error for a connection that is closed
        here; the connection does not count as stale."""
        self._idle_seconds = 0.0
        if self.transport is not None:
            reset_if_unacknowledged(self.transport)
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.abort()
        else:
            super().close()

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer for the response head when the connection is closed."""
        self._cancel_head_timer()
        super().connection_lost(exc)
