"""What a front has to offer: the runtime knows endpoints and clients through these alone."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

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
    deadline_header: str = ""  # the header that tells how many milliseconds are left, where there is one


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """What an answer's head tells: a stream to pass on (status None), or how the attempt ended."""

    status: AttemptStatus | None
    cached_tokens: int = 0
    state_missing: bool = False
    load_report: LoadReport = NO_REPORT


@dataclass(slots=True, frozen=True)
class ResponseTail:
    """What the end of a response tells: the prompt tokens that were cached, and a load report."""

    cached_tokens: int = 0
    load_report: LoadReport = NO_REPORT


class ResponseSink(Protocol):
    """Where an answer goes."""

    buffered: bool  # the answer is one event: it counts from its last byte on
    done: asyncio.Future  # set with the final answer

    def is_complete(self, data: bytes) -> bool: ...

    def reset(self) -> None: ...

    def feed(self, data: bytes) -> bytes: ...

    def flush(self, framed: bool) -> bytes: ...

    async def start(self) -> None: ...

    async def write(self, data: bytes) -> None: ...

    async def finish(self) -> None: ...

    def abort(self) -> None: ...


class ProxiedRequest(Protocol):
    """A client's request, as its front holds it."""

    received: RequestReceived
    sink: ResponseSink

    def upstream_request(self, forward: OpenAttempt) -> UpstreamRequest: ...

    def read_head(self, status: int, headers: Mapping[str, str], body: bytes) -> ResponseHead: ...

    def read_tail(self, tail: bytes) -> ResponseTail: ...

    def reject(self, pause: timedelta) -> None: ...

    def fail(self, clash: bool) -> None: ...
