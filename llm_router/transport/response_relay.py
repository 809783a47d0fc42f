"""Relays endpoints' responses to clients."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import cast

import aiohttp

from llm_router import log
from llm_router.configuration import MAX_BODY_BYTES
from llm_router.lifecycle import effects, events
from llm_router.routing.events import AttemptStatus
from llm_router.routing.stream_timeout import EVENT_TIMEOUT
from llm_router.transport.clock import loop_nanoseconds
from llm_router.transport.errors import MalformedResponseError
from llm_router.transport.frontend_protocol import BufferedSink, ResponseSink
from llm_router.transport.memory_budget import MemoryBudget, MemoryShare
from llm_router.transport.response_body import ResponseBody
from llm_router.transport.stream_relay import StreamRelay

MAX_REASON_LENGTH = 200  # maximum characters of an error in the log
BODY_COPIES = 2  # A buffered body is copied when it is complete.
CONNECTION_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


@dataclass(slots=True, frozen=True)
class RelayResult:
    """The outcome of relaying a response: the attempt's status and the last bytes that were relayed."""

    status: AttemptStatus
    tail: bytes = b""


def log_malformed_response(effect: effects.OpenAttempt, error: Exception) -> None:
    """Log that an attempt's response is malformed; the endpoint is reachable and may have run the request."""
    log.emit_rate_limited(
        "response_malformed",
        endpoint=effect.endpoint.name,
        request=effect.request_id,
        error=str(error)[:MAX_REASON_LENGTH],
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
        return await self._relay_stream(effect, sink, response)

    async def _relay_stream(
        self, effect: effects.OpenAttempt, sink: ResponseSink, response: aiohttp.ClientResponse
    ) -> RelayResult:
        """Relay a stream event by event, unless the client has another answer when its first event comes.

        If the stream fails after its first event was sent, the client's connection is closed as well."""
        stream = StreamRelay(effect, sink, response, self._feed, self._memory)
        try:
            await stream.run()
        except asyncio.CancelledError:
            stream.abort("cancelled")
            raise
        except Exception as error:
            # Every kind of error ends the client's stream, so that the client does not wait for more events.
            stream.abort(repr(error)[:MAX_REASON_LENGTH])
            return RelayResult(self._status_of(effect, error), stream.tail)
        if not stream.has_started:
            return await self._discard(effect, response)
        await sink.finish()
        return RelayResult(AttemptStatus.OK, stream.tail)

    @staticmethod
    async def _discard(effect: effects.OpenAttempt, response: aiohttp.ClientResponse) -> RelayResult:
        """Read a response that the client does not get, to its end or until the attempt is aborted.

        Where attempts must not be cancelled, one may still run when its request has another answer. Closing
        its connection would cancel it."""
        log.emit_rate_limited("response_discarded", endpoint=effect.endpoint.name, request=effect.request_id)
        body = ResponseBody(response)
        size = 0
        with suppress(*CONNECTION_ERRORS):
            while size <= MAX_BODY_BYTES and (piece := await body.read(loop_nanoseconds() + EVENT_TIMEOUT)):
                size += len(piece)
        return RelayResult(AttemptStatus.CANCELLED)

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
