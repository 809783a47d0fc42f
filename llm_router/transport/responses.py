"""Helpers for requests and responses that the frontends share."""

from __future__ import annotations

from datetime import timedelta

from aiohttp import web

from llm_router.transport.clock import to_seconds

RESPONSE_MARGIN = timedelta(
    milliseconds=20
)  # of a client's time remaining, for the answer's way and a busy loop
MIN_RETRY_AFTER = timedelta(milliseconds=200)  # what a rejected client is told at least


def request_target(request: web.BaseRequest) -> str:
    """Return a request's path and query as they came, also where the whole URL was sent."""
    return request.raw_path if request.raw_path.startswith("/") else request.rel_url.raw_path_qs


def plain_text_error(status: int, text: str, close: bool = False) -> web.Response:
    """Return a response that says what is wrong; `close` where what may follow is not to be trusted."""
    response = web.Response(status=status, text=text + "\n")
    if close:
        response.force_close()
    return response


def retry_after(backoff: timedelta) -> str:
    """Return the value of a Retry-After header, in decimal seconds.

    It has a minimum: a policy without advice (0) would call clients back at once into the same overload."""
    return f"{to_seconds(max(backoff, MIN_RETRY_AFTER)):.3f}"
