"""Reads the body of a response to an attempt, while the sizes that its endpoint declares are credible."""

from __future__ import annotations

import asyncio

import aiohttp

from llm_router.routing import declared_size
from llm_router.routing.declared_size import IncompleteFrame
from llm_router.transport.body_framing import BodyFraming, Frame
from llm_router.transport.clock import (
    elapsed_since,
    loop_nanoseconds,
    nanoseconds_to_seconds,
    to_milliseconds,
    to_nanoseconds,
)
from llm_router.transport.errors import MalformedResponseError
from llm_router.transport.upstream_connection import UpstreamConnection


class ResponseBody:
    """The body of one response."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self._framing = _framing_of(response)
        self._ended_at: int | None = None  # time in nanoseconds of the last event

    @property
    def is_complete(self) -> bool:
        """Whether the body was read to the end that its length or its last chunk declares."""
        headers = self._response.headers
        is_framed = "Transfer-Encoding" in headers or "Content-Length" in headers
        return is_framed and self._response.content.at_eof()

    def last_event_received(self) -> None:
        """Record that the last event has come, behind which little may follow."""
        self._ended_at = loop_nanoseconds()

    async def read(self, expires_at: int | None = None) -> bytes:
        """Return the bytes that have come since the last call, or wait for some; return b"" at the end.

        Raise TimeoutError if none come until `expires_at`, a loop time in nanoseconds. Raise
        MalformedResponseError if a chunk or the body declares a size that is not credible."""
        # The frame is checked afterwards, because only this read ends a pause of the connection.
        data = self._response.content.read_nowait() or await self._wait(expires_at)
        self._check_frame()
        return data

    async def _wait(self, expires_at: int | None) -> bytes:
        """Wait for bytes until `expires_at` or until the frame is not credible; return b"" at the end."""
        credible_until = self._check_frame()
        if expires_at is None or (credible_until is not None and credible_until < expires_at):
            expires_at = credible_until
        try:
            async with asyncio.timeout_at(None if expires_at is None else nanoseconds_to_seconds(expires_at)):
                return await self._response.content.readany()
        except TimeoutError:
            # Bytes may have come in the turn of the event loop in which the time was over.
            data = self._response.content.read_nowait()
            if not data:
                self._check_frame()
                raise
            return data

    def _check_frame(self) -> int | None:
        """Return the time until which the incomplete frame is credible, or None if no frame is incomplete.

        Raise MalformedResponseError if this time is over."""
        if self._framing is None or self._framing.frame is None:
            return None
        frame = self._framing.frame
        began_at = to_nanoseconds(frame.began_at)
        incomplete = IncompleteFrame(frame.declared_size, frame.received_size, began_at)
        limit = declared_size.credible_until(incomplete, self._ended_at)
        if loop_nanoseconds() < limit:
            return limit
        fields = ", ".join(f"{name}: {value}" for name, value in describe_frame(frame).items())
        raise MalformedResponseError(f"the size of a chunk or body is not credible ({fields})")

    @property
    def incomplete_frame(self) -> Frame | None:
        """The chunk or body that is not complete, or None between two chunks."""
        return None if self._framing is None else self._framing.frame


def _framing_of(response: aiohttp.ClientResponse) -> BodyFraming | None:
    """Return the framing of a response's body, or None if it is complete or ends with its connection."""
    protocol = None if response.connection is None else response.connection.protocol
    return protocol.framing if isinstance(protocol, UpstreamConnection) else None


def describe_frame(frame: Frame) -> dict[str, int]:
    """Return the log fields of an incomplete chunk or body: its size, its received part, and its age."""
    return {
        "declared": frame.declared_size,
        "received": frame.received_size,
        "age_ms": to_milliseconds(elapsed_since(frame.began_at)),
    }
