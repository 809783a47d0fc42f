"""Relays endpoints' responses to clients."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from typing import cast

import aiohttp

from llm_router import log
from llm_router.configuration import MAX_BODY_BYTES
from llm_router.lifecycle import effects, events
from llm_router.routing.events import AttemptStatus
from llm_router.transport.clock import elapsed_since, to_milliseconds, to_seconds
from llm_router.transport.errors import MalformedResponseError
from llm_router.transport.frontend_protocol import BufferedSink, ResponseSink, StreamSink
from llm_router.transport.memory_budget import MemoryBudget, MemoryShare

TAIL_SIZE = 2048  # bytes kept from the end of a stream, which contains token usage and the load report
EVENT_TIMEOUT = timedelta(seconds=4.8)  # maximum time between two events; a client must not wait for 5 s
BODY_COPIES = 2  # A buffered body is copied when it is complete.
CONNECTION_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


@dataclass(slots=True, frozen=True)
class RelayResult:
    """The outcome of relaying a response: the attempt's status and the last bytes that were relayed."""

    status: AttemptStatus
    tail: bytes = b""


@dataclass(slots=True, frozen=True)
class StreamPiece:
    """The complete events from one read; `is_last` is true at the end of the stream."""

    events: bytes
    is_last: bool


@dataclass(slots=True)
class StreamProgress:
    """The progress of a stream to its client: whether it has started, its bytes, and the last of them."""

    started: bool = False
    relayed: int = 0  # bytes sent to the client
    last_event_at: float = 0.0  # loop time in seconds
    tail: bytes = b""

    def add(self, events: bytes) -> None:
        """Record complete events that are sent to the client."""
        self.relayed += len(events)
        self.last_event_at = asyncio.get_running_loop().time()
        self.tail = (self.tail + events)[-TAIL_SIZE:]


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response declares its length or is chunked, so that a truncation can be detected."""
    return "Transfer-Encoding" in response.headers or "Content-Length" in response.headers


def log_malformed_response(effect: effects.OpenAttempt, error: Exception) -> None:
    """Log that an attempt's response is malformed; the endpoint is reachable and may have run the request."""
    log.emit_rate_limited(
        "response_malformed",
        endpoint=effect.endpoint.name,
        request=effect.request_id,
        error=str(error)[:200],
    )


class ResponseRelay:
    """Relays responses to clients, as streams or buffered; buffered responses share a memory budget."""

    def __init__(self, memory: MemoryBudget, feed: Callable[[events.Event], None]) -> None:
        self._memory = memory
        self._feed = feed

    async def relay(
        self, effect: effects.OpenAttempt, sink: ResponseSink, response: aiohttp.ClientResponse
    ) -> RelayResult:
        """Relay an attempt's response to its client and return the outcome."""
        if sink.buffered:
            return await self._relay_buffered(effect, cast(BufferedSink, sink), response)
        return await self._relay_stream(effect, cast(StreamSink, sink), response)

    async def _relay_stream(
        self, effect: effects.OpenAttempt, sink: StreamSink, response: aiohttp.ClientResponse
    ) -> RelayResult:
        """Relay a stream event by event, unless the client has another answer when its first event comes.

        If the stream fails after its first event was sent, the client's connection is closed as well."""
        sink.reset()
        progress = StreamProgress()
        try:
            await self._relay_events(effect, sink, response, progress)
        except asyncio.CancelledError:
            if progress.started:
                self._abort(effect, sink, progress, "cancelled")
            raise
        except Exception as error:
            # Every kind of error ends the client's stream, so that the client does not wait for more events.
            if progress.started:
                self._abort(effect, sink, progress, repr(error)[:200])
            return RelayResult(self._status_of(effect, error), progress.tail)
        if not progress.started:
            return await self._discard(effect, response)
        await sink.finish()
        return RelayResult(AttemptStatus.OK, progress.tail)

    async def _relay_events(
        self,
        effect: effects.OpenAttempt,
        sink: StreamSink,
        response: aiohttp.ClientResponse,
        progress: StreamProgress,
    ) -> None:
        """Relay each event once it is complete and valid, so that no malformed event reaches the client.

        Stop at the first event if the client has another answer."""
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
                if not sink.answer.claim():
                    return
                progress.started = True
                self._feed(events.ResponseStarted(effect.request_id, effect.attempt))
                await sink.start(response.status, response.headers)
            progress.add(data)
            await sink.write(data)
        if not progress.started:
            raise MalformedResponseError("the stream ended without an event")

    @staticmethod
    def _abort(effect: effects.OpenAttempt, sink: StreamSink, progress: StreamProgress, reason: str) -> None:
        """End a stream that has started but is not complete, and log the reason."""
        since_event = elapsed_since(progress.last_event_at)
        log.emit_rate_limited(
            "stream_aborted",
            request=effect.request_id,
            endpoint=effect.endpoint.name,
            reason=reason,
            relayed=progress.relayed,
            since_event_ms=to_milliseconds(since_event),
        )
        sink.abort()

    @staticmethod
    async def _discard(effect: effects.OpenAttempt, response: aiohttp.ClientResponse) -> RelayResult:
        """Read a response that the client does not get, to its end or until the attempt is aborted.

        Where attempts must not be cancelled, one may still run when its request has another answer. Closing
        its connection would cancel it."""
        log.emit_rate_limited("response_discarded", endpoint=effect.endpoint.name, request=effect.request_id)
        size = 0
        with suppress(*CONNECTION_ERRORS):
            while size <= MAX_BODY_BYTES:
                async with asyncio.timeout(to_seconds(EVENT_TIMEOUT)):
                    piece = await response.content.readany()
                if not piece:
                    break
                size += len(piece)
        return RelayResult(AttemptStatus.CANCELLED)

    @staticmethod
    async def _read_events(sink: StreamSink, response: aiohttp.ClientResponse) -> StreamPiece:
        """Read until an event is complete or the stream ends.

        Part of an event does not restart the event timeout."""
        while True:
            data = await response.content.readany()
            complete = sink.feed(data)
            if complete or not data:
                return StreamPiece(complete, is_last=not data)

    @staticmethod
    def _status_of(effect: effects.OpenAttempt, error: Exception) -> AttemptStatus:
        """Return the attempt's status after a stream error; log the error unless the connection broke."""
        if isinstance(error, MalformedResponseError | ValueError):
            log_malformed_response(effect, error)
            return AttemptStatus.ERROR
        if not isinstance(error, CONNECTION_ERRORS):
            log.emit("relay_failed", error=repr(error))
        return AttemptStatus.RESET

    async def _relay_buffered(
        self, effect: effects.OpenAttempt, sink: BufferedSink, response: aiohttp.ClientResponse
    ) -> RelayResult:
        """Read a response to its end, then send it to the client."""
        share = MemoryShare(self._memory)
        try:
            data = await self._read_body(response, share)
        except MalformedResponseError as error:
            log_malformed_response(effect, error)
            return RelayResult(AttemptStatus.ERROR)
        except (*CONNECTION_ERRORS, RuntimeError):
            return RelayResult(AttemptStatus.RESET)
        if data is None:
            return RelayResult(AttemptStatus.ERROR)
        if not sink.is_complete(response.headers, data):
            share.release()
            return RelayResult(AttemptStatus.RESET)
        if not sink.answer.claim():
            share.release()
            return await self._discard(effect, response)
        sink.count(share)
        self._feed(events.ResponseStarted(effect.request_id, effect.attempt))
        await sink.start(response.status, response.headers)
        await sink.write(data)
        await sink.finish()
        return RelayResult(AttemptStatus.OK, data)

    @staticmethod
    async def _read_body(response: aiohttp.ClientResponse, share: MemoryShare) -> bytes | None:
        """Return a response's body, or None if it would exceed the memory budget of the share.

        The budget is needed because all response bodies together may be larger than the memory limit."""
        data = bytearray()
        try:
            while piece := await response.content.readany():
                data += piece
                if not share.resize(BODY_COPIES * len(data)):
                    share.release()
                    log.emit_rate_limited("response_too_large", read=len(data))
                    return None
        except BaseException:
            share.release()
            raise
        return bytes(data)
