"""Serves clients that use the platform's protocol."""

from __future__ import annotations

import orjson
from aiohttp import web

from llm_router import log
from llm_router.configuration import RouterConfig
from llm_router.frontends.platform.client_request import parse_request
from llm_router.frontends.platform.names import CHAT_PATH, READINESS_PATH
from llm_router.frontends.platform.proxied_request import PlatformRequest
from llm_router.frontends.request_handling import InvalidRequestError, run_request, subtract_queueing_delay
from llm_router.lifecycle.events import RequestReceived
from llm_router.transport.frontend_server import FrontendServer
from llm_router.transport.memory_budget import MemoryBudget
from llm_router.transport.responses import plain_text_error
from llm_router.transport.runtime import Runtime


class PlatformFrontend:
    """The frontend for the platform's protocol; one runtime serves all classes of requests."""

    def __init__(self, config: RouterConfig, runtime: Runtime, memory: MemoryBudget) -> None:
        self.config, self.runtime = config, runtime
        self._classes = {each.name: each for each in config.settings.classes}
        self.server = FrontendServer(config, self.handle, plain_text_error, memory)

    @property
    def runtimes(self) -> list[Runtime]:
        """The frontend's only runtime, in a list."""
        return [self.runtime]

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one client request; reject malformed requests and requests over a resource limit."""
        if request.path == READINESS_PATH:
            return web.Response(status=503 if self.server.shutting_down else 200)
        if request.path != CHAT_PATH:
            return plain_text_error(404, "unknown path", close=True)
        if request.method != "POST":
            return plain_text_error(405, "method not allowed; use POST", close=True)
        try:
            received = parse_request(request.headers, self._classes)
        except InvalidRequestError as error:
            return plain_text_error(400, str(error), close=True)
        with self.server.reserved_body(request) as is_reserved:
            if not is_reserved:
                return _overloaded(close=not await self.server.discard_body(request))
            return await self._chat(request, received)

    async def _chat(self, request: web.BaseRequest, received: RequestReceived) -> web.StreamResponse:
        """Read the body of a chat request, run the request and return its final answer."""
        body = await self.server.read_body(request)
        if isinstance(body, web.Response):
            return body
        if body_problem := _find_body_problem(body):
            return plain_text_error(400, body_problem, close=True)
        if self.server.arrived_too_late(request):
            return _overloaded(close=not self.server.has_input_behind(request))
        all_input_is_read = await self.server.detect_disconnect(request)
        if received.request_id in self.runtime.proxied_requests:
            log.emit_rate_limited("request_id_conflict", request=received.request_id, earlier="open")
            return plain_text_error(409, "a request with this id is running or may have run")
        if not all_input_is_read or len(self.runtime.proxied_requests) >= self.config.max_open_requests:
            return _overloaded(close=not self.server.has_input_behind(request))
        received = subtract_queueing_delay(received, self.server.queueing_delay(request))
        proxied_request = PlatformRequest(request, received, body, lambda: self.server.closes_after(request))
        return await run_request(self.runtime, proxied_request)


def _find_body_problem(body: bytes) -> str | None:
    """Return an error message if a body is not a JSON object, else None."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        return "the body must be JSON"
    return None if isinstance(value, dict) else "the body must be a JSON object"


def _overloaded(close: bool) -> web.Response:
    """Return the rejection of a request that would exceed a resource limit, or that comes too late.

    `close` closes the connection after it."""
    response = plain_text_error(503, "the router is overloaded", close)
    response.headers["Retry-After"] = "1"
    return response
