"""Executes one attempt: sends a request to an endpoint and handles its response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, MutableMapping
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta

import aiohttp

from llm_router import log
from llm_router.lifecycle import effects, events
from llm_router.lifecycle.send_guard import Denial
from llm_router.routing.events import AttemptStatus, ConnectionFault
from llm_router.transport.acknowledgement import AcknowledgementTimer
from llm_router.transport.body_reader import read_body
from llm_router.transport.clock import Clock, elapsed_since, to_milliseconds, to_seconds
from llm_router.transport.errors import (
    AttemptWithdrawnError,
    LocalConnectError,
    MalformedResponseError,
    StaleConnectionError,
)
from llm_router.transport.frontend_protocol import ProxiedRequest, UpstreamRequest
from llm_router.transport.pool import ConnectionPool, UpstreamCall
from llm_router.transport.release_client import ReleaseClient
from llm_router.transport.response_relay import ResponseRelay, log_malformed_response

MAX_SHORT_BODY_SIZE = 64 * 1024  # maximum bytes in the body of a response that is not relayed
# Time limit for reading the body of a response that is not relayed.
# It is short because the release time of KV state runs while the router reads.
# The head of the response already says whether the endpoint holds KV state.
SHORT_BODY_TIMEOUT = timedelta(milliseconds=100)
# Time after which the cancellation of an attempt without a response closes idle connections to its endpoint.
# These connections may be half-open.
SILENCE_THRESHOLD = timedelta(milliseconds=500)
SEND_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


@dataclass(slots=True, frozen=True)
class LifecycleLink:
    """The functions with which attempts query the request lifecycle and send it events."""

    # Returns the reason why an attempt may not be written at the given time, or None if it may be written.
    check: Callable[[timedelta, effects.OpenAttempt], Denial | None]
    feed: Callable[[events.Event], None]


class AttemptExecutor:
    """Executes attempts over a connection pool."""

    def __init__(
        self,
        pool: ConnectionPool,
        clock: Clock,
        releases: ReleaseClient,
        relay: ResponseRelay,
        lifecycle: LifecycleLink,
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._releases = releases
        self._relay = relay
        self._lifecycle = lifecycle

    async def execute(
        self, effect: effects.OpenAttempt, request: ProxiedRequest, written: asyncio.Event
    ) -> events.AttemptEnded:
        """Send the request, handle the response if one comes, and return how the attempt ended.

        The event `written` is set once the first bytes of the request may have been sent."""
        if effect.attempt:
            await request.wait_for_client_input()
        if effect.awaits_release:
            await self._releases.wait_for_acknowledgement(effect.request_id)
        upstream_request = request.upstream_request(effect)
        start = asyncio.get_running_loop().time()
        try:
            response = await self._send(effect, upstream_request, written)
        except asyncio.CancelledError:
            if elapsed_since(start) > SILENCE_THRESHOLD:
                self._pool.connector.drop_idle(effect.endpoint.address)
            raise
        except SEND_ERRORS as error:
            return self._send_failed(effect, error, written.is_set())
        return await self._receive(effect, request, response)

    async def _send(
        self, effect: effects.OpenAttempt, request: UpstreamRequest, written: asyncio.Event
    ) -> aiohttp.ClientResponse:
        """Send a request and return its response as soon as the response head is complete."""
        unacknowledged = events.AttemptUnacknowledged(effect.request_id, effect.attempt)
        timer = AcknowledgementTimer(asyncio.get_running_loop(), lambda: self._lifecycle.feed(unacknowledged))

        def before_write(headers: MutableMapping[str, str], transport: asyncio.Transport | None) -> None:
            self._prepare_write(effect, request, headers)
            timer.start(transport)

        call = UpstreamCall(
            request.method,
            effect.endpoint.address,
            request.path,
            request.headers,
            request.body,
            written=written,
            connect_timeout=effect.connect_timeout,
            before_write=before_write,
        )
        try:
            return await self._pool.request(call)
        finally:
            timer.stop()

    def _prepare_write(
        self, effect: effects.OpenAttempt, request: UpstreamRequest, headers: MutableMapping[str, str]
    ) -> None:
        """Set the time remaining in a request's headers, just before the request is written.

        Raise AttemptWithdrawnError if the attempt may no longer be written."""
        now = self._clock.now()
        remaining = effect.deadline - now
        denial = self._lifecycle.check(now, effect)
        if denial is not None:
            log.emit_rate_limited(
                "attempt_withdrawn",
                reason=denial.value,
                request=effect.request_id,
                attempt=effect.attempt,
                endpoint=effect.endpoint.name,
            )
            raise AttemptWithdrawnError
        if request.deadline_header:
            headers[request.deadline_header] = str(max(1, to_milliseconds(remaining)))
        self._lifecycle.feed(events.AttemptWritten(effect.request_id, effect.attempt))

    def _send_failed(
        self, effect: effects.OpenAttempt, error: Exception, written: bool
    ) -> events.AttemptEnded:
        """Return how an attempt without a response ended.

        The status is CONNECT_FAILED, which means that the request has not run, only if no byte of the
        request can have been sent."""
        key = effect.request_id, effect.attempt
        if isinstance(error, AttemptWithdrawnError):
            return events.AttemptEnded(*key, AttemptStatus.NOT_SENT)
        if isinstance(error, MalformedResponseError):
            log_malformed_response(effect, error)
            return events.AttemptEnded(*key, AttemptStatus.ERROR)
        if isinstance(error, LocalConnectError):
            status = AttemptStatus.CONNECT_FAILED
            return events.AttemptEnded(*key, status, connection_fault=ConnectionFault.LOCAL)
        status = AttemptStatus.RESET if written else AttemptStatus.CONNECT_FAILED
        if isinstance(error, StaleConnectionError):
            return events.AttemptEnded(*key, status, connection_fault=ConnectionFault.STALE)
        # An unreachable host does not close its connections, so idle connections to it are half-open.
        # A request on a half-open connection waits for a response that is lost.
        # A request on a new connection fails at the connect timeout.
        self._pool.connector.drop_idle(effect.endpoint.address)
        return events.AttemptEnded(*key, status)

    async def _receive(
        self, effect: effects.OpenAttempt, request: ProxiedRequest, response: aiohttp.ClientResponse
    ) -> events.AttemptEnded:
        """Handle a response and return how the attempt ended.

        The connection returns to the pool only if the response was read to its end."""
        is_complete = False
        try:
            head = request.read_head(response.status, response.headers, b"")
            status = head.status
            if status is not None:
                body = await self._read_short_body(response)
                is_complete = body is not None
                if body is not None:
                    head = request.read_head(response.status, response.headers, body)
                return events.AttemptEnded(
                    effect.request_id,
                    effect.attempt,
                    status,
                    cached_tokens=head.cached_tokens,
                    state_missing=head.state_missing,
                    load_report=head.load_report,
                )
            result = await self._relay.relay(effect, request.sink, response)
            is_complete = result.status is AttemptStatus.OK
            tail = request.read_tail(result.tail)
            return events.AttemptEnded(
                effect.request_id,
                effect.attempt,
                result.status,
                cached_tokens=tail.cached_tokens,
                load_report=head.load_report.updated(tail.load_report),
            )
        finally:
            if is_complete and response.content.at_eof():
                response.release()
            else:
                response.close()

    @staticmethod
    async def _read_short_body(response: aiohttp.ClientResponse) -> bytes | None:
        """Return the body of a response that is not relayed, or None if it is not complete in time."""
        with suppress(*SEND_ERRORS, RuntimeError):
            async with asyncio.timeout(to_seconds(SHORT_BODY_TIMEOUT)):
                return await read_body(response.content, MAX_SHORT_BODY_SIZE)
        return None
