"""One client's request on its way through the v2 front end."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from datetime import timedelta

from aiohttp import web

from llm_router.frontends.kserve.inference_request import INFERENCE_HEADER_LENGTH, parse_inference_header
from llm_router.frontends.kserve.responses import error_response
from llm_router.frontends.request_handling import InvalidRequestError
from llm_router.lifecycle.effects import OpenAttempt
from llm_router.lifecycle.events import RequestReceived
from llm_router.routing.events import AttemptStatus
from llm_router.transport.frontend_protocol import ResponseHead, ResponseTail, UpstreamRequest
from llm_router.transport.responses import request_target

FORWARDED_HEADERS = ("Content-Type", INFERENCE_HEADER_LENGTH)  # in both directions
NOT_PROCESSED = "X-Unprocessed"  # as on the platform; v2 itself has no such promise
CLIENT_ERRORS = range(400, 500)  # the endpoint's verdict on the request, which any other would repeat
TRANSIENT_CLIENT_ERRORS = (408, 429)


class KServeRequest:
    """A `ProxiedRequest` whose response is buffered until it is complete."""

    def __init__(self, request: web.BaseRequest, received: RequestReceived, body: bytes) -> None:
        self.received = received
        self.sink = BufferedResponseSink()
        self._body, self._path = body, request_target(request)
        self._headers = _forwarded_headers(request.headers)

    def upstream_request(self, effect: OpenAttempt) -> UpstreamRequest:  # noqa: ARG002 - alike for each endpoint
        """Return the client's request as it goes to an endpoint."""
        return UpstreamRequest("POST", self._path, self._headers, self._body)

    def read_head(self, status: int, headers: Mapping[str, str], body: bytes) -> ResponseHead:  # noqa: ARG002 - says nothing more
        """Return what a response's head means for the attempt, and note the head for the client."""
        self.sink.status = status
        self.sink.headers = _forwarded_headers(headers)
        return parse_head(status, headers)

    def read_tail(self, tail: bytes) -> ResponseTail:  # noqa: ARG002 - v2 endpoints report no cached tokens
        """Return what a response's end says: the shared prefix is taken for cached."""
        return ResponseTail(self.received.prefix_tokens)

    def reject(self, retry_after: timedelta) -> None:
        """Answer that the request was not run and may be sent again after a while."""
        self.sink.answer(error_response(503, "refused: try again later", retry_after))

    def fail(self, id_conflict: bool) -> None:
        """Answer that the request failed, or that its id is that of one which may have run."""
        if id_conflict:
            self.sink.answer(error_response(409, "this id is running or may have run"))
        else:
            self.sink.answer(error_response(502, "failed: it may have run, or time is over"))


class BufferedResponseSink:
    """Passes a response on once it is complete."""

    buffered = True

    def __init__(self) -> None:
        self.done: asyncio.Future[web.StreamResponse] = asyncio.get_running_loop().create_future()
        self.status = 200
        self.headers: dict[str, str] = {}
        self._data = b""

    def is_complete(self, data: bytes) -> bool:
        """Return whether a response is complete: one that ends with its connection states no length."""
        try:
            parse_inference_header(self.headers, data)
        except InvalidRequestError:
            return False
        return True

    async def start(self) -> None:
        """Do nothing: the head goes out with the data."""

    async def write(self, data: bytes) -> None:
        """Take the response's data, which comes in one piece."""
        self._data = data

    async def finish(self) -> None:
        """Answer the client with the response."""
        self.answer(web.Response(status=self.status, headers=self.headers, body=self._data))

    def abort(self) -> None:
        """Answer the client that the response broke off."""
        self.answer(error_response(502, "the answer broke off"))

    def answer(self, response: web.Response) -> None:
        """Set the final answer, unless there is one."""
        if not self.done.done():
            self.done.set_result(response)


def parse_head(status: int, headers: Mapping[str, str]) -> ResponseHead:
    """Return what a response's head means; without the promise that it did not run, a request may have."""
    if headers.get(NOT_PROCESSED) == "1":
        return ResponseHead(AttemptStatus.OVERLOADED)
    is_verdict = status in CLIENT_ERRORS and status not in TRANSIENT_CLIENT_ERRORS
    if status == 200 or is_verdict:
        return ResponseHead(None)
    return ResponseHead(AttemptStatus.ERROR)


def _forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return those headers that are passed on."""
    return {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
