"""What a frontend offers: the transport knows endpoints' and clients' protocols through this alone."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

from llm_router.lifecycle.effects import OpenAttempt
from llm_router.lifecycle.events import RequestReceived
from llm_router.routing.events import NO_REPORT, AttemptStatus, LoadReport


@dataclass(slots=True, frozen=True)
class UpstreamRequest:
    """A request on its way to an endpoint."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    deadline_header: str = ""  # gets the milliseconds remaining; empty where the protocol has none


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """What a response's head says: how the attempt ended, or a response to relay (status None)."""

    status: AttemptStatus | None
    cached_tokens: int = 0
    state_missing: bool = False
    load_report: LoadReport = NO_REPORT


@dataclass(slots=True, frozen=True)
class ResponseTail:
    """What the end of a response says: the prompt tokens that were cached, and a load report."""

    cached_tokens: int = 0
    load_report: LoadReport = NO_REPORT


class ResponseSink(Protocol):
    """Where a response goes: a `BufferedSink` if `buffered`, else a `StreamSink`."""

    @property
    def buffered(self) -> bool:
        """Whether the response is relayed once it is complete, rather than event by event."""

    @property
    def done(self) -> asyncio.Future[Any]:
        """The final answer; it is set once the client's handler may return it."""

    async def start(self) -> None:
        """Send the response's head."""

    async def write(self, data: bytes) -> None:
        """Send data."""

    async def finish(self) -> None:
        """Send the response's end, and set `done`."""

    def abort(self) -> None:
        """End a response that has begun, so that the client sees it is incomplete, and set `done`."""


class StreamSink(ResponseSink, Protocol):
    """Where a stream of events goes."""

    def reset(self) -> None:
        """Begin an attempt's stream."""

    def feed(self, data: bytes) -> bytes:
        """Take a piece of the stream and return the complete events that may go out now.

        Raise ValueError where the stream is malformed."""

    def flush(self, framed: bool) -> bytes:
        """Return what is left at the stream's end; `framed` says that one cut short would be noticed.

        Raise ValueError where the stream is malformed, ConnectionError where it may be cut short."""


class BufferedSink(ResponseSink, Protocol):
    """Where a response goes that is relayed as one piece."""

    def is_complete(self, data: bytes) -> bool:
        """Return whether a response is complete."""


class ProxiedRequest(Protocol):
    """A client's request, as its frontend holds it."""

    @property
    def received(self) -> RequestReceived:
        """The event of the request's arrival."""

    @property
    def sink(self) -> ResponseSink:
        """Where the response goes."""

    def upstream_request(self, effect: OpenAttempt) -> UpstreamRequest:
        """Return the request to send for an attempt."""

    def read_head(self, status: int, headers: Mapping[str, str], body: bytes) -> ResponseHead:
        """Interpret a response's status, headers and, where they are not a stream's, short body."""

    def read_tail(self, tail: bytes) -> ResponseTail:
        """Interpret the last bytes of a relayed response."""

    def reject(self, retry_after: timedelta) -> None:
        """Answer the client that its request was rejected and has had no effect."""

    def fail(self, id_conflict: bool) -> None:
        """Answer the client that its request failed; `id_conflict` where its id is in use already."""
