"""Client requests that the KServe v2 frontend forwards to endpoints."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

from aiohttp import web

from llm_router.frontends.kserve.inference_request import INFERENCE_HEADER_LENGTH, parse_inference_header
from llm_router.frontends.kserve.responses import error_response
from llm_router.frontends.request_handling import InvalidRequestError
from llm_router.lifecycle.effects import OpenAttempt
from llm_router.lifecycle.events import RequestReceived
from llm_router.routing.events import AttemptStatus
from llm_router.transport.client_answer import ClientAnswer
from llm_router.transport.counted_response import CountedResponse
from llm_router.transport.frontend_protocol import ResponseHead, ResponseTail, UpstreamRequest
from llm_router.transport.http_server import client_connection
from llm_router.transport.memory_budget import MemoryShare
from llm_router.transport.responses import request_target

# The router copies these headers from a request to an endpoint and from a response to a client.
FORWARDED_HEADERS = ("Content-Type", INFERENCE_HEADER_LENGTH)
# An endpoint states with this header that it did not run a request.
# KServe v2 defines no such header; the platform's protocol uses the same name.
NOT_PROCESSED = "X-Unprocessed"
# These statuses are returned to the client without a retry: each endpoint would answer the request alike.
CLIENT_ERRORS = range(400, 500)
# These client errors depend on the endpoint's state, so they are treated as failures of the attempt.
TRANSIENT_CLIENT_ERRORS = (408, 429)


class KServeRequest:
    """A KServe v2 request from a client; its response is buffered until it is complete."""

    def __init__(self, request: web.BaseRequest, received: RequestReceived, body: bytes) -> None:
        self.received = received
        self._connection = client_connection(request)
        self.sink = BufferedResponseSink()
        self._body, self._path = body, request_target(request)
        self._headers = _forwarded_headers(request.headers)

    async def wait_for_client_input(self) -> None:
        """Wait until the input that the client has sent is read."""
        await self._connection.wait_for_pending_input()

    def upstream_request(self, effect: OpenAttempt) -> UpstreamRequest:  # noqa: ARG002 - same request for every endpoint
        """Return the request to send to an endpoint."""
        return UpstreamRequest("POST", self._path, self._headers, self._body)

    def read_head(self, status: int, headers: Mapping[str, str], body: bytes) -> ResponseHead:  # noqa: ARG002 - body not needed
        """Interpret the status and headers of a response."""
        return parse_head(status, headers)

    def read_tail(self, tail: bytes) -> ResponseTail:  # noqa: ARG002 - v2 endpoints report no cached tokens
        """Return the cached tokens of a response: the whole shared prefix is assumed to be cached."""
        return ResponseTail(self.received.prefix_tokens)

    def reject(self, retry_after: timedelta) -> None:
        """Answer the client that its request was not run, and when it may be retried."""
        self.sink.answer.give(error_response(503, "refused: try again later", retry_after))

    def fail(self, id_conflict: bool) -> None:
        """Answer that the request failed, or that a request with its id is running or may have run."""
        if id_conflict:
            response = error_response(409, "a request with this id is running or may have run")
        else:
            response = error_response(502, "failed: the request may have run, or its deadline has passed")
        self.sink.answer.give(response)


class BufferedResponseSink:
    """Buffers a response and sends it to the client once it is complete."""

    buffered = True

    def __init__(self) -> None:
        self.answer = ClientAnswer()
        self._status = 200
        self._headers: dict[str, str] = {}
        self._data = b""
        self._share: MemoryShare | None = None

    def count(self, share: MemoryShare) -> None:
        """Take over the share that counts the response."""
        self._share = share

    def is_complete(self, headers: Mapping[str, str], data: bytes) -> bool:
        """Return whether the data is the complete body of a response.

        A response without a Content-Length ends when its connection closes, so its JSON must be parsed."""
        try:
            parse_inference_header(headers, data)
        except InvalidRequestError:
            return False
        return True

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Store the response's head, which `finish` sends together with the data."""
        self._status = status
        self._headers = _forwarded_headers(headers)

    async def write(self, data: bytes) -> None:
        """Store the response's data, which arrives as one piece."""
        self._data = data

    async def finish(self) -> None:
        """Send the buffered response to the client."""
        assert self._share is not None, "a response is counted before it is sent"
        response = CountedResponse(self._share, status=self._status, headers=self._headers, body=self._data)
        self.answer.complete(response)

    def abort(self) -> None:
        """Answer the client that the endpoint's response was incomplete."""
        self.answer.complete(error_response(502, "the response of the endpoint was incomplete"))


def parse_head(status: int, headers: Mapping[str, str]) -> ResponseHead:
    """Interpret the status and headers of a response.

    A failed request counts as run unless the endpoint states that it was not processed."""
    if headers.get(NOT_PROCESSED) == "1":
        return ResponseHead(AttemptStatus.OVERLOADED)
    is_final_client_error = status in CLIENT_ERRORS and status not in TRANSIENT_CLIENT_ERRORS
    if status == 200 or is_final_client_error:
        return ResponseHead(None)
    return ResponseHead(AttemptStatus.ERROR)


def _forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that the router forwards."""
    return {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
