"""Client requests that the frontend for the platform's protocol forwards to endpoints."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

from aiohttp import web

from llm_router.frontends.platform.endpoint_response import parse_head, parse_tail
from llm_router.frontends.platform.names import REQUEST_ID, TIME_REMAINING_MS
from llm_router.lifecycle.effects import OpenAttempt
from llm_router.lifecycle.events import RequestReceived
from llm_router.transport.event_stream import EventStreamSink, StreamedResponse
from llm_router.transport.frontend_protocol import ResponseHead, ResponseTail, UpstreamRequest
from llm_router.transport.http_server import client_connection
from llm_router.transport.responses import plain_text_error, request_target
from llm_router.transport.responses import retry_after as format_retry_after

STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}


class PlatformRequest:
    """A client request in the platform's protocol; its response is a stream of events."""

    def __init__(
        self,
        request: web.BaseRequest,
        received: RequestReceived,
        body: bytes,
        closes_after: Callable[[], bool],
    ) -> None:
        self.received = received
        self._connection = client_connection(request)
        self._body = body
        self._method, self._path = request.method, request_target(request)
        self._content_type = request.headers.get("Content-Type", "application/json")
        self._response = StreamedResponse(headers=STREAM_HEADERS)
        self._response.enable_chunked_encoding()
        self.sink = EventStreamSink(request, self._response, closes_after)

    async def wait_for_client_input(self) -> None:
        """Wait until the input that the client has sent is read."""
        await self._connection.wait_for_pending_input()

    def upstream_request(self, effect: OpenAttempt) -> UpstreamRequest:  # noqa: ARG002 - same request for every endpoint
        """Return the request to send to an endpoint."""
        headers = {REQUEST_ID: self.received.request_id, "Content-Type": self._content_type}
        return UpstreamRequest(self._method, self._path, headers, self._body, TIME_REMAINING_MS)

    def read_head(self, status: int, headers: Mapping[str, str], body: bytes) -> ResponseHead:
        """Interpret the status, headers and short body of an endpoint's response."""
        return parse_head(status, headers, body)

    def read_tail(self, tail: bytes) -> ResponseTail:
        """Return the cached tokens and the load report in the last bytes of an event stream."""
        return parse_tail(tail)

    def reject(self, retry_after: timedelta) -> None:
        """Answer the client that its request was not run, and when it may be retried."""
        headers = {"Retry-After": format_retry_after(retry_after)}
        self.sink.answer.give(web.Response(status=503, headers=headers, text="refused\n"))

    def fail(self, id_conflict: bool) -> None:
        """Answer that the request failed, or that a request with its id is running or may have run."""
        self.sink.answer.give(
            plain_text_error(409, "a request with this id is running or may have run")
            if id_conflict
            else plain_text_error(502, "failed")
        )
