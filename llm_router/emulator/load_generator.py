"""Generate the traffic of a router's clients: usual ones, ones that disconnect, and malformed ones."""

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
TIME_REMAINING_MS = (250, 900, 2500, 4000, 8000)
DISCONNECT_AFTER = (0.0, 0.005, 0.03, 0.12, 0.4)  # seconds
DISCONNECTING_SHARE = 0.2  # of the clients
RESETTING_SHARE = 0.3  # of the clients that disconnect
SLOW_SHARE = 0.05  # of the clients: these write a request in two parts
NEW_CONNECTION_SHARE = 0.6  # of the requests for which an idle connection is there
MALFORMED_SHARE = 0.05  # of the clients
SLOW_PREFIX = 40  # bytes of a request that a slow client writes first
SLOW_LIMIT = 0.3  # seconds that a slow client waits at most between the parts
CONNECT_TIMEOUT = 1.0  # seconds
ANSWER_GRACE = 3.0  # seconds beyond its deadline for which an answer is awaited
KILL_GRACE = 0.2  # seconds in which a kill by the soak ends the process
MALFORMED_ANSWER_LIMIT = 3.5  # seconds in which a malformed request gets an error or a close
EVENT_MARK = re.compile(rb'"by":"(\w+)","at":([0-9.]+)')
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
    """A connection ended before the first byte of a response."""


@dataclass(slots=True)
class Connection:
    """A client's connection, and whether a further request may be sent on it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    reusable: bool = False


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """One request, as it is written."""

    id: str
    data: bytes
    time_remaining: float  # seconds that its client waits for the final answer


class LoadGenerator:
    """All clients of one router."""

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
        """Start clients while the router is ready, `rate` a second in the mean, until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(rate))
            if not self._router.ready:
                self._use_idle_or_close()
                continue
            is_malformed = self._rng.random() < MALFORMED_SHARE
            self._tasks.spawn(self._send_malformed() if is_malformed else self._send_request())

    async def open_idle_connections(self, size: int) -> None:
        """Open so many connections that stay idle until the router ends them."""
        for _ in range(size):
            connection = await self._connect()
            if connection is not None:
                self._tasks.spawn(self._wait_for_close(connection))

    async def _wait_for_close(self, connection: Connection) -> None:
        """Leave a connection idle until its other end closes it."""
        with suppress(OSError):
            await connection.reader.read()
        connection.writer.close()

    def _use_idle_or_close(self) -> None:
        """Send on an open connection of a router that is being stopped; close all once it has ended."""
        if not self._router.is_running or self._router.terminated_at is None:
            self._close_idle()
        elif self._idle:
            self._tasks.spawn(self._send_on(self._idle.pop()))

    def _close_idle(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().writer.close()

    async def _connect(self) -> Connection | None:
        """Open a connection; return None where it fails."""
        host, port = self._router.listen.split(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                return Connection(*await asyncio.open_connection(host, int(port)))
        except (OSError, TimeoutError):
            return None

    def _draw_request(self) -> ClientRequest:
        """Draw a request, and report it to the oracle."""
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
        """Send one request and wait for its end."""
        idle = self._take_idle()
        connection = idle or await self._connect()
        if connection is not None:
            await self._send_on(connection, may_retry=idle is not None)

    async def _send_on(self, connection: Connection, may_retry: bool = True) -> None:
        """Send one request on a connection, and wait for its end."""
        request = self._draw_request()
        process = self._router.process
        try:
            await self._exchange_with_retry(request, connection, may_retry)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            await self._check_unanswered(request.id, process, error)

    def _take_idle(self) -> Connection | None:
        """Return an idle connection, None where there is none or a new one is to be opened."""
        if self._idle and self._rng.random() > NEW_CONNECTION_SHARE:
            return self._idle.pop()
        return None

    async def _exchange_with_retry(
        self, request: ClientRequest, connection: Connection, may_retry: bool
    ) -> None:
        """Exchange a request, once more on a new connection where it crossed the end of an idle one."""
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
        """Report a connection that ended without an answer, unless the soak killed its router."""
        await asyncio.sleep(KILL_GRACE)
        was_killed = process.returncode is not None and process.returncode < 0
        if not was_killed or self._was_owed(request_id, process):
            self._oracle.clients.closed_unanswered(request_id, f"its connection ended: {error!r}")
        else:
            self._oracle.clients.request_abandoned(request_id)

    def _was_owed(self, request_id: str, process: asyncio.subprocess.Process) -> bool:
        """Return whether a planned restart killed a router that had to answer a request before."""
        record = self._oracle.traffic.requests[request_id]
        if record.deadline is None or self._router.process is not process:
            return False
        return self._router.owes_answer_at_kill(record.written_at, record.deadline)

    async def _exchange(self, request: ClientRequest, connection: Connection) -> None:
        """Exchange one request, then put its connection back or close it."""
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
        """Receive the response or disconnect before it; return whether the connection is reusable."""
        if self._rng.random() < DISCONNECTING_SHARE:
            disconnect_after = self._rng.choice(DISCONNECT_AFTER)
            return await self._receive_or_disconnect(request, connection, disconnect_after)
        async with asyncio.timeout(request.time_remaining + ANSWER_GRACE):
            response = await self._receive(request.id, connection.reader)
        return response.headers.get("connection", "") != "close"

    async def _write(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Write a request, a slow client's in two parts."""
        if self._rng.random() >= SLOW_SHARE:
            writer.write(data)
            return
        writer.write(data[:SLOW_PREFIX])
        await asyncio.sleep(self._rng.uniform(0, SLOW_LIMIT))
        writer.write(data[SLOW_PREFIX:])

    async def _receive_or_disconnect(
        self, request: ClientRequest, connection: Connection, disconnect_after: float
    ) -> bool:
        """Receive the answer, or disconnect after some seconds; return whether the connection is reusable."""
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
        """Receive an answer to its end; as a final answer it counts from its head."""
        head = await read_head(reader)
        if head is None:
            raise NoResponseError("no response")
        self._oracle.clients.response_received(request_id, head.status)
        if head.headers.get("transfer-encoding") != "chunked":
            await reader.readexactly(int(head.headers.get("content-length", 0)))
            return head
        try:
            while size := int(await reader.readline(), 16):
                data = await reader.readexactly(size + 2)
                for endpoint, written_at in EVENT_MARK.findall(data):
                    self._oracle.clients.event_received(request_id, endpoint.decode(), float(written_at))
            await reader.readline()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            self._oracle.traffic.counts["streams cut"] += 1
            return head._replace(headers={"connection": "close"})
        return head

    async def _send_malformed(self) -> None:
        """Send a malformed request, which must get an error or a close in time."""
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
