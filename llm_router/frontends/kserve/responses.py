"""Builds the KServe v2 responses that the router itself sends."""

from __future__ import annotations

from datetime import timedelta

import orjson
from aiohttp import web

from llm_router.transport.responses import retry_after

JSON_CONTENT_TYPE = "application/json"
# Retry-After of a request that is rejected because of a resource limit.
OVERLOADED_BACKOFF = timedelta(seconds=1)


def json_response(value: object, status: int = 200) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(status=status, body=orjson.dumps(value), content_type=JSON_CONTENT_TYPE)


def error_response(
    status: int, text: str, backoff: timedelta | None = None, close: bool = False
) -> web.Response:
    """Return an error response with a JSON body.

    `backoff` sets the Retry-After header; `close` closes the connection after the response."""
    headers = {} if backoff is None else {"Retry-After": retry_after(backoff)}
    body = orjson.dumps({"error": text})
    response = web.Response(status=status, headers=headers, body=body, content_type=JSON_CONTENT_TYPE)
    if close:
        response.force_close()
    return response


def overloaded_response(close: bool) -> web.Response:
    """Return the rejection of a request that would exceed a resource limit, or that comes too late.

    `close` closes the connection after it."""
    return error_response(503, "the router is overloaded", OVERLOADED_BACKOFF, close)
