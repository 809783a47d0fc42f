"""Serves KServe v2 clients. Each model is a cluster of endpoints with a runtime of its own."""

from __future__ import annotations

from datetime import timedelta
from itertools import count

from aiohttp import web

from llm_router import __version__
from llm_router.configuration import RouterConfig
from llm_router.frontends.kserve.inference_request import parse_inference, parse_inference_header
from llm_router.frontends.kserve.proxied_request import KServeRequest
from llm_router.frontends.kserve.responses import (
    JSON_CONTENT_TYPE,
    error_response,
    json_response,
    overloaded_response,
)
from llm_router.frontends.kserve.routes import Operation, find_route
from llm_router.frontends.request_handling import InvalidRequestError, run_request, subtract_queueing_delay
from llm_router.lifecycle.events import EndpointListReceived
from llm_router.routing.events import EndpointStatus
from llm_router.routing.settings import Role
from llm_router.transport.frontend_server import FrontendServer
from llm_router.transport.memory_budget import MemoryBudget
from llm_router.transport.pool import ConnectionPool
from llm_router.transport.responses import request_target
from llm_router.transport.runtime import Runtime

# Server name in the metadata response. Clients may check it, so it must not change with the package name.
SERVER_NAME = "hoplane"
EXTENSIONS = ["binary_tensor_data"]
METADATA_TIMEOUT = timedelta(seconds=1)  # timeout of a metadata request to one endpoint
# Retry-After of the response if no endpoint returned the metadata.
NO_METADATA_BACKOFF = timedelta(seconds=1)


class KServeFrontend:
    """The KServe v2 frontend of all models; the first endpoint list of a cluster adds its model."""

    def __init__(self, config: RouterConfig, pool: ConnectionPool, memory: MemoryBudget) -> None:
        self.config, self.pool, self._memory = config, pool, memory
        self.classes = {each.name: each for each in config.settings.classes}
        self.decoding_kinds = {kind.name for kind in config.settings.kinds if kind.role is not Role.PREFILL}
        self.server = FrontendServer(config, self.handle, error_response, memory)
        self.models: dict[str, Runtime] = {}
        self._request_numbers = count(1)

    @property
    def runtimes(self) -> list[Runtime]:
        """The runtimes of all models."""
        return list(self.models.values())

    def feed(self, model: str, endpoint_list: EndpointListReceived) -> None:
        """Pass a cluster's endpoint list to the model's runtime; create the runtime if the model is new."""
        if model not in self.models:
            self.models[model] = Runtime(self.config, self.pool, self._memory)
        self.models[model].feed(endpoint_list)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one client request."""
        route = find_route(request.path)
        if route is None:
            return error_response(404, "unknown path", close=True)
        if request.method != route.operation.method:
            return error_response(405, f"method not allowed; use {route.operation.method}", close=True)
        if route.model is None:
            return self._describe_server(route.operation)
        return await self._handle_model(request, route.model, route.operation)

    async def _handle_model(
        self, request: web.BaseRequest, model: str, operation: Operation
    ) -> web.StreamResponse:
        """Answer a request about one model."""
        runtime = self.models.get(model)
        if runtime is None:
            return error_response(404, f"unknown model {model}")
        if operation is Operation.MODEL_READY:
            is_ready = self._is_ready(runtime)
            return json_response({"name": model, "ready": is_ready}, 200 if is_ready else 503)
        if operation is Operation.MODEL_METADATA:
            return await self._describe_model(runtime, request_target(request))
        return await self._infer_within_memory(runtime, request)

    def _describe_server(self, operation: Operation) -> web.Response:
        """Answer a request about the server as a whole."""
        if operation is Operation.SERVER_LIVE:
            return json_response({"live": True})
        if operation is Operation.SERVER_READY:
            has_ready_model = any(self._is_ready(runtime) for runtime in self.models.values())
            is_ready = not self.server.shutting_down and has_ready_model
            return json_response({"ready": is_ready}, 200 if is_ready else 503)
        return json_response({"name": SERVER_NAME, "version": __version__, "extensions": EXTENSIONS})

    def _is_ready(self, runtime: Runtime) -> bool:
        """Return whether a model has a ready endpoint that can decode."""
        return any(
            endpoint.status is EndpointStatus.READY and endpoint.kind in self.decoding_kinds
            for endpoint in runtime.state.endpoints.values()
        )

    async def _describe_model(self, runtime: Runtime, path: str) -> web.Response:
        """Return the model metadata of the first ready endpoint that answers."""
        for endpoint in list(runtime.state.endpoints.values()):
            if endpoint.status is not EndpointStatus.READY:
                continue
            answer = await self.pool.fetch(endpoint.address, path, METADATA_TIMEOUT)
            if answer is not None:
                return web.Response(status=answer.status, body=answer.body, content_type=JSON_CONTENT_TYPE)
        return error_response(503, "no endpoint returned the metadata of this model", NO_METADATA_BACKOFF)

    async def _infer_within_memory(self, runtime: Runtime, request: web.BaseRequest) -> web.StreamResponse:
        """Run an inference, or reject it if its body exceeds the free memory for request bodies."""
        with self.server.reserved_body(request) as is_reserved:
            if not is_reserved:
                return overloaded_response(close=not await self.server.discard_body(request))
            return await self._infer(runtime, request)

    async def _infer(self, runtime: Runtime, request: web.BaseRequest) -> web.StreamResponse:
        """Read the body of an inference request, run the request and return its final answer."""
        body = await self.server.read_body(request)
        if isinstance(body, web.Response):
            return error_response(body.status, (body.text or "").strip(), close=True)
        try:
            inference = parse_inference_header(request.headers, body)
            request_id = str(next(self._request_numbers))
            received = parse_inference(request_id, inference, len(body), self.classes)
        except InvalidRequestError as error:
            return error_response(400, str(error), close=True)
        if self.server.arrived_too_late(request):
            return overloaded_response(close=not self.server.has_input_behind(request))
        all_input_is_read = await self.server.detect_disconnect(request)
        if not all_input_is_read or len(runtime.proxied_requests) >= self.config.max_open_requests:
            return overloaded_response(close=not self.server.has_input_behind(request))
        received = subtract_queueing_delay(received, self.server.queueing_delay(request))
        return await run_request(runtime, KServeRequest(request, received, body))
