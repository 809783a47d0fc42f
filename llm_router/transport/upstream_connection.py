"""A connection to an endpoint: aiohttp's client protocol, with bounds on malformed responses.

It uses private parts of the pinned aiohttp release; `tests/transport/test_connections.py` checks them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage

from llm_router.transport.acknowledgement import reset_if_unacknowledged
from llm_router.transport.clock import to_seconds
from llm_router.transport.errors import MalformedResponseError, StaleConnectionError

MAX_HEAD_SIZE = 64 * 1024  # bytes of a response's head, with all interim responses before it
HEAD_TIMEOUT = timedelta(seconds=0.3)  # from a head's first byte to its end; it is written in one piece
MAX_INTERIM_RESPONSES = 16  # 1xx responses before a final one
CONNECTION_FAILURES = (ConnectionError, aiohttp.ClientOSError, aiohttp.ServerDisconnectedError)


class UpstreamConnection(ResponseHandler):
    """A connection to an endpoint, which ends with anything that does not belong to the awaited response.

    aiohttp waits for some malformed responses without end, or accepts them: a head of any length; a chunk
    that cannot be parsed, whose error does not reach the reader of the body; bytes after a response, which
    the next request on the connection would take for its own."""

    __slots__ = (
        "_head_size",
        "_head_timer",
        "_idle_seconds",
        "_interim_responses",
        "_last_received",
        "_on_stale",
        "_response_body",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, on_stale: Callable[[float], None]) -> None:
        super().__init__(loop)
        self._on_stale = on_stale  # is given the idle seconds of a connection that broke when used again
        self._last_received = 0.0  # the loop's time of the last bytes, 0 before any
        self._idle_seconds = 0.0  # how long the connection was idle before this request, 0 for its first
        self._response_body: aiohttp.StreamReader | None = None  # set once the awaited head is complete
        self._interim_responses = 0
        self._head_size = 0
        self._head_timer: asyncio.TimerHandle | None = None

    def set_response_params(self, **params: Any) -> None:  # noqa: ANN401  # aiohttp's
        """Begin to await a response, for a request that is about to be written."""
        self._response_body = None
        self._interim_responses = 0
        self._head_size = 0
        self._payload = None
        self._idle_seconds = self._loop.time() - self._last_received if self._last_received else 0.0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the endpoint; end the connection where they are not the awaited response's."""
        if data and (self._parser is None or self._response_is_complete()):
            self._fail_malformed("bytes that no request asked for")
            return
        interim_before = self._interim_responses
        self._last_received = self._loop.time()
        super().data_received(data)
        if self._response_body is not None:
            return
        self._head_size += len(data)
        after_interim = self._interim_responses > interim_before and data.endswith(b"\r\n\r\n")
        if self._head_size > MAX_HEAD_SIZE or self._interim_responses > MAX_INTERIM_RESPONSES:
            self._fail_malformed("a head without end")
        elif after_interim:
            self._cancel_head_timer()
        elif self._head_timer is None and data:
            timeout = to_seconds(HEAD_TIMEOUT)
            self._head_timer = self._loop.call_later(timeout, self._fail_malformed, "a head without end")

    def _response_is_complete(self) -> bool:
        return self._response_body is not None and self._response_body.is_eof()

    def feed_data(self, data: tuple[RawResponseMessage, aiohttp.StreamReader], size: int = 0) -> None:
        """Take a head from the parser: drop an interim one, end the connection on a second final one."""
        message, body = data
        if self._response_body is not None:
            self._fail_malformed("a second answer")
        elif 100 <= message.code < 200 and message.code != 101:
            self._interim_responses += 1
        else:
            self._cancel_head_timer()
            self._response_body = body
            super().feed_data(data, size)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Pass an error to whoever awaits the response, or its body; aiohttp would let the latter wait."""
        self._cancel_head_timer()
        exc = self._refined(exc)
        super().set_exception(exc, *cause)
        body = self._response_body
        if body is not None and not body.is_eof() and body.exception() is None:
            is_client_error = isinstance(exc, aiohttp.ClientError)
            body.set_exception(exc if is_client_error else aiohttp.ClientConnectionError(repr(exc)))

    def _refined(self, error: BaseException) -> BaseException:
        """Return a malformed response's or a stale connection's error as such, any other one as it is."""
        if isinstance(error, aiohttp.http_exceptions.HttpProcessingError):
            return MalformedResponseError(f"an answer that cannot be read: {error.message}")
        got_nothing = self._response_body is None and not self._head_size
        if self._idle_seconds and got_nothing and isinstance(error, CONNECTION_FAILURES):
            idle_seconds = self._idle_seconds
            self._idle_seconds = 0.0
            self._on_stale(idle_seconds)
            return StaleConnectionError(f"idle for {idle_seconds:.3f} s")
        return error

    def _fail_malformed(self, reason: str) -> None:
        """End the connection; whoever awaits a response on it gets the error."""
        self.set_exception(MalformedResponseError(reason))
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close the connection from our side, which does not count as stale though aiohttp reports an error.

        A request may be given up half-written: a plain close would write the rest of it when the endpoint
        reads again, and have it run for nobody. So the connection is reset then."""
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
        """Handle the end of the connection."""
        self._cancel_head_timer()
        super().connection_lost(exc)
