"""Sends streams of server-sent events to HTTP/1.1 clients."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable, Mapping

from aiohttp import web

from llm_router.configuration import MAX_BODY_BYTES
from llm_router.transport.client_answer import ClientAnswer

MAX_EVENT_SIZE = 64 * 1024  # maximum bytes of one event
EVENT_LINES = re.compile(rb"(?:(?:(?:data|event|id|retry)?:[^\n]*|\r?)\n)*")
EVENT_ENDS = (b"\n\n", b"\n\r\n")


class StreamedResponse(web.StreamResponse):
    """A streamed response to a client; after an abort the final chunk is never sent."""

    aborted = False
    announces_close = False  # Whether the head tells the client that its connection closes.

    def announce_close(self) -> None:
        """Tell the client in the head that its connection closes after the stream."""
        self.announces_close = True
        self.force_close()

    def keep_open(self) -> None:
        """Keep the client's connection open after the stream, although its close was announced."""
        self._keep_alive = True  # aiohttp has no public way back.

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
    """Forwards a response's events to a client, each as soon as it is complete.

    This detects a malformed stream before it is forwarded. A wrong chunk size leads to lines that belong to
    no event; a huge chunk size leads to an event or a stream over the size limit."""

    buffered = False

    def __init__(
        self, request: web.BaseRequest, response: StreamedResponse, closes_after: Callable[[], bool]
    ) -> None:
        self.request = request
        self.response = response
        # Returns whether the client's connection closes after the stream, as far as it is known now.
        self._closes_after = closes_after
        self.answer = ClientAnswer()
        self.reset()

    def reset(self) -> None:
        """Prepare for a new attempt's stream by discarding the data of the previous one."""
        self._incomplete = b""  # the received part of an incomplete event
        self._received_size = 0

    def feed(self, data: bytes) -> bytes:
        """Add a piece of the stream and return the events that it completes.

        Raise ValueError if the stream is malformed."""
        self._received_size += len(data)
        if self._received_size > MAX_BODY_BYTES:
            raise ValueError(f"stream is over the limit of {MAX_BODY_BYTES} bytes")
        data = self._incomplete + data
        end = max((data.rfind(mark) + len(mark) for mark in EVENT_ENDS if mark in data), default=0)
        events = data[:end]
        self._incomplete = data[end:]
        if len(self._incomplete) > MAX_EVENT_SIZE:
            raise ValueError(f"event is over the limit of {MAX_EVENT_SIZE} bytes")
        if events and not EVENT_LINES.fullmatch(events):
            raise ValueError("stream contains a line that is not a valid server-sent event field")
        return events

    def flush(self, framed: bool) -> bytes:
        """Return the last event at the stream's end, even if no empty line follows it.

        Raise ValueError if the event is malformed. Raise ConnectionError if the stream is not `framed`,
        because a truncated stream could not be distinguished from a complete one."""
        if not framed:
            raise ConnectionError("stream may be truncated: it has no content length and is not chunked")
        events = self._incomplete
        self._incomplete = b""
        if events and not EVENT_LINES.fullmatch(events if events.endswith(b"\n") else events + b"\n"):
            raise ValueError("stream ends with a line that is not a valid server-sent event field")
        return events

    async def start(self, _status: int, _headers: Mapping[str, str]) -> None:
        """Send the response head, which is the same for all streams."""
        if self._closes_after():
            self.response.announce_close()
        await self._ignore_disconnect(self.response.prepare(self.request))

    async def write(self, data: bytes) -> None:
        """Send complete events."""
        await self._ignore_disconnect(self.response.write(data))

    async def finish(self) -> None:
        """Send the end of the stream, which completes the final answer."""
        await self._ignore_disconnect(self.response.write_eof())
        self.answer.complete(self.response)

    def abort(self) -> None:
        """Close the client's connection in the middle of the stream, which ends the final answer."""
        self.response.abort(self.request)
        self.answer.complete(self.response)

    @staticmethod
    async def _ignore_disconnect(write: Awaitable[object]) -> None:
        """Await a write to the client, and ignore a connection error.

        The error must not count as a failure of the endpoint. If the client has disconnected, its handler is
        cancelled anyway."""
        try:
            await write
        except OSError:
            return
