"""Makes the responses of the v2 protocol that the router gives itself."""

from __future__ import annotations

from datetime import timedelta

import orjson
from aiohttp import web

from llm_router.transport.responses import retry_after

JSON_CONTENT_TYPE = "application/json"
OVERLOADED_BACKOFF = timedelta(seconds=1)  # what a client is told to wait where a resource limit is met


def json_response(value: object, status: int = 200) -> web.Response:
    """Return a response in JSON."""
    return web.Response(status=status, body=orjson.dumps(value), content_type=JSON_CONTENT_TYPE)


def error_response(
    status: int, text: str, backoff: timedelta | None = None, close: bool = False
) -> web.Response:
    """Return an error; `backoff` makes its Retry-After header, `close` ends the connection."""
    headers = {} if backoff is None else {"Retry-After": retry_after(backoff)}
    body = orjson.dumps({"error": text})
    response = web.Response(status=status, headers=headers, body=body, content_type=JSON_CONTENT_TYPE)
    if close:
        response.force_close()
    return response


def overloaded_response() -> web.Response:
    """Return the rejection of a request that would exceed a resource limit."""
    return error_response(503, "too much at once", OVERLOADED_BACKOFF, close=True)
