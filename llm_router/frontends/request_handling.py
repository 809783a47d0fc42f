"""Request handling steps that all frontends share."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta

from aiohttp import web

from llm_router.lifecycle.events import ClientDisconnected, RequestReceived
from llm_router.transport.frontend_protocol import ProxiedRequest
from llm_router.transport.responses import RESPONSE_MARGIN
from llm_router.transport.runtime import Runtime

# Maximum characters of a session or prefix key: the routing policy keeps the keys in memory for minutes.
MAX_KEY_LENGTH = 256
ZERO_DURATION = timedelta()


class InvalidRequestError(Exception):
    """Raised for a malformed client request; the message names the invalid header or parameter."""


def subtract_response_margin(time_remaining: timedelta) -> timedelta:
    """Subtract the time that the router needs to send its answer from the client's time remaining."""
    return max(ZERO_DURATION, time_remaining - RESPONSE_MARGIN)


def subtract_queueing_delay(received: RequestReceived, queueing_delay: timedelta) -> RequestReceived:
    """Return the request after its queueing delay is subtracted from its time remaining.

    The router and the endpoints must not work on a request for longer than its client waits."""
    return replace(received, time_remaining=max(ZERO_DURATION, received.time_remaining - queueing_delay))


async def run_request(runtime: Runtime, request: ProxiedRequest) -> web.StreamResponse:
    """Pass a request to the lifecycle and return its final answer.

    The server cancels this coroutine when the client's connection ends. The client has left if it had no
    complete answer then; otherwise the router has ended the connection. An internal error ends the request as
    well: the server answers it, so the lifecycle must not."""
    request_id = request.received.request_id
    runtime.proxied_requests[request_id] = request
    try:
        runtime.feed(request.received)
        answer: web.StreamResponse = await request.sink.answer.done
    except BaseException:
        if not request.sink.answer.is_complete:
            runtime.feed(ClientDisconnected(request_id))
        raise
    finally:
        del runtime.proxied_requests[request_id]
    return answer
