"""Reads the bodies of responses to the router's own calls."""

from __future__ import annotations

import aiohttp

from llm_router.transport.errors import ResponseTooLargeError


async def read_body(response: aiohttp.ClientResponse, max_size: int) -> bytes:
    """Return the body of a response.

    Raise ResponseTooLargeError if it has more than `max_size` bytes, and aiohttp's errors if it breaks off.
    The caller must close the connection of a response that was not read to its end."""
    body = bytearray()
    while piece := await response.content.readany():
        body += piece
        if len(body) > max_size:
            body.clear()  # The traceback of the error would keep it in memory.
            raise ResponseTooLargeError(f"response body exceeds {max_size} bytes")
    return bytes(body)
