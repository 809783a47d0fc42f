"""Relays endpoints' responses to clients."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import cast

import aiohttp

from llm_router import log
from llm_router.lifecycle import effects, events
from llm_router.routing.events import AttemptStatus
from llm_router.transport.clock import to_seconds
from llm_router.transport.errors import MalformedResponseError
from llm_router.transport.frontend_protocol import BufferedSink, ResponseSink, StreamSink
from llm_router.transport.resource_limits import BodyMemoryBudget

TAIL_SIZE = 2048  # bytes kept of a stream's end, where usage and the load report stand
EVENT_TIMEOUT = timedelta(seconds=4.8)  # without an event: a client must not be left waiting for 5 s
CONNECTION_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


@dataclass(slots=True, frozen=True)
class RelayResult:
    """How a relay ended, and the last bytes that were relayed."""

    status: AttemptStatus
    tail: bytes = b""


@dataclass(slots=True, frozen=True)
class StreamPiece:
    """The complete events that were read in one go; `is_last` at the end of the stream."""

    events: bytes
    is_last: bool


@dataclass(slots=True)
class StreamProgress:
    """What has gone to the client of a stream."""

    started: bool = False
    tail: bytes = b""


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response's end is marked, so that one cut short can be told from a complete one."""
    return "Transfer-Encoding" in response.headers or "Content-Length" in response.headers


def log_malformed_response(effect: effects.OpenAttempt, error: Exception) -> None:
    """Log that an attempt's response cannot be read: the endpoint is up, and the request may have run."""
    log.emit_rate_limited(
        "response_malformed",
        endpoint=effect.endpoint.name,
        request=effect.request_id,
        error=str(error)[:200],
    )


class ResponseRelay:
    """Relays responses; those that are buffered share a memory budget."""

    def __init__(self, memory: BodyMemoryBudget, feed: Callable[[events.Event], None]) -> None:
        self._memory = memory
        self._feed = feed

    async def relay(
        self, effect: effects.OpenAttempt, sink: ResponseSink, response: aiohttp.ClientResponse
    ) -> RelayResult:
        """Relay an attempt's response to its client, and return how that ended."""
        if sink.buffered:
            return await self._relay_buffered(effect, cast(BufferedSink, sink), response)
        return await self._relay_stream(effect, cast(StreamSink, sink), response)

    async def _relay_stream(
        self, effect: effects.OpenAttempt, sink: StreamSink, response: aiohttp.ClientResponse
    ) -> RelayResult:
        """Relay a stream event by event; once one has gone, a failure is the client's too."""
        sink.reset()
        progress = StreamProgress()
        try:
            await self._relay_events(effect, sink, response, progress)
        except asyncio.CancelledError:
            if progress.started:
                sink.abort()
            raise
        except Exception as error:
            # Any error: the client must not be left to wait on a stream that has ended.
            if progress.started:
                sink.abort()
            return RelayResult(self._status_of(effect, error), progress.tail)
        await sink.finish()
        return RelayResult(AttemptStatus.OK, progress.tail)

    async def _relay_events(
        self,
        effect: effects.OpenAttempt,
        sink: StreamSink,
        response: aiohttp.ClientResponse,
        progress: StreamProgress,
    ) -> None:
        """Relay each event once it is complete, so that nothing malformed passes as good."""
        is_last = False
        while not is_last:
            async with asyncio.timeout(to_seconds(EVENT_TIMEOUT) if progress.started else None):
                piece = await self._read_events(sink, response)
            is_last = piece.is_last
            data = piece.events
            if is_last:
                data = sink.flush(framed=response.content.at_eof() and is_framed(response))
            if not data:
                continue
            if not progress.started:
                progress.started = True
                self._feed(events.ResponseStarted(effect.request_id, effect.attempt))
                await sink.start()
            progress.tail = (progress.tail + data)[-TAIL_SIZE:]
            await sink.write(data)
        if not progress.started:
            raise MalformedResponseError("a stream with no event")

    @staticmethod
    async def _read_events(sink: StreamSink, response: aiohttp.ClientResponse) -> StreamPiece:
        """Read until an event is complete, or to the end; an incomplete event is no sign of life."""
        while True:
            data = await response.content.readany()
            complete = sink.feed(data)
            if complete or not data:
                return StreamPiece(complete, is_last=not data)

    @staticmethod
    def _status_of(effect: effects.OpenAttempt, error: Exception) -> AttemptStatus:
        """Log an error of a stream where it says more than that the connection broke; return its status."""
        if isinstance(error, MalformedResponseError | ValueError):
            log_malformed_response(effect, error)
            return AttemptStatus.ERROR
        if not isinstance(error, CONNECTION_ERRORS):
            log.emit("relay_failed", error=repr(error))
        return AttemptStatus.RESET

    async def _relay_buffered(
        self, effect: effects.OpenAttempt, sink: BufferedSink, response: aiohttp.ClientResponse
    ) -> RelayResult:
        """Relay a response once it is complete."""
        try:
            data = await self._read_body(response, sink)
        except MalformedResponseError as error:
            log_malformed_response(effect, error)
            return RelayResult(AttemptStatus.ERROR)
        except (*CONNECTION_ERRORS, RuntimeError):
            return RelayResult(AttemptStatus.RESET)
        if data is None:
            return RelayResult(AttemptStatus.ERROR)
        if not sink.is_complete(data):
            return RelayResult(AttemptStatus.RESET)
        self._feed(events.ResponseStarted(effect.request_id, effect.attempt))
        await sink.start()
        await sink.write(data)
        await sink.finish()
        return RelayResult(AttemptStatus.OK, data)

    async def _read_body(self, response: aiohttp.ClientResponse, sink: BufferedSink) -> bytes | None:
        """Return a response's body; None where it would exceed the memory budget.

        Endpoints may answer more, all together, than the limit on memory allows."""
        data = bytearray()
        while piece := await response.content.readany():
            if not self._memory.reserve(len(piece)):
                self._memory.release(len(data))
                log.emit_rate_limited("response_too_large", read=len(data))
                return None
            data += piece
        sink.done.add_done_callback(lambda _: self._memory.release(len(data)))
        return bytes(data)
