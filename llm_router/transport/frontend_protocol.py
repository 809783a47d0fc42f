"""Defines the interface between frontends and the transport.

The transport depends on the protocols of endpoints and clients only through these types."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from llm_router.lifecycle.effects import OpenAttempt
from llm_router.lifecycle.events import RequestReceived
from llm_router.routing.events import NO_REPORT, AttemptStatus, LoadReport
from llm_router.transport.client_answer import ClientAnswer
from llm_router.transport.memory_budget import MemoryShare


@dataclass(slots=True, frozen=True)
class UpstreamRequest:
    """A request to be sent to an endpoint."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    # Name of the header for the remaining time in milliseconds; empty if the protocol has no such header.
    deadline_header: str = ""


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """The parsed head of an endpoint's response.

    `status` is the outcome of the attempt; None if the response is relayed to the client."""

    status: AttemptStatus | None
    cached_tokens: int = 0
    state_missing: bool = False
    load_report: LoadReport = NO_REPORT


@dataclass(slots=True, frozen=True)
class ResponseTail:
    """The parsed end of an endpoint's response: the number of cached prompt tokens, and a load report."""

    cached_tokens: int = 0
    load_report: LoadReport = NO_REPORT


class ResponseSink(Protocol):
    """The receiver of a response: a `BufferedSink` if `buffered` is True."""

    @property
    def buffered(self) -> bool:
        """Whether the response is relayed as a whole when it is complete, rather than event by event."""

    @property
    def answer(self) -> ClientAnswer:
        """The client's answer, which must be claimed before `start`."""

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the head of a response with this status and these headers to the client."""

    async def write(self, data: bytes) -> None:
        """Send a part of the response's body to the client."""

    async def finish(self) -> None:
        """Send the end of the response to the client, which completes the answer."""

    def abort(self) -> None:
        """End a started response so that the client can tell it is incomplete, which completes the answer."""


class BufferedSink(ResponseSink, Protocol):
    """A sink that relays a response as a whole."""

    def count(self, share: MemoryShare) -> None:
        """Take over the share that counts the response; release it once the response is sent or dropped."""

    def is_complete(self, headers: Mapping[str, str], data: bytes) -> bool:
        """Return whether the data is the complete body of a response with these headers."""


class ProxiedRequest(Protocol):
    """A client's request, as its frontend provides it to the transport."""

    @property
    def received(self) -> RequestReceived:
        """The event that reports the received request to the lifecycle."""

    @property
    def sink(self) -> ResponseSink:
        """The receiver of the response."""

    async def wait_for_client_input(self) -> None:
        """Wait until the input that the client has sent is read, which shows whether the client has left."""

    def upstream_request(self, effect: OpenAttempt) -> UpstreamRequest:
        """Return the request to send to the endpoint for an attempt."""

    def read_head(self, status: int, headers: Mapping[str, str], body: bytes) -> ResponseHead:
        """Parse a response's status, headers and body; the body is empty if it was not read."""

    def read_tail(self, tail: bytes) -> ResponseTail:
        """Parse the last bytes of a relayed response."""

    def reject(self, retry_after: timedelta) -> None:
        """Tell the client that its request was rejected and had no effect."""

    def fail(self, id_conflict: bool) -> None:
        """Tell the client that its request failed.

        `id_conflict` means that a request with this id is running or may have run."""
