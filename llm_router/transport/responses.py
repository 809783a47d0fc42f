"""Helpers for requests and responses that the frontends share."""

from __future__ import annotations

from datetime import timedelta

from aiohttp import web

from llm_router.transport.clock import to_seconds

# Part of a client's time remaining that is kept for sending the final answer and for event loop delays.
RESPONSE_MARGIN = timedelta(milliseconds=20)
MIN_RETRY_AFTER = timedelta(milliseconds=200)  # minimum of the Retry-After header in a rejection


def request_target(request: web.BaseRequest) -> str:
    """Return a request's path and query unchanged; if its request line has a full URL, take them from it."""
    return request.raw_path if request.raw_path.startswith("/") else request.rel_url.raw_path_qs


def plain_text_error(status: int, text: str, close: bool = False) -> web.Response:
    """Return an error response with a plain-text body.

    With `close` the client's connection is closed after it, because the input that follows a malformed
    request cannot be trusted."""
    response = web.Response(status=status, text=text + "\n")
    if close:
        response.force_close()
    return response


def retry_after(backoff: timedelta) -> str:
    """Return the value of a Retry-After header, in decimal seconds.

    It is at least MIN_RETRY_AFTER: with a backoff of 0, clients would retry at once during the overload."""
    return f"{to_seconds(max(backoff, MIN_RETRY_AFTER)):.3f}"
