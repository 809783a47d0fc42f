"""Connects the reducer to the transport: dispatches its effects and gives it the events that result."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from datetime import timedelta
from typing import Any

from llm_router import log
from llm_router.configuration import RouterConfig
from llm_router.lifecycle import effects, events
from llm_router.lifecycle.errors import EventError
from llm_router.lifecycle.idempotency_registry import IdempotencyRegistry
from llm_router.lifecycle.reducer import reduce
from llm_router.lifecycle.send_guard import Denial, check_attempt, check_reserve
from llm_router.lifecycle.state import RouterState
from llm_router.routing.events import NO_REPORT, LoadReport
from llm_router.routing.policy import RoutingPolicy
from llm_router.transport.attempt_executor import AttemptExecutor, LifecycleLink
from llm_router.transport.background_tasks import BackgroundTasks
from llm_router.transport.clock import Clock, to_seconds
from llm_router.transport.frontend_protocol import ProxiedRequest
from llm_router.transport.load_prober import LoadProber
from llm_router.transport.memory_budget import MemoryBudget
from llm_router.transport.pool import ConnectionPool
from llm_router.transport.release_client import ReleaseClient
from llm_router.transport.reservation_client import ReservationClient
from llm_router.transport.response_relay import ResponseRelay
from llm_router.transport.running_attempts import RunningAttempts

# Interval at which shutdown checks whether the last KV leases have been released.
IDLE_POLL_INTERVAL = timedelta(milliseconds=5)
# Time limit for releases at shutdown. Without it, shutdown could wait forever if no endpoint is left to call.
IDLE_WAIT_TIMEOUT = timedelta(seconds=6)


def no_report(_body: bytes) -> LoadReport:
    """Return an empty load report; used if the endpoints report no load."""
    return NO_REPORT


def no_reservation_path(_request_id: str) -> None:
    """Return None instead of a path; used if the endpoints support no reservations and releases."""


def _new_registry(config: RouterConfig) -> IdempotencyRegistry:
    """Return an empty registry with the limits of the configuration."""
    return IdempotencyRegistry(
        config.idempotency_capacity, config.idempotency_retention, config.forgets_oldest_key
    )


class Runtime:
    """The lifecycle state of one router, and the dispatch of events and effects on its event loop."""

    def __init__(
        self,
        config: RouterConfig,
        pool: ConnectionPool,
        memory: MemoryBudget,
        reservation_path: Callable[[str], str | None] = no_reservation_path,
        load_path: str = "",
        read_report: Callable[[bytes], LoadReport] = no_report,
    ) -> None:
        self.config = config
        self.pool = pool
        # The unanswered requests by id, from their receipt to their final answer.
        self.proxied_requests: dict[str, ProxiedRequest] = {}
        registry = _new_registry(config)
        self.state = RouterState(config.settings, RoutingPolicy(config.settings, config.seed), registry)
        self._clock = Clock()
        self._loop = asyncio.get_running_loop()
        self._tasks = BackgroundTasks()
        self._queue: deque[events.Event] = deque()
        self._is_dispatching = False
        releases = ReleaseClient(pool, reservation_path, self._tasks, self.feed)
        relay = ResponseRelay(memory, self.feed)
        lifecycle = LifecycleLink(self._check_attempt, self.feed)
        executor = AttemptExecutor(pool, self._clock, releases, relay, lifecycle)
        self._attempts = RunningAttempts(self._tasks, executor.execute, self.feed)
        self._reservations = ReservationClient(pool, reservation_path, self.feed, self._check_reservation)
        self._prober = LoadProber(pool, load_path, read_report, self.feed)
        self._handlers: dict[type, Callable[[Any], object]] = {
            effects.OpenAttempt: self._open_attempt,
            effects.AbortAttempt: self._attempts.abort,
            effects.Reserve: self._reserve,
            effects.Release: releases.start,
            effects.CancelReleases: releases.cancel,
            effects.SendRejection: self._send_rejection,
            effects.SendFailure: self._send_failure,
            effects.ScheduleTimer: self._schedule_timer,
            effects.FetchLoadReport: self._fetch_load_report,
            effects.LogEvent: self._log_event,
        }

    def feed(self, event: events.Event) -> None:
        """Apply the reducer to an event and dispatch the resulting effects.

        Events that arrive during the dispatch are queued and handled in order. An exception is an internal
        error of the router and does not stop the queue. The first exception is raised once the queue is
        empty."""
        self._queue.append(event)
        if self._is_dispatching:
            return
        first_error: Exception | None = None
        self._is_dispatching = True
        while self._queue:
            try:
                self._dispatch(self._queue.popleft())
            except Exception as error:
                first_error = first_error or error
        self._is_dispatching = False
        if first_error is not None:
            raise first_error

    def _dispatch(self, event: events.Event) -> None:
        """Apply the reducer to one event and dispatch all of its effects, and then raise the first error."""
        first_error: Exception | None = None
        try:
            resulting: Sequence[effects.Effect] = reduce(self.state, self._clock.now(), event)
        except EventError as error:
            resulting, first_error = error.effects, error
        for effect in resulting:
            try:
                self._handlers[type(effect)](effect)
            except Exception as error:
                first_error = first_error or error
        if first_error is not None:
            raise first_error

    async def wait_until_idle(self) -> None:
        """Wait until no task runs and all KV leases are released, but no longer than IDLE_WAIT_TIMEOUT."""
        with suppress(TimeoutError):
            async with asyncio.timeout(to_seconds(IDLE_WAIT_TIMEOUT)):
                await self._wait_until_idle()
        if not self.state.is_idle:
            log.emit("leases_left", requests=len(self.state.requests))
            # The requests are removed so that a timer that fires later starts no call on the closing pool.
            self.state.requests.clear()

    async def _wait_until_idle(self) -> None:
        while self._tasks or not self.state.is_idle:
            if self._tasks:
                await self._tasks.wait()
            else:
                await asyncio.sleep(to_seconds(IDLE_POLL_INTERVAL))

    def _check_attempt(self, now: timedelta, effect: effects.OpenAttempt) -> Denial | None:
        return check_attempt(self.state, now, effect)

    def _check_reservation(self, effect: effects.Reserve) -> Denial | None:
        return check_reserve(self.state, effect)

    def _open_attempt(self, effect: effects.OpenAttempt) -> None:
        self._attempts.start(effect, self.proxied_requests[effect.request_id])

    def _reserve(self, effect: effects.Reserve) -> None:
        prefill = self._attempts.get(effect.request_id, effect.attempt)
        self._tasks.spawn(self._reservations.run(effect, prefill))

    def _send_rejection(self, effect: effects.SendRejection) -> None:
        request = self.proxied_requests.get(effect.request_id)
        if request is not None:
            request.reject(effect.retry_after)

    def _send_failure(self, effect: effects.SendFailure) -> None:
        request = self.proxied_requests.get(effect.request_id)
        if request is not None:
            request.fail(effect.id_conflict)

    def _schedule_timer(self, effect: effects.ScheduleTimer) -> None:
        self._loop.call_at(self._clock.loop_time(effect.at), self.feed, events.TimerFired(effect.timer))

    def _fetch_load_report(self, effect: effects.FetchLoadReport) -> None:
        self._tasks.spawn(self._prober.probe(effect))

    @staticmethod
    def _log_event(effect: effects.LogEvent) -> None:
        emit = log.emit_rate_limited if effect.rate_limited else log.emit
        emit(effect.name, **effect.fields)
