"""Emulate prefill and decode endpoints over real sockets, each behind a fault proxy."""

from __future__ import annotations

import asyncio
import random
import re
from contextlib import suppress
from enum import Enum, auto

from llm_router.emulator.background_tasks import BackgroundTasks
from llm_router.emulator.discovery import READY, RegistryEntry
from llm_router.emulator.fault_proxy import FaultProxy
from llm_router.emulator.http import LAST_CHUNK, STREAM_HEAD, Message, chunk, message, read_message
from llm_router.emulator.oracle import Oracle
from llm_router.emulator.oracle.slow_start_check import SlowStart, SlowStartCheck
from llm_router.emulator.oracle.traffic_record import LeasedResource, ResourceKind

PREFILL_DURATION = (0.005, 0.06)  # seconds, drawn evenly
FIRST_TOKEN_DELAY = (0.005, 0.05)  # seconds from the start of a decode attempt, drawn evenly
QUEUEING_SHARE = 0.1  # of the decode attempts
QUEUEING_DELAY = (0.2, 1.5)  # seconds that these wait, drawn evenly
EVENT_COUNT = 6  # of an answer
EVENT_INTERVAL = 0.02  # seconds between two events
UNKNOWN_RESERVATION_DELAY = 0.3  # seconds after which a reservation with no prefill in flight is answered
RESERVATION_GRANT_SHARE = 0.7  # of the reservations for which a prefill is in flight
ORPHANED_PREFILL_LIMIT = 0.4  # seconds that a prefill goes on at most after its connection was reset
CHAT_PATH = "/v1/chat"
ATTEMPT = re.compile(
    rb"POST /v1/chat[^\r\n]*\r\n(?:[^\r\n]+\r\n)*?X-Correlation-Id: ([^\r\n]+)\r\n", re.IGNORECASE
)
TIME_REMAINING = re.compile(rb"X-Time-Left-Ms: (\d+)", re.IGNORECASE)
MALFORMED_RESPONSE = b"\x00\xffnoise" * 9 + b"\r\n\r\n"
MALFORMED_CHUNK = b"no size\r\n"
INTERNAL_ERROR = message("HTTP/1.1 500 Internal Server Error")


class EndpointBehaviour(Enum):
    """How an endpoint answers attempts at present."""

    NORMAL = auto()
    HANGING = auto()  # accepts what comes and answers nothing
    OVERLOADED = auto()  # rejects everything
    FAILING = auto()  # answers 500
    RESETTING = auto()  # resets the connection of a prefill, which goes on, or cuts a stream
    MALFORMED = auto()  # answers what cannot be parsed
    FROZEN = auto()  # its machine acknowledges what comes, and its process reads nothing
    TRUNCATING = auto()  # sends the head of a prefill's answer, and never ends its body
    MUTE = auto()  # does all that is asked, and answers nothing


GRANTING_BEHAVIOURS = (EndpointBehaviour.NORMAL, EndpointBehaviour.HANGING, EndpointBehaviour.MUTE)


class EmulatedEndpoint:
    """One model server, which reports what it does to the oracle."""

    def __init__(self, oracle: Oracle, name: str, kind: str, rng: random.Random) -> None:
        self.name = name
        self.kind = kind
        self.address = ""
        self.accepted_connections = 0
        self._oracle = oracle
        self._rng = rng
        self._behaviour = EndpointBehaviour.NORMAL
        self._responsive = asyncio.Event()  # cleared while it hangs
        self._responsive.set()
        self._reading = asyncio.Event()  # cleared while it is frozen
        self._reading.set()
        self._slow_start: SlowStartCheck | None = None
        self._tasks = BackgroundTasks()
        self._proxy: FaultProxy | None = None
        self._server: asyncio.Server | None = None

    @property
    def proxy(self) -> FaultProxy:
        """Return the proxy before it; raise a RuntimeError where it was started without one."""
        if self._proxy is None:
            raise RuntimeError(f"endpoint {self.name}: started without a fault proxy")
        return self._proxy

    async def start(self, behind_proxy: bool = True) -> None:
        """Listen, behind a proxy where network faults are to be injected."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        if behind_proxy:
            self._proxy = FaultProxy((host, port), self._report_attempts)
            await self._proxy.listen()
            self.address = self._proxy.address

    async def stop(self) -> None:
        """End its connections and tasks."""
        if self._server is not None:
            self._server.close()
        self._responsive.set()
        self._reading.set()
        if self._proxy is not None:
            await self._proxy.close()
        self._tasks.cancel()

    def entry(self, since_ms: int = 0, status: str = READY) -> RegistryEntry:
        """Return its entry in discovery's list; `since_ms` is its start time, in Unix milliseconds."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": "z",
            "type": self.kind,
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }

    def set_behaviour(self, behaviour: EndpointBehaviour) -> None:
        """Change how attempts are answered from now on."""
        self._behaviour = behaviour
        _set_or_clear(self._responsive, behaviour is not EndpointBehaviour.HANGING)
        _set_or_clear(self._reading, behaviour is not EndpointBehaviour.FROZEN)

    def begin_slow_start(self, slow_start: SlowStart) -> None:
        """Check its calls against the budget of slow start from now on."""
        self._slow_start = SlowStartCheck(self.name, slow_start, self._oracle.clock, self._oracle.violations)

    def _report_attempts(self, data: bytes) -> None:
        """Report the attempts whose first bytes are in some data to the oracle."""
        for attempt in ATTEMPT.finditer(data):
            header = TIME_REMAINING.search(data, attempt.start())
            time_remaining = int(header[1]) / 1000 if header else None
            self._oracle.attempts.attempt_started(attempt[1].decode(), self.name, time_remaining)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls on one connection."""
        self.accepted_connections += 1
        try:
            while (call := await read_message(reader)) is not None:
                await self._reading.wait()
                if call.path.startswith(CHAT_PATH) and reader.at_eof():
                    return  # given up while it was not read
                await self._answer(call, reader, writer)
                if writer.is_closing():
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(
        self, call: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call."""
        request_id = call.headers.get("x-correlation-id", call.path.rpartition("/")[2])
        if call.method == "DELETE":
            self._oracle.leases.release_received(request_id)
            await self._withhold_answer()
            writer.write(message("HTTP/1.1 204 No Content"))
        elif call.path.startswith("/v1/holds/"):
            await self._reserve(request_id, writer)
        elif request_id not in self._oracle.traffic.requests:
            writer.write(message("HTTP/1.1 400 Bad Request"))
        elif self._behaviour is EndpointBehaviour.OVERLOADED:
            writer.write(message("HTTP/1.1 503 Service Unavailable", X_Unprocessed=1))
        elif self.kind == "prefill":
            await self._prefill(request_id, reader, writer)
        else:
            await self._decode(request_id, reader, writer)

    async def _reserve(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Reserve capacity if some is free, and answer whether it is for a prefill in flight."""
        known = self._oracle.traffic.requests[request_id].prefills > 0
        may_grant = self._behaviour in GRANTING_BEHAVIOURS
        granted = may_grant and self._rng.random() < RESERVATION_GRANT_SHARE
        if granted:
            self._oracle.leases.acquired(request_id, LeasedResource(ResourceKind.RESERVATION, self.name))
        if self._behaviour is EndpointBehaviour.HANGING:
            await self._responsive.wait()
        await self._withhold_answer()
        if not known:
            await asyncio.sleep(UNKNOWN_RESERVATION_DELAY)
            writer.write(message("HTTP/1.1 204 No Content"))
        elif granted:
            writer.write(message("HTTP/1.1 200 OK"))
        else:
            writer.write(message("HTTP/1.1 409 Conflict"))

    async def _work(self, duration: tuple[float, float], reader: asyncio.StreamReader) -> bool:
        """Work for a time; return whether that ended before the router gave the attempt up."""
        working = asyncio.ensure_future(self._work_uninterrupted(duration))
        disconnected = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({working, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        completed = working.done()
        working.cancel()
        if not disconnected.done():
            disconnected.cancel()
        await asyncio.wait({working, disconnected})
        return completed

    async def _work_uninterrupted(self, duration: tuple[float, float]) -> None:
        """Work for a time that is drawn between two, and for as long as the endpoint hangs."""
        await asyncio.sleep(self._rng.uniform(*duration))
        await self._responsive.wait()

    async def _prefill(
        self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Prefill a prompt and leave its KV state."""
        self._check_slow_start(request_id)
        executions = self._oracle.executions
        executions.prefill_started(request_id, self.name)
        if self._behaviour is EndpointBehaviour.RESETTING:
            executions.prefill_ended(request_id, self.name, left_state=False)
            writer.transport.abort()
            self._tasks.spawn(self._finish_orphaned_prefill(request_id))
            return
        completed = await self._work(PREFILL_DURATION, reader)
        if self._behaviour in (EndpointBehaviour.FAILING, EndpointBehaviour.MALFORMED):
            executions.prefill_ended(request_id, self.name, left_state=False)
            failing = self._behaviour is EndpointBehaviour.FAILING
            writer.write(INTERNAL_ERROR if failing else MALFORMED_RESPONSE)
            return
        if completed:
            await self._until_answer_arrives(reader)
        executions.prefill_ended(request_id, self.name, left_state=completed)
        await self._withhold_answer()
        if completed:
            answer = message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}')
            is_truncated = self._behaviour is EndpointBehaviour.TRUNCATING
            writer.write(answer[:-1] if is_truncated else answer)
        else:
            writer.close()

    async def _until_answer_arrives(self, reader: asyncio.StreamReader) -> None:
        """Wait until the router can get an answer, or gives the attempt up: till then it is in flight."""
        if self._behaviour is EndpointBehaviour.MUTE:
            await _until_disconnected(reader)
        elif self._proxy is not None:
            passing = asyncio.ensure_future(self._proxy.wait_until_responses_pass())
            disconnected = asyncio.ensure_future(_until_disconnected(reader))
            waiting = {passing, disconnected}
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for task in waiting:
                task.cancel()
            await asyncio.wait(waiting)

    async def _withhold_answer(self) -> None:
        """Keep an answer back for good while answers are lost."""
        if self._behaviour is EndpointBehaviour.MUTE:
            await asyncio.Event().wait()

    async def _finish_orphaned_prefill(self, request_id: str) -> None:
        """End a prefill whose connection was reset; its KV state is leased like any other."""
        await asyncio.sleep(self._rng.uniform(0, ORPHANED_PREFILL_LIMIT))
        self._oracle.leases.acquired(request_id, LeasedResource(ResourceKind.KV_STATE, self.name))

    async def _decode(
        self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Stream an answer for a request whose KV state waits, or that a mixed endpoint prefills itself."""
        self._check_slow_start(request_id)
        if self.kind != "mixed" and not self._oracle.leases.has_kv_state(request_id):
            writer.write(message("HTTP/1.1 410 Gone", X_Unprocessed=1))
            return
        self._oracle.executions.decode_started(request_id, self.name)
        stream_began = False
        try:
            queues = self._rng.random() < QUEUEING_SHARE
            completed = await self._work(QUEUEING_DELAY if queues else FIRST_TOKEN_DELAY, reader)
            if not completed:
                writer.close()
            elif self._behaviour is EndpointBehaviour.MUTE:
                await _until_disconnected(reader)
                writer.close()
            elif self._behaviour is EndpointBehaviour.FAILING:
                writer.write(INTERNAL_ERROR)
            else:
                stream_began = True
                self._oracle.executions.first_token_written(request_id)
                await self._stream(reader, writer)
        finally:
            self._oracle.executions.decode_ended(request_id, stream_began)

    def _check_slow_start(self, request_id: str) -> None:
        """Check a call against the budget of slow start, if the endpoint has one."""
        if self._slow_start is not None:
            self._slow_start.call_received(request_id)

    async def _stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Write an answer's events, each with the time of its writing, and its end, until it is given up."""
        writer.write(STREAM_HEAD)
        for _ in range(EVENT_COUNT):
            written_at = self._oracle.clock.now
            writer.write(chunk(b'data: {"by":"%s","at":%.6f}\n\n' % (self.name.encode(), written_at)))
            await asyncio.sleep(EVENT_INTERVAL)
            if reader.at_eof() or reader.exception() is not None:
                writer.close()
                return
            if self._behaviour is EndpointBehaviour.RESETTING:
                writer.transport.abort()
                return
            if self._behaviour is EndpointBehaviour.MALFORMED:
                writer.write(MALFORMED_CHUNK)
                return
        writer.write(chunk(b"data: [DONE]\n\n") + LAST_CHUNK)


async def _until_disconnected(reader: asyncio.StreamReader) -> None:
    """Wait until the router gives up an attempt, by an end of its connection or a reset."""
    with suppress(ConnectionError):
        await reader.read(1)


def _set_or_clear(event: asyncio.Event, is_set: bool) -> None:
    """Set an event, or clear it."""
    if is_set:
        event.set()
    else:
        event.clear()
