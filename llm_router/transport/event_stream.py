"""Streams of server-sent events on their way to HTTP/1.1 clients."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable

from aiohttp import web

from llm_router.configuration import MAX_BODY_BYTES

MAX_EVENT_SIZE = 64 * 1024  # bytes
EVENT_LINES = re.compile(rb"(?:(?:(?:data|event|id|retry)?:[^\n]*|\r?)\n)*")
EVENT_ENDS = (b"\n\n", b"\n\r\n")


class StreamedResponse(web.StreamResponse):
    """A stream on its way to a client; an aborted one never sends the last chunk."""

    aborted = False

    def abort(self, request: web.BaseRequest) -> None:
        """Close the client's connection in the middle of the stream."""
        self.aborted = True
        self.force_close()
        if request.transport is not None:
            request.transport.close()

    async def write_eof(self, data: bytes = b"") -> None:
        """End the stream, unless it was aborted."""
        if not self.aborted:
            await super().write_eof(data)


class EventStreamSink:
    """Passes a response's events on to a client as they come, each once it is complete.

    So a malformed stream is found before it goes out: a chunk size that is too small or too large shows as
    lines that belong to no event, a huge one as an event or a stream without end."""

    buffered = False

    def __init__(
        self,
        request: web.BaseRequest,
        response: StreamedResponse,
        done: asyncio.Future[web.StreamResponse],
    ) -> None:
        self.request = request
        self.response = response
        self.done = done
        self.reset()

    def reset(self) -> None:
        """Begin an attempt's stream: nothing is left of an earlier malformed one."""
        self._incomplete = b""  # the received part of an event that is not complete
        self._received_size = 0

    def feed(self, data: bytes) -> bytes:
        """Take a piece of the stream and return the complete events in it that have not been returned.

        Raise ValueError where the stream is malformed."""
        self._received_size += len(data)
        if self._received_size > MAX_BODY_BYTES:
            raise ValueError("a stream over 256 KiB")
        data = self._incomplete + data
        end = max((data.rfind(mark) + len(mark) for mark in EVENT_ENDS if mark in data), default=0)
        events = data[:end]
        self._incomplete = data[end:]
        if len(self._incomplete) > MAX_EVENT_SIZE:
            raise ValueError("an event without end")
        if events and not EVENT_LINES.fullmatch(events):
            raise ValueError("what is no event")
        return events

    def flush(self, framed: bool) -> bytes:
        """Return what is left at the stream's end; its last event need not end in an empty line.

        Raise ValueError where that is malformed, ConnectionError where the stream is not `framed`, so that
        one cut short looks like a complete one."""
        if not framed:
            raise ConnectionError("a stream whose end cannot be known")
        events = self._incomplete
        self._incomplete = b""
        if events and not EVENT_LINES.fullmatch(events if events.endswith(b"\n") else events + b"\n"):
            raise ValueError("what is no event")
        return events

    async def start(self) -> None:
        """Send the response's head."""
        await self._ignore_disconnect(self.response.prepare(self.request))

    async def write(self, data: bytes) -> None:
        """Send complete events."""
        await self._ignore_disconnect(self.response.write(data))

    async def finish(self) -> None:
        """Send the stream's end; this is the final answer."""
        await self._ignore_disconnect(self.response.write_eof())
        self._set_done()

    def abort(self) -> None:
        """End the client's connection in the middle of the stream; this is the final answer."""
        self.response.abort(self.request)
        self._set_done()

    def _set_done(self) -> None:
        if not self.done.done():
            self.done.set_result(self.response)

    @staticmethod
    async def _ignore_disconnect(write: Awaitable[object]) -> None:
        """Await a write; that the client is gone is learnt by its handler's end, and is no upstream error."""
        try:
            await write
        except OSError:
            return
