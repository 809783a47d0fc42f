"""The server of one frontend on one address, within the limits on its resources."""

from __future__ import annotations

import asyncio
from datetime import timedelta

from aiohttp import web

from llm_router import log
from llm_router.configuration import MAX_BODY_BYTES, ResourceLimits, RouterConfig
from llm_router.transport.acceptor import Acceptor
from llm_router.transport.clock import elapsed_since, to_seconds
from llm_router.transport.http_server import (
    ErrorResponse,
    Handler,
    HttpServer,
    ServerLimits,
)
from llm_router.transport.listener import open_listener
from llm_router.transport.resource_limits import BodyMemoryBudget
from llm_router.transport.responses import plain_text_error
from llm_router.transport.shutdown import Shutdown, ShutdownPhase

BODY_TIMEOUT = timedelta(seconds=2.6)  # for a body: a new client is owed an error or a close within 3 s
DISCONNECT_CHECK_AFTER = timedelta(milliseconds=30)  # a request that waited longer may have lost its client
DISCONNECT_CHECK_TURNS = 4  # of the loop: to read the end, lose the connection, and cancel the handler
INPUT_BUFFER_DIVISOR = 4  # input buffers may take the memory for bodies divided by this
ACCEPT_BATCH_SIZE = 16  # connections accepted in one turn of the loop
BACKLOG = 512  # connections that may wait to be accepted


class FrontendServer:
    """Serves a frontend's handler.

    `error_response(status, text, close=...)` words an error as the frontend's protocol does."""

    def __init__(self, config: RouterConfig, handler: Handler, error_response: ErrorResponse) -> None:
        limits = config.limits
        self._listen_address = config.listen
        self._handler = handler
        self._error_response = error_response
        self.body_memory = BodyMemoryBudget(limits.body_memory)
        self.open_requests = 0
        self.http_server = HttpServer(
            self.handle,
            error_response,
            ServerLimits(
                max_connections=limits.client_sockets,
                max_rejected=limits.rejected_clients,
                max_body_size=MAX_BODY_BYTES,
                input_buffer_size=limits.body_memory // INPUT_BUFFER_DIVISOR,
            ),
        )
        self.acceptor: Acceptor | None = None
        self._shutdown = Shutdown(self.http_server, lambda: self.open_requests)

    @property
    def shutting_down(self) -> bool:
        """Whether the shutdown has begun."""
        return self._shutdown.phase is not ShutdownPhase.SERVING

    def apply_limits(self, limits: ResourceLimits) -> None:
        """Put new limits in force; what is over them ends by itself."""
        self.http_server.max_connections = limits.client_sockets
        self.body_memory.resize(limits.body_memory)

    async def start(self) -> None:
        """Begin to accept clients; raise OSError where the address cannot be used."""
        listener = await open_listener(*self._listen_address, BACKLOG)
        self.http_server.listener = listener
        # A flood must not take all descriptors at once: only a batch is accepted before the connections that
        # give way are gone.
        self.acceptor = Acceptor(listener, self.http_server, ACCEPT_BATCH_SIZE)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request; during shutdown its connection ends with its answer."""
        self.open_requests += 1
        try:
            response = await self._handler(request)
        except Exception as error:
            # A fault of the router must not end a connection unanswered, or in another protocol's words.
            log.emit("request_handler_failed", error=repr(error))
            response = self._error_response(500, "a fault of the conductor")
        finally:
            self.open_requests -= 1
        if self.shutting_down and not response.prepared:
            response.force_close()
        return response

    @staticmethod
    def queueing_delay(request: web.BaseRequest) -> timedelta:
        """Return how long a request that has been read may have waited, counted from its last byte."""
        return max(timedelta(), elapsed_since(HttpServer.request_waiting_since(request)))

    @staticmethod
    async def detect_disconnect(request: web.BaseRequest) -> None:
        """Let the loop read what follows a request that has waited.

        The end of a client that left long ago is read only after its request; it cancels the handler here,
        before any work is done for nobody."""
        if FrontendServer.queueing_delay(request) <= DISCONNECT_CHECK_AFTER:
            return
        for _ in range(DISCONNECT_CHECK_TURNS):
            await asyncio.sleep(0)

    @staticmethod
    def body_size_bound(request: web.BaseRequest) -> int:
        """Return how many bytes a body may take; the maximum where its length is not given."""
        if request.content_length is None:
            return MAX_BODY_BYTES if request.can_read_body else 0
        return min(request.content_length, MAX_BODY_BYTES)

    async def read_body(self, request: web.BaseRequest) -> bytes | web.Response:
        """Return a body, or the response that rejects it where it is too large or too late."""
        size = request.content_length
        if size is not None and size > MAX_BODY_BYTES:
            return plain_text_error(413, "the body is over 256 KiB", close=True)
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        deadline = self.http_server.request_awaited_since(request) + to_seconds(BODY_TIMEOUT)
        try:
            async with asyncio.timeout_at(deadline):
                return await request.read()
        except web.HTTPRequestEntityTooLarge:
            return plain_text_error(413, "the body is over 256 KiB", close=True)
        except TimeoutError:
            return plain_text_error(408, "the body did not arrive", close=True)

    async def shut_down(self) -> None:
        """Stop accepting clients, and serve those that are there to the end."""
        if self.acceptor is None:
            raise RuntimeError("the server was not started")
        await self._shutdown.run(self.acceptor)
