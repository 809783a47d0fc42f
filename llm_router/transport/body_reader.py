"""Reads the bodies of clients' requests, and of responses to the router's own calls, up to a maximum size."""

from __future__ import annotations

import aiohttp


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """A body has more bytes than its reader keeps.

    It derives from aiohttp's error for a body that breaks off, so that handlers of that error handle it."""


async def read_body(content: aiohttp.StreamReader, max_size: int) -> bytes:
    """Return a body of at most `max_size` bytes.

    Raise BodyTooLargeError if it is larger, and aiohttp's errors if it breaks off. The caller must close the
    connection of a body that was not read to its end."""
    body = bytearray()
    while piece := await content.readany():
        body += piece
        if len(body) > max_size:
            body.clear()  # The traceback of the error would keep it in memory.
            raise BodyTooLargeError(f"body exceeds {max_size} bytes")
    return bytes(body)
