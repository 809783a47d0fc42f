"""Serves one frontend at one address, with limits on memory and connections."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from aiohttp import web

from llm_router import log
from llm_router.configuration import MAX_BODY_BYTES, ResourceLimits, RouterConfig
from llm_router.transport.acceptor import Acceptor
from llm_router.transport.body_reader import BodyTooLargeError, read_body
from llm_router.transport.clock import elapsed_since, to_seconds
from llm_router.transport.http_server import (
    WAS_REJECTED,
    ErrorResponse,
    Handler,
    HttpServer,
    ServerLimits,
    client_connection,
)
from llm_router.transport.listener import open_listener
from llm_router.transport.memory_budget import MemoryBudget, MemoryShare
from llm_router.transport.responses import plain_text_error
from llm_router.transport.shutdown import Shutdown, ShutdownPhase

# Time limit for receiving a request body. Clients expect an error or a close within 3 s of connecting.
BODY_TIMEOUT = timedelta(seconds=2.6)
# The client of a request that was queued for longer than this may have disconnected.
DISCONNECT_CHECK_AFTER = timedelta(milliseconds=30)
# Share of the memory for peers' data that request bodies may use, and that other client input may use.
BODY_MEMORY_SHARE = 2 / 3
INPUT_MEMORY_SHARE = 1 / 6
BODY_COPIES = 2  # A body is copied when it is sent to an endpoint.
SMALL_BODY_SIZE = 8 * 1024  # maximum bytes of a body that is read even if the memory for bodies is used up
ACCEPT_BATCH_SIZE = 16  # maximum number of connections accepted in one loop iteration
BACKLOG = 512  # maximum number of connections in the accept queue


class FrontendServer:
    """An HTTP server that passes requests to the handler of one frontend.

    `error_response(status, text, close=...)` returns an error in the format of the frontend's protocol.
    `memory` is the budget of the process for the data that peers send."""

    def __init__(
        self, config: RouterConfig, handler: Handler, error_response: ErrorResponse, memory: MemoryBudget
    ) -> None:
        limits = config.limits
        self._listen_address = config.listen
        self._handler = handler
        self._error_response = error_response
        self._body_memory = memory.part(BODY_MEMORY_SHARE)
        self.open_requests = 0
        self.http_server = HttpServer(
            self.handle,
            error_response,
            ServerLimits(
                max_connections=limits.client_sockets,
                max_rejected=limits.rejected_clients,
                max_body_size=MAX_BODY_BYTES,
            ),
            memory.part(INPUT_MEMORY_SHARE),
        )
        self.acceptor: Acceptor | None = None
        self._shutdown = Shutdown(self.http_server, lambda: self.open_requests)

    @property
    def shutting_down(self) -> bool:
        """Whether the shutdown has begun."""
        return self._shutdown.phase is not ShutdownPhase.SERVING

    def arrived_too_late(self, request: web.BaseRequest) -> bool:
        """Whether a complete request came so late in the shutdown that it must be rejected.

        Its response might be cut off, or its client has been told that the connection closes."""
        if client_connection(request).rejects_requests:
            return True
        return self._shutdown.is_too_late(HttpServer.request_arrival(request).received_at)

    def apply_limits(self, limits: ResourceLimits) -> None:
        """Apply new limits; open connections above them are left to end normally."""
        self.http_server.max_connections = limits.client_sockets

    async def start(self) -> None:
        """Begin to accept clients; raise OSError if the address cannot be used."""
        listener = await open_listener(*self._listen_address, BACKLOG)
        self.http_server.listener = listener
        # Small batches give evicted connections time to close before the next ones are accepted.
        # With large batches, a flood of connections could use up all descriptors.
        self.acceptor = Acceptor(listener, self.http_server, ACCEPT_BATCH_SIZE)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request; during shutdown close its connection once no further input was received on it."""
        self.open_requests += 1
        try:
            response = await self._answer(request)
        except Exception as error:
            # After an internal error the client still gets a response in the frontend's protocol.
            log.emit("request_handler_failed", error=repr(error))
            response = self._error_response(500, "internal error of the conductor")
        finally:
            self.open_requests -= 1
        if not response.prepared and self.closes_after(request):
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the final answer to a request, also to one that was rejected before its turn."""
        if request[WAS_REJECTED]:
            return self._error_response(503, "the router is overloaded")
        return await self._handler(request)

    def has_input_behind(self, request: web.BaseRequest) -> bool:
        """Return whether further requests, or a part of one, were received on the connection of a request."""
        return client_connection(request).has_input_behind

    def closes_after(self, request: web.BaseRequest) -> bool:
        """Return whether the connection of a request closes after its answer.

        This is the case during shutdown, unless input was received behind the request."""
        return self.shutting_down and self.http_server.may_close(client_connection(request))

    @staticmethod
    def queueing_delay(request: web.BaseRequest) -> timedelta:
        """Return how long a complete request may have been queued since its last byte arrived."""
        return max(timedelta(), elapsed_since(HttpServer.request_arrival(request).earliest))

    @staticmethod
    async def detect_disconnect(request: web.BaseRequest) -> bool:
        """Let the event loop read a client disconnect that may follow a queued request.

        The loop reads the disconnect only after all input. If there is one, it cancels the handler here,
        before any work is done for the request. Return False if the client sends more without an end."""
        if FrontendServer.queueing_delay(request) <= DISCONNECT_CHECK_AFTER:
            return True
        return await client_connection(request).wait_for_pending_input()

    @contextmanager
    def reserved_body(self, request: web.BaseRequest) -> Iterator[bool]:
        """Reserve memory for a request's body during the block; yield False if there is too little."""
        share = MemoryShare(self._body_memory, BODY_COPIES * SMALL_BODY_SIZE)
        is_reserved = share.resize(BODY_COPIES * self._body_size_bound(request))
        if not is_reserved:
            share.release()
        try:
            yield is_reserved
        finally:
            share.release()

    @staticmethod
    def _body_size_bound(request: web.BaseRequest) -> int:
        """Return the maximum size of a request's body in bytes; MAX_BODY_BYTES if its length is unknown."""
        if request.content_length is None:
            return MAX_BODY_BYTES if request.can_read_body else 0
        return min(request.content_length, MAX_BODY_BYTES)

    async def read_body(self, request: web.BaseRequest) -> bytes | web.Response:
        """Return the request's body, or an error response if it is too large or not received in time."""
        size = request.content_length
        if size is not None and size > MAX_BODY_BYTES:
            return plain_text_error(413, "the request body exceeds the limit of 256 KiB", close=True)
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.content.set_read_chunk_size(MAX_BODY_BYTES)  # The body's memory is reserved.
        deadline = self.http_server.request_awaited_since(request) + to_seconds(BODY_TIMEOUT)
        try:
            async with asyncio.timeout_at(deadline):
                # `request.read()` would keep a copy of the body in the request, which outlives its answer.
                return await read_body(request.content, MAX_BODY_BYTES)
        except BodyTooLargeError:
            return plain_text_error(413, "the request body exceeds the limit of 256 KiB", close=True)
        except TimeoutError:
            return plain_text_error(408, "the request body was not received in time", close=True)

    async def discard_body(self, request: web.BaseRequest) -> bool:
        """Discard the body of a rejected request; return whether its connection can stay open.

        It stays open if the body has a declared length within the limit and is received in time. Requests
        that were received behind it then get their answers."""
        size = request.content_length
        if size is None or size > MAX_BODY_BYTES:
            return not request.can_read_body
        client_connection(request).discard_body()
        deadline = self.http_server.request_awaited_since(request) + to_seconds(BODY_TIMEOUT)
        try:
            async with asyncio.timeout_at(deadline):
                await request.content.wait_eof()
        except TimeoutError:
            return False
        return True

    async def shut_down(self) -> None:
        """Stop accepting clients, finish their open requests, and close the connections."""
        if self.acceptor is None:
            raise RuntimeError("shut_down() was called before start()")
        await self._shutdown.run(self.acceptor)
