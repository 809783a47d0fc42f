"""Emulate the clients of a router: patient clients, clients that disconnect, and malformed requests."""

from __future__ import annotations

import asyncio
import random
import re
from contextlib import suppress
from dataclasses import dataclass
from itertools import count

from llm_router.emulator.background_tasks import BackgroundTasks
from llm_router.emulator.http import Message, message, read_head
from llm_router.emulator.oracle import Idempotency, Oracle
from llm_router.emulator.router_process import RouterProcess

BODY = b'{"stream":true,"max_tokens":20,"messages":[]}'
TIME_REMAINING_MS = (250, 900, 2500, 4000, 8000)  # milliseconds that a client waits for the final answer
DISCONNECT_AFTER = (0.0, 0.005, 0.03, 0.12, 0.4)  # seconds from the end of the request to the disconnect
DISCONNECTING_SHARE = 0.2  # probability that a client may disconnect before the end of the response
RESETTING_SHARE = 0.3  # probability that a disconnect is a connection reset
SLOW_SHARE = 0.05  # probability that a client writes its request in two parts
NEW_CONNECTION_SHARE = 0.6  # probability of a new connection although an idle connection is available
MALFORMED_SHARE = 0.05  # probability that a client sends a malformed request
SLOW_PREFIX = 40  # bytes in the first part of a request that is written in two parts
SLOW_LIMIT = 0.3  # maximum seconds between the two parts of a request
CONNECT_TIMEOUT = 1.0  # seconds
ANSWER_GRACE = 3.0  # seconds that a client waits for the response after its deadline
KILL_GRACE = 0.2  # seconds to wait before checking whether a kill ended the router process
MALFORMED_ANSWER_LIMIT = 3.5  # seconds within which a router must answer or close after a malformed request
EVENT_PATTERN = re.compile(rb'"by":"(\w+)","at":([0-9.]+)')
MALFORMED_REQUESTS = (
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 20,
    b"GET " + b"x" * 70_000,
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n",
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nhalf",
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n\r\n",
    b"\r\n" * 40,
    b"",
)


class NoResponseError(ConnectionError):
    """Raised if a connection ends before a response head arrives."""


@dataclass(slots=True)
class Connection:
    """A client's connection; `reusable` tells whether it may carry another request."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    reusable: bool = False


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """One encoded request of a client."""

    id: str
    data: bytes
    time_remaining: float  # seconds that the client waits for the final answer


class LoadGenerator:
    """The emulated clients of one router."""

    def __init__(
        self, oracle: Oracle, router: RouterProcess, classes: dict[str, Idempotency], seed: int
    ) -> None:
        self._oracle = oracle
        self._router = router
        self._classes = classes
        self._rng = random.Random(seed)
        self._request_numbers = count()
        self._idle: list[Connection] = []
        self._tasks = BackgroundTasks()

    async def generate(self, rate: float) -> None:
        """Start `rate` clients per second on average while the router is ready, until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(rate))
            if not self._router.ready:
                self._use_idle_or_close()
                continue
            is_malformed = self._rng.random() < MALFORMED_SHARE
            self._tasks.spawn(self._send_malformed() if is_malformed else self._send_request())

    async def open_idle_connections(self, size: int) -> None:
        """Open `size` connections that stay idle until the router closes them."""
        for _ in range(size):
            connection = await self._connect()
            if connection is not None:
                self._tasks.spawn(self._wait_for_close(connection))

    async def _wait_for_close(self, connection: Connection) -> None:
        """Keep a connection idle until the router closes it."""
        with suppress(OSError):
            await connection.reader.read()
        connection.writer.close()

    def _use_idle_or_close(self) -> None:
        """Send a request on an idle connection of a router that is shutting down.

        If the router has ended, or was not sent SIGTERM, close all idle connections instead."""
        if not self._router.is_running or self._router.terminated_at is None:
            self._close_idle()
        elif self._idle:
            self._tasks.spawn(self._send_on(self._idle.pop()))

    def _close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().writer.close()

    async def _connect(self) -> Connection | None:
        """Open a connection to the router; return None if that fails."""
        host, port = self._router.listen.split(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                return Connection(*await asyncio.open_connection(host, int(port)))
        except (OSError, TimeoutError):
            return None

    def _draw_request(self) -> ClientRequest:
        """Create a random request, and report it to the oracle."""
        rng = self._rng
        class_name = rng.choice(list(self._classes))
        time_remaining_ms = rng.choice(TIME_REMAINING_MS)
        request_id = f"{self._router.name}-{next(self._request_numbers)}"
        lengths = f"prompt_len={rng.randrange(50, 4000)},max_out=20,prefix_len=40"
        data = message(
            "POST /v1/chat/completions HTTP/1.1",
            BODY,
            Host="h",
            X_Correlation_Id=request_id,
            X_Service_Class=class_name,
            X_Session_Key=f"s{rng.randrange(50)}",
            X_Time_Left_Ms=time_remaining_ms,
            X_Facts=f"{lengths},prefix=p{rng.randrange(8)}",
        )
        self._oracle.clients.request_started(request_id, self._router.name, self._classes[class_name])
        return ClientRequest(request_id, data, time_remaining_ms / 1000)

    async def _send_request(self) -> None:
        """Send one request on an idle or new connection, and wait for the response."""
        idle = self._take_idle()
        connection = idle or await self._connect()
        if connection is not None:
            await self._send_on(connection, may_retry=idle is not None)

    async def _send_on(self, connection: Connection, may_retry: bool = True) -> None:
        """Send one request on a connection, and wait for the response."""
        request = self._draw_request()
        process = self._router.process
        try:
            await self._exchange_with_retry(request, connection, may_retry)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            await self._check_unanswered(request.id, process, error)

    def _take_idle(self) -> Connection | None:
        """Take an idle connection; return None if there is none or the client draws a new connection."""
        if self._idle and self._rng.random() > NEW_CONNECTION_SHARE:
            return self._idle.pop()
        return None

    async def _exchange_with_retry(
        self, request: ClientRequest, connection: Connection, may_retry: bool
    ) -> None:
        """Send a request and receive the response.

        If an idle connection has become stale, the request is sent again on a new connection."""
        try:
            await self._exchange(request, connection)
            return
        except NoResponseError:
            if not may_retry:
                raise
        new_connection = await self._connect()
        if new_connection is None:
            self._oracle.clients.request_abandoned(request.id)
            return
        await self._exchange(request, new_connection)

    async def _check_unanswered(
        self, request_id: str, process: asyncio.subprocess.Process, error: Exception
    ) -> None:
        """Report a request without a complete response, unless the end of the router excuses it."""
        written_at = self._oracle.traffic.requests[request_id].written_at
        crossed_close = isinstance(error, NoResponseError) and self._router.may_close_unread(written_at)
        if crossed_close and self._router.process is process:
            self._oracle.clients.request_abandoned(request_id)
            return
        await asyncio.sleep(KILL_GRACE)
        was_killed = process.returncode is not None and process.returncode < 0
        if not was_killed or self._must_have_been_answered(request_id, process):
            self._oracle.clients.closed_unanswered(request_id, f"no complete response: {error!r}")
        else:
            self._oracle.clients.request_abandoned(request_id)

    def _must_have_been_answered(self, request_id: str, process: asyncio.subprocess.Process) -> bool:
        """Return whether the router had to answer a request before a planned restart killed it."""
        record = self._oracle.traffic.requests[request_id]
        if record.deadline is None or self._router.process is not process:
            return False
        return self._router.must_answer_before_kill(record.written_at, record.deadline)

    async def _exchange(self, request: ClientRequest, connection: Connection) -> None:
        """Send one request and receive the response, then keep the connection for reuse or close it."""
        connection.reusable = False
        try:
            await self._write(request.data, connection.writer)
            self._oracle.clients.request_written(request.id, request.time_remaining)
            connection.reusable = await self._await_response(request, connection)
        finally:
            if connection.reusable:
                self._idle.append(connection)
            else:
                connection.writer.close()

    async def _await_response(self, request: ClientRequest, connection: Connection) -> bool:
        """Receive the response or disconnect first; return whether the connection is reusable."""
        if self._rng.random() < DISCONNECTING_SHARE:
            disconnect_after = self._rng.choice(DISCONNECT_AFTER)
            return await self._receive_or_disconnect(request, connection, disconnect_after)
        async with asyncio.timeout(request.time_remaining + ANSWER_GRACE):
            response = await self._receive(request.id, connection.reader)
        return response.headers.get("connection", "") != "close"

    async def _write(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Write a request, sometimes in two parts with a pause."""
        if self._rng.random() >= SLOW_SHARE:
            writer.write(data)
            return
        writer.write(data[:SLOW_PREFIX])
        await asyncio.sleep(self._rng.uniform(0, SLOW_LIMIT))
        writer.write(data[SLOW_PREFIX:])

    async def _receive_or_disconnect(
        self, request: ClientRequest, connection: Connection, disconnect_after: float
    ) -> bool:
        """Receive the response, or disconnect after a time; return whether the connection is reusable."""
        try:
            async with asyncio.timeout(disconnect_after):
                await self._receive(request.id, connection.reader)
        except TimeoutError:
            self._oracle.clients.client_disconnected(request.id)
            if self._rng.random() < RESETTING_SHARE:
                connection.writer.transport.abort()
            return False
        return True

    async def _receive(self, request_id: str, reader: asyncio.StreamReader) -> Message:
        """Receive a response to its end.

        The final answer is reported to the oracle when the response head arrives."""
        head = await read_head(reader)
        if head is None:
            raise NoResponseError("connection closed before a response head")
        self._oracle.clients.response_received(request_id, head.status)
        if head.headers.get("transfer-encoding") != "chunked":
            await reader.readexactly(int(head.headers.get("content-length", 0)))
            return head
        is_complete = False
        try:
            await self._receive_events(request_id, reader)
            is_complete = True
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            self._oracle.traffic.counts["streams cut"] += 1
            return head._replace(headers={"connection": "close"})
        finally:
            self._oracle.clients.stream_ended(request_id, is_complete=is_complete)
        return head

    async def _receive_events(self, request_id: str, reader: asyncio.StreamReader) -> None:
        """Receive the chunks of a stream to its last one, and report each event to the oracle."""
        while size := int(await reader.readline(), 16):
            data = await reader.readexactly(size + 2)
            for endpoint, written_at in EVENT_PATTERN.findall(data):
                self._oracle.clients.event_received(request_id, endpoint.decode(), float(written_at))
        await reader.readline()

    async def _send_malformed(self) -> None:
        """Send a malformed request; count it if the router neither answers nor closes in time."""
        connection = await self._connect()
        if connection is None:
            return
        process = self._router.process
        try:
            connection.writer.write(self._rng.choice(MALFORMED_REQUESTS))
            async with asyncio.timeout(MALFORMED_ANSWER_LIMIT + self._oracle.clock.scheduling_delay):
                await connection.reader.read(100)
        except TimeoutError:
            same_process = self._router.process is process and process.returncode is None
            if same_process and self._router.ready:
                self._oracle.traffic.counts["malformed requests unanswered"] += 1
        except ConnectionError:
            pass
        finally:
            connection.writer.close()
