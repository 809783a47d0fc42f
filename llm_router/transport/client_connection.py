"""Extends aiohttp's server protocol for client connections, with limits on malformed and slow requests.

It uses private parts of the pinned aiohttp release, which `tests/transport/test_connections.py` checks."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from datetime import timedelta
from enum import Enum, auto
from typing import TYPE_CHECKING, Any

from aiohttp import web

from llm_router import log
from llm_router.transport.clock import to_seconds
from llm_router.transport.discarding_request_handler import DiscardingRequestHandler
from llm_router.transport.event_stream import StreamedResponse
from llm_router.transport.pending_input import has_pending_input

if TYPE_CHECKING:
    from llm_router.transport.http_server import HttpServer

# Time limit for a client to read the last response and to close its side of the connection.
LINGER_TIMEOUT = timedelta(seconds=5)
ERROR_TEXTS = {
    431: "the request head is too large",
    503: "the router is overloaded",
}


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


class ClientConnection(DiscardingRequestHandler):
    """A client connection that answers malformed input once and drops all input after it.

    Closing a socket that has unread input resets the connection, and the reset may discard the last response.
    So the router shuts down its sending side, waits until the client closes, and drops input meanwhile."""

    __slots__ = (
        "_linger_timer",
        "_state",
        "has_served",
        "idle_since",
        "rejects_requests",
    )

    def __init__(self, manager: HttpServer, **settings: Any) -> None:  # noqa: ANN401  # aiohttp's settings
        super().__init__(manager, **settings)
        self._state = ConnectionState.OPEN
        self.has_served = False  # Whether any request on this connection was answered.
        # Whether further requests are rejected, because a response has announced the close of the connection.
        self.rejects_requests = False
        self.idle_since = self._loop.time()  # time of the last response, or of the connection's start
        self._linger_timer: asyncio.TimerHandle | None = None

    def _enter(self, state: ConnectionState) -> None:
        """Change the state; raise RuntimeError if `TRANSITIONS` does not list the transition."""
        if state not in TRANSITIONS[self._state]:
            raise RuntimeError(f"client connection: no transition from {self._state} to {state}")
        self._state = state

    @property
    def has_open_requests(self) -> bool:
        """Whether a request or a part of one was received that will be answered."""
        if self._state is ConnectionState.LINGERING:
            return False
        return not self.all_answered or (self.accepts_input and not self.is_idle)

    @property
    def is_silent(self) -> bool:
        """Whether no part of a request has been read on the connection."""
        return self.is_idle and not self.has_served

    @property
    def has_pending_input(self) -> bool:
        """Whether the client has sent bytes that the event loop has not read yet, or has left."""
        if self.transport is None or self.transport.get_extra_info("socket") is None:
            return False
        return has_pending_input(self.transport)

    def on_input_rejected(self) -> None:
        """Record that an error response is pending, after which the connection closes."""
        self._enter(ConnectionState.INPUT_REJECTED)

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
        text = (message or repr(exc)).split("\n")[0][:200]
        log.emit_rate_limited("request_malformed", text=text, status=status, peer=str(self.peername))
        return self._manager.error_response(
            status, ERROR_TEXTS.get(status, "the request is malformed"), close=True
        )

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Finish a response; return it and whether the client has reset the connection."""
        resp, reset = await super().finish_response(request, resp, start_time)
        self.idle_since = self._loop.time()
        self.has_served = True
        self._decide_close(resp)
        self._answered_requests += 1
        if not reset and not resp.keep_alive and self.transport is not None and self._manager:
            self.linger()
            await asyncio.sleep(to_seconds(LINGER_TIMEOUT))
        return resp, reset

    def _decide_close(self, response: web.StreamResponse) -> None:
        """Decide in a shutdown whether the connection closes after a response.

        A stream may have announced the close when nothing was behind it. Requests that have come since are
        rejected, because their client may send them again on another connection."""
        if self._manager is None:
            return
        if self._manager.may_close(self):
            if self._manager.draining:
                response.force_close()
        elif isinstance(response, StreamedResponse) and response.announces_close:
            self.rejects_requests = True
            response.keep_open()

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
        self.stop_input()
        self.shut_down_sending()
        self._linger_timer = self._loop.call_later(to_seconds(LINGER_TIMEOUT), self.force_close)

    def shut_down_sending(self) -> None:
        """Tell the client at once that the connection ends; a close takes effect in a later iteration."""
        if self.transport is not None:
            with suppress(OSError, RuntimeError):
                self.transport.write_eof()

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
        super().connection_lost(exc)
