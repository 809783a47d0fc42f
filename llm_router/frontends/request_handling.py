"""Steps that the front ends share on a client's request."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from datetime import timedelta

from aiohttp import web

from llm_router.lifecycle.events import ClientDisconnected, RequestReceived
from llm_router.transport.frontend_protocol import ProxiedRequest
from llm_router.transport.responses import RESPONSE_MARGIN
from llm_router.transport.runtime import Runtime

MAX_KEY_LENGTH = 256  # characters of a session or prefix: the routing policy keeps them for minutes
NO_TIME = timedelta()


class InvalidRequestError(Exception):
    """A client's request that cannot be read; the message names the header or parameter at fault."""


def usable_time(time_remaining: timedelta) -> timedelta:
    """Return how long the router may work on a request that its client waits for so long."""
    return max(NO_TIME, time_remaining - RESPONSE_MARGIN)


def after_queueing(received: RequestReceived, queueing_delay: timedelta) -> RequestReceived:
    """Return the request with less time remaining: nothing may work on for longer than the client waits."""
    return replace(received, time_remaining=max(NO_TIME, received.time_remaining - queueing_delay))


async def run_request(runtime: Runtime, request: ProxiedRequest) -> web.StreamResponse:
    """Pass a request to the lifecycle and return the final answer.

    The handler's cancellation means that the client has disconnected."""
    request_id = request.received.request_id
    runtime.proxied_requests[request_id] = request
    try:
        runtime.feed(request.received)
        answer: web.StreamResponse = await request.sink.done
    except asyncio.CancelledError:
        runtime.feed(ClientDisconnected(request_id))
        raise
    finally:
        del runtime.proxied_requests[request_id]
    return answer
