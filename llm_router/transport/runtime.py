"""Performs effects and feeds back events, on one event loop."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine, MutableMapping
from contextlib import suppress
from datetime import timedelta
from typing import Any

import aiohttp

from llm_router import log
from llm_router.configuration import RouterConfig
from llm_router.lifecycle import effects, events
from llm_router.lifecycle.idempotency_registry import IdempotencyRegistry
from llm_router.lifecycle.reducer import RouterState, reduce
from llm_router.lifecycle.send_guard import Denial, check_attempt, check_reserve
from llm_router.routing.events import NO_REPORT, AttemptStatus, ConnectionFault, LoadReport
from llm_router.routing.policy import RoutingPolicy
from llm_router.transport.acknowledged import ArrivalWatch
from llm_router.transport.aio import LocalConnectError, MalformedResponseError, StaleConnectionError
from llm_router.transport.clock import Clock
from llm_router.transport.frontend_protocol import ProxiedRequest, ResponseSink, UpstreamRequest
from llm_router.transport.kv_lease_calls import KvLeaseCalls
from llm_router.transport.outgoing import AttemptWithdrawnError
from llm_router.transport.pool import ConnectionPool
from llm_router.transport.server import BodyMemoryBudget

HEAD_MOST = 64 * 1024  # bytes read of an answer that is not a stream
TAIL = 2048  # bytes kept of a stream's end, where usage and the load report stand
UNHEARD = timedelta(milliseconds=500)  # an attempt given up after this casts doubt on kept connections
PROBE_WAIT = timedelta(milliseconds=250)
SHORT_WAIT = timedelta(seconds=1)  # for the body of an answer that is no stream
REST_LOOK = timedelta(milliseconds=5)  # at the end: between two looks for releases that are still to be made
QUIET = timedelta(seconds=4.8)  # without an event: a client must not be left waiting for 5 s


def framed(answer: aiohttp.ClientResponse) -> bool:
    """Tell whether an answer's end is told, so that one cut short can be known."""
    return "Transfer-Encoding" in answer.headers or "Content-Length" in answer.headers


def no_report(body: bytes) -> LoadReport:
    """Read no report: these endpoints give none."""
    return NO_REPORT


def nowhere(id: str) -> None:
    """Give no path: these endpoints hold nothing."""


class Runtime:
    """Holds the one conductor's state, its clock, its connections and what is out."""

    def __init__(
        self,
        config: RouterConfig,
        pool: ConnectionPool,
        reservation_path: Callable[[str], str | None] = nowhere,
        load_path: str = "",
        read_report: Callable[[bytes], LoadReport] = no_report,
    ) -> None:
        self.config, self.pool, self.clock = config, pool, Clock()
        ledger = IdempotencyRegistry(config.idempotency_capacity, config.idempotency_retention)
        self.state = RouterState(config.settings, RoutingPolicy(config.settings, config.seed), ledger)
        self.load_path, self.read_report = load_path, read_report
        self.loop = asyncio.get_running_loop()
        self.answers = BodyMemoryBudget(config.limits.body_memory)
        self.proxied_requests: dict[str, ProxiedRequest] = {}
        self.attempts: dict[tuple[str, int], asyncio.Task] = {}
        self.sent: dict[tuple[str, int], asyncio.Event] = {}
        self.tasks: set[asyncio.Task] = set()
        self.held_calls = KvLeaseCalls(pool, reservation_path, self.spawn, self.feed, self.check_reservation)
        self.queue: deque[events.Event] = deque()
        self.busy = False
        self.effects = {
            effects.OpenAttempt: self.forward,
            effects.AbortAttempt: self.abandon,
            effects.Reserve: self.reserve,
            effects.Release: self.held_calls.release,
            effects.CancelReleases: self.held_calls.stop_releases,
            effects.SendRejection: self.refuse,
            effects.SendFailure: self.fail,
            effects.ScheduleTimer: self.wake,
            effects.FetchLoadReport: lambda effect: self.spawn(self.probe(effect)),
            effects.LogEvent: lambda effect: (log.emit_rate_limited if effect.rate_limited else log.emit)(
                effect.name, **effect.fields
            ),
        }

    def feed(self, event: events.Event) -> None:
        """Take an event in and perform what it calls for; events met meanwhile come after it, in order.

        What breaks is a fault of ours; it is raised once the others have had their turn."""
        self.queue.append(event)
        if self.busy:
            return
        broken: Exception | None = None
        self.busy = True
        while self.queue:
            try:
                for effect in reduce(self.state, self.clock.now(), self.queue.popleft()):
                    self.effects[type(effect)](effect)
            except Exception as error:
                broken = broken or error
        self.busy = False
        if broken is not None:
            raise broken

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run work beside; it is awaited at the end."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.ended)
        return task

    def ended(self, task: asyncio.Task) -> None:
        """Tell of work that broke: it must not end in silence."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log.emit("task_failed", error=repr(error))

    async def wait_until_idle(self) -> None:
        """Wait until nothing is out any more, and all that was held for requests is released."""
        while self.tasks or self.state.requests:
            if self.tasks:
                await asyncio.wait(list(self.tasks))
            else:
                await asyncio.sleep(REST_LOOK.total_seconds())

    # --- effects

    def wake(self, effect: effects.ScheduleTimer) -> None:
        self.loop.call_at(self.clock.loop_time(effect.at), self.feed, events.TimerFired(effect.timer))

    def refuse(self, effect: effects.SendRejection) -> None:
        if exchange := self.proxied_requests.get(effect.request_id):
            exchange.reject(effect.retry_after)

    def fail(self, effect: effects.SendFailure) -> None:
        if exchange := self.proxied_requests.get(effect.request_id):
            exchange.fail(effect.id_conflict)

    def forward(self, effect: effects.OpenAttempt) -> None:
        key = effect.request_id, effect.attempt
        self.sent[key] = asyncio.Event()
        task = self.attempts[key] = self.spawn(self.play(effect, self.proxied_requests[effect.request_id]))
        task.add_done_callback(lambda task: self.over(effect, task))

    def abandon(self, effect: effects.AbortAttempt) -> None:
        if task := self.attempts.get((effect.request_id, effect.attempt)):
            task.cancel()

    def reserve(self, effect: effects.Reserve) -> None:
        key = effect.request_id, effect.attempt
        prefill_sent = self.sent.get(key)
        self.spawn(self.held_calls.reserve(effect, prefill_sent, lambda: self.attempts.get(key)))

    def check_reservation(self, effect: effects.Reserve) -> Denial | None:
        """Tell why a place may not be asked for now, None if it may."""
        return check_reserve(self.state, effect)

    # --- work

    def over(self, effect: effects.OpenAttempt, task: asyncio.Task) -> None:
        """Tell of an attempt's end; its connection is free or closed by now.

        Guards against a task that is cancelled before its first step, whose own code never runs: without an
        outcome the module would wait for ever, and what is held would stay."""
        key = effect.request_id, effect.attempt
        del self.attempts[key]
        self.sent.pop(key).set()
        if task.cancelled():
            ended = events.AttemptEnded(*key, AttemptStatus.CANCELLED)
        else:
            ended = events.AttemptEnded(*key, AttemptStatus.ERROR) if task.exception() else task.result()
        self.feed(ended)

    async def play(self, effect: effects.OpenAttempt, exchange: ProxiedRequest) -> events.AttemptEnded:
        """Send the request, and pass its answer on where there is one."""
        sent = self.sent[effect.request_id, effect.attempt]

        def over(status: AttemptStatus, **details: Any) -> events.AttemptEnded:
            return events.AttemptEnded(effect.request_id, effect.attempt, status, **details)

        if effect.awaits_release:
            await self.held_calls.wait_for_release(effect.request_id)
        call, begun = exchange.upstream_request(effect), self.loop.time()
        watch = ArrivalWatch(
            self.loop, lambda: self.feed(events.AttemptUnacknowledged(effect.request_id, effect.attempt))
        )
        try:
            answer = await self.pool.request(
                call.method,
                effect.endpoint.address,
                call.path,
                sent,
                effect.connect_timeout,
                lambda headers, transport: self.complete(effect, call, headers, transport, watch),
                headers=call.headers,
                data=call.body,
            )
        except AttemptWithdrawnError:
            return over(AttemptStatus.NOT_SENT)
        except MalformedResponseError as error:
            return over(self.spoilt(effect, error))
        except asyncio.CancelledError:
            if self.loop.time() - begun > UNHEARD.total_seconds():
                self.pool.connector.drop_idle(effect.endpoint.address)
            raise
        except StaleConnectionError:
            return over(
                AttemptStatus.RESET if sent.is_set() else AttemptStatus.CONNECT_FAILED,
                connection_fault=ConnectionFault.STALE,
            )
        except LocalConnectError:
            return over(AttemptStatus.CONNECT_FAILED, connection_fault=ConnectionFault.LOCAL)
        except (aiohttp.ClientError, OSError, TimeoutError):
            # Guards against a machine that is cut off, which gives no sign: the next request on a connection
            # kept from before would wait in silence again, while a new one fails as soon as a connect may.
            self.pool.connector.drop_idle(effect.endpoint.address)
            # Guards a booking: a break counts as never run only while no byte of it can have gone.
            return over(AttemptStatus.RESET if sent.is_set() else AttemptStatus.CONNECT_FAILED)
        finally:
            watch.stop()
        whole = False
        try:
            head = exchange.read_head(answer.status, answer.headers, b"")
            if head.status is not None:
                body = await self.read_short(answer)
                whole = body is not None
                if whole:
                    head = exchange.read_head(answer.status, answer.headers, body)
                return over(
                    head.status,
                    cached_tokens=head.cached_tokens,
                    state_missing=head.state_missing,
                    load=head.load_report,
                )
            status, tail = await self.relay(effect, exchange, answer)
            whole = status is AttemptStatus.OK
            end = exchange.read_tail(tail)
            return over(
                status, cached_tokens=end.cached_tokens, load=head.load_report.updated(end.load_report)
            )
        finally:
            if whole and answer.content.at_eof():
                answer.release()
            else:
                answer.close()

    def complete(
        self,
        effect: effects.OpenAttempt,
        call: UpstreamRequest,
        headers: MutableMapping[str, str],
        transport: asyncio.Transport | None,
        watch: ArrivalWatch,
    ) -> None:
        """Tell the time that is left once the connection is up, or withdraw what may not be sent any more."""
        now = self.clock.now()
        left = effect.deadline - now
        denial = check_attempt(self.state, now, effect)
        if denial is not None:
            facts = {
                "request": effect.request_id,
                "attempt": effect.attempt,
                "endpoint": effect.endpoint.name,
            }
            log.emit_rate_limited("attempt_withdrawn", reason=denial.value, **facts)
            raise AttemptWithdrawnError
        if call.deadline_header:
            headers[call.deadline_header] = str(max(1, left // timedelta(milliseconds=1)))
        self.feed(events.AttemptWritten(effect.request_id, effect.attempt))
        watch.start(transport)

    @staticmethod
    async def read_short(answer: aiohttp.ClientResponse) -> bytes | None:
        """Read an answer that is no stream; None where it cannot be read to its end."""
        data = b""
        with suppress(aiohttp.ClientError, OSError, TimeoutError, RuntimeError):
            async with asyncio.timeout(SHORT_WAIT.total_seconds()):
                while len(data) <= HEAD_MOST:
                    if not (part := await answer.content.readany()):
                        return data
                    data += part
        return None

    def spoilt(self, effect: effects.OpenAttempt, error: Exception) -> AttemptStatus:
        """Tell of an answer that cannot be read: the endpoint is up, and the request may have run."""
        log.emit_rate_limited(
            "response_malformed",
            endpoint=effect.endpoint.name,
            request=effect.request_id,
            error=str(error)[:200],
        )
        return AttemptStatus.ERROR

    async def relay(
        self, effect: effects.OpenAttempt, exchange: ProxiedRequest, answer: aiohttp.ClientResponse
    ):
        """Pass a stream on, event by event as they come; a break is the client's too once one has gone.

        Guards against passing on as good what a spoilt piece holds: an event goes out once it is whole."""
        sink, tail, began = exchange.sink, b"", False
        if sink.buffered:
            return await self.relay_whole(effect, sink, answer)
        sink.reset()
        try:
            last = False
            while not last:
                async with asyncio.timeout(QUIET.total_seconds() if began else None):
                    while not (data := sink.feed(part := await answer.content.readany())) and part:
                        pass  # a piece of an event is no sign of life: the quiet time runs on
                last = not part
                if last:
                    data = sink.flush(framed=answer.content.at_eof() and framed(answer))
                if not data:
                    continue
                if not began:
                    began = True
                    self.feed(events.ResponseStarted(effect.request_id, effect.attempt))
                    await sink.start()
                tail = (tail + data)[-TAIL:]
                await sink.write(data)
            if not began:
                raise MalformedResponseError("a stream with no event")
        except asyncio.CancelledError:
            if began:
                sink.abort()
            raise
        except Exception as error:
            # Guards against errors of any kind that would leave a client to wait on a stream that has ended.
            if began:
                sink.abort()
            if isinstance(error, MalformedResponseError | ValueError):
                return self.spoilt(effect, error), tail
            if not isinstance(error, aiohttp.ClientError | OSError | TimeoutError):
                log.emit("relay_failed", error=repr(error))
            return AttemptStatus.RESET, tail
        await sink.finish()
        return AttemptStatus.OK, tail

    async def relay_whole(
        self, effect: effects.OpenAttempt, sink: ResponseSink, answer: aiohttp.ClientResponse
    ):
        """Pass an answer on once it is whole."""
        try:
            data = await self.read_whole(answer, sink)
        except MalformedResponseError as error:
            return self.spoilt(effect, error), b""
        except (aiohttp.ClientError, OSError, TimeoutError, RuntimeError):
            return AttemptStatus.RESET, b""
        if data is None:
            return AttemptStatus.ERROR, b""
        if not sink.is_complete(data):
            return AttemptStatus.RESET, b""
        self.feed(events.ResponseStarted(effect.request_id, effect.attempt))
        await sink.start()
        await sink.write(data)
        await sink.finish()
        return AttemptStatus.OK, data

    async def read_whole(self, answer: aiohttp.ClientResponse, sink: ResponseSink) -> bytes | None:
        """Read an answer to its end within the memory for answers, None where it is too much."""
        data = bytearray()
        while part := await answer.content.readany():
            # Guards against endpoints that answer more, all together, than the limit on memory allows.
            if not self.answers.reserve(len(part)):
                self.answers.release(len(data))
                log.emit_rate_limited("response_too_large", read=len(data))
                return None
            data += part
        sink.done.add_done_callback(lambda done: self.answers.release(len(data)))
        return bytes(data)

    async def probe(self, effect: effects.FetchLoadReport) -> None:
        """Fetch an endpoint's load report; one that takes too long is worth no more."""
        begun = self.loop.time()
        answer = await self.pool.fetch(effect.endpoint.address, self.load_path, PROBE_WAIT)
        status, load = AttemptStatus.TIMEOUT, NO_REPORT
        if answer is not None:
            status = AttemptStatus.OK if answer[0] == 200 else AttemptStatus.ERROR
            load = self.read_report(answer[1]) if status is AttemptStatus.OK else NO_REPORT
        self.feed(
            events.LoadReportReceived(
                effect.endpoint_id, status, timedelta(seconds=self.loop.time() - begun), load
            )
        )
