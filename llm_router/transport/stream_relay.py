"""Relays one endpoint's stream of events to a client."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import aiohttp

from llm_router import log
from llm_router.lifecycle import effects, events
from llm_router.routing.stream_timeout import StreamTimeout
from llm_router.transport.clock import elapsed_since, loop_nanoseconds, to_milliseconds
from llm_router.transport.errors import MalformedResponseError
from llm_router.transport.event_parser import EventStreamParser, ParsedEvents
from llm_router.transport.frontend_protocol import ResponseSink
from llm_router.transport.memory_budget import MemoryBudget, MemoryShare
from llm_router.transport.response_body import ResponseBody, describe_frame

EVENT_ALLOWANCE = 64 * 1024  # bytes of an incomplete event that are not counted in the budget for memory
MAX_LOG_LINES = 5  # lines per second about aborted streams; several may end at once, each for its own reason
TAIL_SIZE = 2048  # bytes kept from the end of a stream, which contains token usage and the load report


class StreamRelay:
    """Relays the response to one attempt, each event once it is complete and valid.

    `has_started` tells whether the client's answer was claimed for it, and `tail` has the last bytes sent."""

    def __init__(
        self,
        effect: effects.OpenAttempt,
        sink: ResponseSink,
        response: aiohttp.ClientResponse,
        feed: Callable[[events.Event], None],
        memory: MemoryBudget,
    ) -> None:
        self._effect = effect
        self._sink = sink
        self._response = response
        self._feed = feed
        self._parser = EventStreamParser()
        self._share = MemoryShare(memory, EVENT_ALLOWANCE)
        self._body = ResponseBody(response)
        self._timeout: StreamTimeout | None = None  # None until the first event
        self._sent_size = 0  # bytes sent to the client
        self._last_event_at = 0.0  # loop time in seconds
        self.tail = b""

    @property
    def has_started(self) -> bool:
        """Whether an event was passed on to the client."""
        return self._timeout is not None

    async def run(self) -> None:
        """Relay the stream to its end, but stop at its first event if the client has another answer.

        Raise an error if the stream breaks off, stalls or is malformed, also if its last event is missing."""
        try:
            await self._relay_events()
        finally:
            self._share.release()

    async def _relay_events(self) -> None:
        """Relay the stream to its end; bytes are counted until the client's connection has taken them."""
        while piece := await self._body.read(None if self._timeout is None else self._timeout.expires_at):
            parsed = self._parser.feed(piece)
            self._count(self._parser.buffered_size + len(parsed.data))
            if parsed.has_event and self._parser.is_ended:
                self._body.last_event_received()
            if parsed.data and not await self._forward(parsed):
                return
            self._count(self._parser.buffered_size)
            if self._timeout is not None:
                self._timeout.event_grew(loop_nanoseconds(), self._parser.incomplete_size)
        if not self._body.is_complete:
            raise ConnectionError("stream may be truncated: it has no content length and is not chunked")
        last = self._parser.finish()
        if last.data:
            await self._forward(last)

    def _count(self, size: int) -> None:
        """Count the bytes that are kept; raise MalformedResponseError if they exceed the memory budget."""
        if not self._share.resize(size):
            raise MalformedResponseError("event exceeds the memory for responses")

    async def _forward(self, parsed: ParsedEvents) -> bool:
        """Send events to the client; return False if the client has another answer."""
        if self._timeout is None:
            if not self._sink.answer.claim():
                return False
            self._timeout = StreamTimeout(loop_nanoseconds())
            self._feed(events.ResponseStarted(self._effect.request_id, self._effect.attempt))
            await self._sink.start(self._response.status, self._response.headers)
        self._sent_size += len(parsed.data)
        self.tail = (self.tail + parsed.data)[-TAIL_SIZE:]
        if parsed.has_event:
            self._last_event_at = asyncio.get_running_loop().time()
        await self._sink.write(parsed.data)
        if parsed.has_event:
            self._timeout.event_completed(loop_nanoseconds())
        return True

    def abort(self, reason: str) -> None:
        """End the client's stream without its last chunk if it has started, and log the reason."""
        if not self.has_started:
            return
        since_event = elapsed_since(self._last_event_at)
        frame = self._body.incomplete_frame
        log.emit_rate_limited(
            "stream_aborted",
            MAX_LOG_LINES,
            request=self._effect.request_id,
            endpoint=self._effect.endpoint.name,
            reason=reason,
            relayed=self._sent_size,
            since_event_ms=to_milliseconds(since_event),
            frame=None if frame is None else describe_frame(frame),
        )
        self._sink.abort()
