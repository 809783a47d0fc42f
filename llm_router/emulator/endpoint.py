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

PREFILL_DURATION = (0.005, 0.06)  # range in seconds, uniform, of the duration of a prefill
FIRST_TOKEN_DELAY = (0.005, 0.05)  # range in seconds, uniform, from the start of a decode attempt
QUEUEING_SHARE = 0.1  # probability that a decode attempt waits in the endpoint's queue
QUEUEING_DELAY = (0.2, 1.5)  # range in seconds, uniform, from a queued decode attempt to its first token
EVENT_COUNT = 6  # events in a streamed response
EVENT_INTERVAL = 0.02  # seconds between two events
UNKNOWN_RESERVATION_DELAY = 0.3  # seconds before the response to a reservation without a prefill in flight
RESERVATION_GRANT_SHARE = 0.7  # probability that an endpoint has capacity for a reservation
ORPHANED_PREFILL_LIMIT = 0.4  # maximum seconds that a prefill continues after its connection was reset
CHAT_PATH = "/v1/chat"
ATTEMPT_HEAD = re.compile(
    rb"POST /v1/chat[^\r\n]*\r\n(?:[^\r\n]+\r\n)*?X-Correlation-Id: ([^\r\n]+)\r\n", re.IGNORECASE
)
TIME_REMAINING_HEADER = re.compile(rb"X-Time-Left-Ms: (\d+)", re.IGNORECASE)
MALFORMED_RESPONSE = b"\x00\xffnoise" * 9 + b"\r\n\r\n"
MALFORMED_CHUNK = b"no size\r\n"
FALSE_SIZE = b"c0000000\r\n"  # the size of a chunk of 3 GiB, which is never filled
FALSE_SIZE_SHARE = 0.5  # probability that a malformed stream goes on with events behind a false size
FALSE_CHUNK_EVENTS = 400  # maximum number of events in a chunk of a false size
INTERNAL_ERROR = message("HTTP/1.1 500 Internal Server Error")


class EndpointBehaviour(Enum):
    """A mode in which an endpoint handles its calls."""

    NORMAL = auto()  # Serves attempts and answers all calls.
    HANGING = auto()  # Accepts calls, and stalls attempts and reservations until the behaviour changes.
    OVERLOADED = auto()  # Answers 503 to each attempt.
    FAILING = auto()  # Answers 500 to each attempt.
    RESETTING = auto()  # Resets the connection of each attempt; a prefill continues without it.
    MALFORMED = auto()  # Sends bytes that cannot be parsed.
    FROZEN = auto()  # Processes no calls; the kernel still acknowledges the received bytes.
    TRUNCATING = auto()  # Sends a prefill response without the last byte of its body.
    MUTE = auto()  # Processes all calls, and sends no responses.


GRANTING_BEHAVIOURS = (EndpointBehaviour.NORMAL, EndpointBehaviour.HANGING, EndpointBehaviour.MUTE)


class EmulatedEndpoint:
    """An emulated model server that reports its calls and its work to the oracle."""

    def __init__(self, oracle: Oracle, name: str, kind: str, rng: random.Random) -> None:
        self.name = name
        self.kind = kind
        self.address = ""
        self.accepted_connections = 0
        self._oracle = oracle
        self._rng = rng
        self._behaviour = EndpointBehaviour.NORMAL
        self._responsive = asyncio.Event()  # Cleared while the behaviour is HANGING.
        self._responsive.set()
        self._reading = asyncio.Event()  # Cleared while the behaviour is FROZEN.
        self._reading.set()
        self._slow_start: SlowStartCheck | None = None
        self._tasks = BackgroundTasks()
        self._proxy: FaultProxy | None = None
        self._server: asyncio.Server | None = None

    @property
    def proxy(self) -> FaultProxy:
        """Return the fault proxy in front of the endpoint; raise a RuntimeError if there is none."""
        if self._proxy is None:
            raise RuntimeError(f"endpoint {self.name}: started without a fault proxy")
        return self._proxy

    async def start(self, behind_proxy: bool = True) -> None:
        """Start to listen, by default behind a proxy that can inject network faults."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        if behind_proxy:
            self._proxy = FaultProxy((host, port), self._report_attempts)
            await self._proxy.listen()
            self.address = self._proxy.address

    async def stop(self) -> None:
        """Stop listening, close the proxy and cancel the tasks."""
        if self._server is not None:
            self._server.close()
        self._responsive.set()
        self._reading.set()
        if self._proxy is not None:
            await self._proxy.close()
        self._tasks.cancel()

    def entry(self, since_ms: int = 0, status: str = READY) -> RegistryEntry:
        """Return the endpoint's entry for discovery; `since_ms` is its start time in Unix milliseconds."""
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
        """Change the way in which the endpoint handles its calls."""
        self._behaviour = behaviour
        _set_or_clear(self._responsive, behaviour is not EndpointBehaviour.HANGING)
        _set_or_clear(self._reading, behaviour is not EndpointBehaviour.FROZEN)

    def begin_slow_start(self, slow_start: SlowStart) -> None:
        """Start to check the endpoint's attempts against the budget of its slow start."""
        self._slow_start = SlowStartCheck(self.name, slow_start, self._oracle.clock, self._oracle.violations)

    def _report_attempts(self, data: bytes) -> None:
        """Find the heads of attempts in data from the proxy, and report each attempt to the oracle."""
        for attempt in ATTEMPT_HEAD.finditer(data):
            header = TIME_REMAINING_HEADER.search(data, attempt.start())
            time_remaining = int(header[1]) / 1000 if header else None
            self._oracle.attempts.attempt_started(attempt[1].decode(), self.name, time_remaining)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls on one connection until it ends."""
        self.accepted_connections += 1
        try:
            while (call := await read_message(reader)) is not None:
                await self._reading.wait()
                if call.path.startswith(CHAT_PATH) and reader.at_eof():
                    return  # The router closed the connection before the endpoint read the attempt.
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
        """Answer one call: a release, a reservation, or a prefill or decode attempt."""
        request_id = call.headers.get("x-correlation-id", call.path.rpartition("/")[2])
        if call.method == "DELETE":
            self._oracle.leases.release_received(request_id)
            await self._block_if_mute()
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
        """Reserve decode capacity with a fixed probability, and answer the reservation call.

        The response is 200 or 409 if the request has a prefill in flight, and a late 204 otherwise."""
        known = self._oracle.traffic.requests[request_id].prefills > 0
        may_grant = self._behaviour in GRANTING_BEHAVIOURS
        granted = may_grant and self._rng.random() < RESERVATION_GRANT_SHARE
        if granted:
            self._oracle.leases.acquired(request_id, LeasedResource(ResourceKind.RESERVATION, self.name))
        if self._behaviour is EndpointBehaviour.HANGING:
            await self._responsive.wait()
        await self._block_if_mute()
        if not known:
            await asyncio.sleep(UNKNOWN_RESERVATION_DELAY)
            writer.write(message("HTTP/1.1 204 No Content"))
        elif granted:
            writer.write(message("HTTP/1.1 200 OK"))
        else:
            writer.write(message("HTTP/1.1 409 Conflict"))

    async def _work_until_disconnected(
        self, duration: tuple[float, float], reader: asyncio.StreamReader
    ) -> bool:
        """Emulate work; return whether it completed before the router closed the attempt's connection."""
        working = asyncio.ensure_future(self._simulate_work(duration))
        disconnected = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({working, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        completed = working.done()
        working.cancel()
        if not disconnected.done():
            disconnected.cancel()
        await asyncio.wait({working, disconnected})
        return completed

    async def _simulate_work(self, duration: tuple[float, float]) -> None:
        """Sleep for a time drawn from the range, and then for as long as the endpoint is HANGING."""
        await asyncio.sleep(self._rng.uniform(*duration))
        await self._responsive.wait()

    async def _prefill(
        self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a prefill attempt; after a complete prefill, the endpoint holds the KV state."""
        self._check_slow_start(request_id)
        executions = self._oracle.executions
        executions.prefill_started(request_id, self.name)
        if self._behaviour is EndpointBehaviour.RESETTING:
            executions.prefill_ended(request_id, self.name, left_kv_state=False)
            writer.transport.abort()
            self._tasks.spawn(self._finish_orphaned_prefill(request_id))
            return
        completed = await self._work_until_disconnected(PREFILL_DURATION, reader)
        if self._behaviour in (EndpointBehaviour.FAILING, EndpointBehaviour.MALFORMED):
            executions.prefill_ended(request_id, self.name, left_kv_state=False)
            failing = self._behaviour is EndpointBehaviour.FAILING
            writer.write(INTERNAL_ERROR if failing else MALFORMED_RESPONSE)
            return
        if completed:
            await self._wait_until_response_passes(reader)
        executions.prefill_ended(request_id, self.name, left_kv_state=completed)
        await self._block_if_mute()
        if completed:
            answer = message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}')
            is_truncated = self._behaviour is EndpointBehaviour.TRUNCATING
            writer.write(answer[:-1] if is_truncated else answer)
        else:
            writer.close()

    async def _wait_until_response_passes(self, reader: asyncio.StreamReader) -> None:
        """Wait until a response can reach the router or the router closes the connection.

        The attempt counts as in flight until then."""
        if self._behaviour is EndpointBehaviour.MUTE:
            await _wait_for_disconnect(reader)
        elif self._proxy is not None:
            passing = asyncio.ensure_future(self._proxy.wait_until_responses_pass())
            disconnected = asyncio.ensure_future(_wait_for_disconnect(reader))
            waiting = {passing, disconnected}
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for task in waiting:
                task.cancel()
            await asyncio.wait(waiting)

    async def _block_if_mute(self) -> None:
        """Never return if the endpoint is MUTE, so that the caller sends no response."""
        if self._behaviour is EndpointBehaviour.MUTE:
            await asyncio.Event().wait()

    async def _finish_orphaned_prefill(self, request_id: str) -> None:
        """Complete a prefill whose connection was reset, and report the lease of its KV state."""
        await asyncio.sleep(self._rng.uniform(0, ORPHANED_PREFILL_LIMIT))
        self._oracle.leases.acquired(request_id, LeasedResource(ResourceKind.KV_STATE, self.name))

    async def _decode(
        self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a decode attempt; answer 410 if it needs KV state from a prefill and there is none.

        A mixed endpoint prefills the prompt itself, so it needs no KV state."""
        self._check_slow_start(request_id)
        if self.kind != "mixed" and not self._oracle.leases.has_kv_state(request_id):
            writer.write(message("HTTP/1.1 410 Gone", X_Unprocessed=1))
            return
        self._oracle.executions.decode_started(request_id, self.name)
        stream_began = False
        try:
            queues = self._rng.random() < QUEUEING_SHARE
            completed = await self._work_until_disconnected(
                QUEUEING_DELAY if queues else FIRST_TOKEN_DELAY, reader
            )
            if not completed:
                writer.close()
            elif self._behaviour is EndpointBehaviour.MUTE:
                await _wait_for_disconnect(reader)
                writer.close()
            elif self._behaviour is EndpointBehaviour.FAILING:
                writer.write(INTERNAL_ERROR)
            else:
                stream_began = True
                self._oracle.executions.first_token_written(request_id)
                await self._stream(request_id, reader, writer)
        finally:
            self._oracle.executions.decode_ended(request_id, stream_began)

    def _check_slow_start(self, request_id: str) -> None:
        """Check an attempt against the slow-start budget if the endpoint is in slow start."""
        if self._slow_start is not None:
            self._slow_start.attempt_received(request_id)

    async def _stream(
        self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Stream a response; stop early if the router disconnects or the behaviour breaks the stream."""
        self._oracle.clients.stream_started(request_id)
        writer.write(STREAM_HEAD)
        for _ in range(EVENT_COUNT):
            writer.write(chunk(self._event()))
            await asyncio.sleep(EVENT_INTERVAL)
            if _is_disconnected(reader):
                writer.close()
                return
            if self._behaviour is EndpointBehaviour.RESETTING:
                writer.transport.abort()
                return
            if self._behaviour is EndpointBehaviour.MALFORMED:
                self._oracle.clients.stream_malformed(request_id)
                await self._stream_malformed(reader, writer)
                return
        writer.write(chunk(b"data: [DONE]\n\n") + LAST_CHUNK)

    async def _stream_malformed(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a chunk without a size, or one of a false size with events until the router disconnects."""
        if self._rng.random() >= FALSE_SIZE_SHARE:
            writer.write(MALFORMED_CHUNK)
            return
        writer.write(FALSE_SIZE)
        for _ in range(FALSE_CHUNK_EVENTS):
            writer.write(self._event())
            await asyncio.sleep(EVENT_INTERVAL)
            if _is_disconnected(reader):
                break
        writer.close()

    def _event(self) -> bytes:
        """Return an event with the name of the endpoint and the time at which the event is written."""
        return b'data: {"by":"%s","at":%.6f}\n\n' % (self.name.encode(), self._oracle.clock.now)


def _is_disconnected(reader: asyncio.StreamReader) -> bool:
    """Return whether the router has closed or reset a connection."""
    return reader.at_eof() or reader.exception() is not None


async def _wait_for_disconnect(reader: asyncio.StreamReader) -> None:
    """Wait until the router closes or resets the connection of an attempt."""
    with suppress(ConnectionError):
        await reader.read(1)


def _set_or_clear(event: asyncio.Event, is_set: bool) -> None:
    """Set or clear an event according to `is_set`."""
    if is_set:
        event.set()
    else:
        event.clear()
