"""Clients of conductors: usual ones, ones that leave, and ones that send what cannot be read."""

from __future__ import annotations

import asyncio
import random
import re
from dataclasses import dataclass
from itertools import count

from llm_router.emulator.conductors import Conductor
from llm_router.emulator.http import Message, message, read_head
from llm_router.emulator.oracle import Effect, Oracle

BODY = b'{"stream":true,"max_tokens":20,"messages":[]}'
PATIENCE_MS = (250, 900, 2500, 4000)
LEAVE_AFTER = (0.0, 0.005, 0.03, 0.12, 0.4)  # seconds
LEAVING, RESETTING, SLOW, ANEW = 0.2, 0.3, 0.05, 0.6  # shares of clients
SPLIT = 40  # bytes of a request that a slow client writes first
ENDS_BY = 3.0  # seconds beyond its patience in which a request is watched for its answer
EVENT_AT = re.compile(rb'"by":"(\w+)","at":([0-9.]+)')
BAD = (
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 20,
    b"GET " + b"x" * 70_000,
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n",
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nhalf",
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n\r\n",
    b"\r\n" * 40,
    b"",
)


class NoAnswer(ConnectionError):
    """A connection ended before the first byte of an answer."""


@dataclass(slots=True)
class Connection:
    """A client's connection, and whether a further request may be sent on it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    reusable: bool = False


class Clients:
    """All clients of one conductor."""

    def __init__(self, oracle: Oracle, conductor: Conductor, classes: dict[str, Effect], seed: int) -> None:
        self.oracle, self.conductor, self.classes = oracle, conductor, classes
        self.rng = random.Random(seed)
        self.numbers = count()
        self.idle: list[Connection] = []
        self.tasks: set[asyncio.Task] = set()

    async def arrive(self, rate: float) -> None:
        """Let clients come, so many a second in the mean, while the conductor is ready."""
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            if not self.conductor.ready:
                self.drop_idle()
                continue
            work = self.misbehave() if self.rng.random() < 0.05 else self.ask()
            task = asyncio.ensure_future(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def drop_idle(self) -> None:
        """Close the connections that are kept."""
        while self.idle:
            self.idle.pop().writer.close()

    async def connect(self) -> Connection | None:
        """Open a connection; None where none comes up."""
        host, port = self.conductor.listen.split(":")
        try:
            async with asyncio.timeout(1):
                return Connection(*await asyncio.open_connection(host, int(port)))
        except (OSError, TimeoutError):
            return None

    def draw_request(self, id: str, name: str, patience_ms: int) -> bytes:
        """Give a request of a class."""
        rng = self.rng
        lengths = f"prompt_len={rng.randrange(50, 4000)},max_out=20,prefix_len=40"
        return message(
            "POST /v1/chat/completions HTTP/1.1",
            BODY,
            Host="h",
            X_Correlation_Id=id,
            X_Service_Class=name,
            X_Session_Key=f"s{rng.randrange(50)}",
            X_Time_Left_Ms=patience_ms,
            X_Facts=f"{lengths},prefix=p{rng.randrange(8)}",
        )

    async def ask(self) -> None:
        """Send one request and see to its end.

        One that crosses the end of a connection that was kept is sent once more on a new one."""
        rng = self.rng
        kept = self.idle.pop() if self.idle and rng.random() > ANEW else None
        connection = kept or await self.connect()
        if connection is None:
            return
        name, patience_ms = rng.choice(list(self.classes)), rng.choice(PATIENCE_MS)
        id = f"{self.conductor.name}-{next(self.numbers)}"
        request = self.draw_request(id, name, patience_ms)
        self.oracle.asks(id, self.conductor.name, self.classes[name])
        process = self.conductor.process
        try:
            try:
                await self.play(id, connection, request, patience_ms / 1000)
            except NoAnswer:
                if kept is None:
                    raise
                connection.writer.close()
                if (connection := await self.connect()) is None:
                    self.oracle.requests[id].gone_at = self.oracle.now
                    return
                await self.play(id, connection, request, patience_ms / 1000)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            await self.judge_end(id, process, error)
        if connection is not None and not connection.reusable:
            connection.writer.close()

    async def judge_end(self, id: str, process: asyncio.subprocess.Process, error: Exception) -> None:
        """Judge a connection that ended with no answer, unless we have killed its conductor."""
        await asyncio.sleep(0.2)  # a kill of ours may be under way
        if process.returncode is None or process.returncode >= 0:
            self.oracle.closed_unanswered(id, f"its connection ended: {error!r}")
        else:
            self.oracle.requests[id].gone_at = self.oracle.now

    async def play(self, id: str, connection: Connection, request: bytes, patience: float) -> None:
        """Write a request and wait for its answer, or leave before it."""
        rng, writer = self.rng, connection.writer
        connection.reusable = False
        if rng.random() < SLOW:
            writer.write(request[:SPLIT])
            await asyncio.sleep(rng.uniform(0, 0.3))
            writer.write(request[SPLIT:])
        else:
            writer.write(request)
        self.oracle.taken(id, patience)
        leaves = rng.choice(LEAVE_AFTER) if rng.random() < LEAVING else None
        connection.reusable = await self.see_out(id, connection.reader, writer, patience, leaves)
        if connection.reusable:
            self.idle.append(connection)

    async def see_out(
        self,
        id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        patience: float,
        leaves: float | None,
    ) -> bool:
        """Wait for the answer, or leave before it; tell whether the connection may be used again."""
        if leaves is not None:
            try:
                async with asyncio.timeout(leaves):
                    await self.take_answer(id, reader)
            except TimeoutError:
                self.oracle.leaves(id)
                if self.rng.random() < RESETTING:
                    writer.transport.abort()
                return False
            return True
        async with asyncio.timeout(patience + ENDS_BY):
            answer = await self.take_answer(id, reader)
        return answer.headers.get("connection", "") != "close"

    async def take_answer(self, id: str, reader: asyncio.StreamReader) -> Message:
        """Take an answer to its end; its final answer counts from its head."""
        head = await read_head(reader)
        if head is None:
            raise NoAnswer("no answer")
        self.oracle.answers(id, head.status)
        if head.headers.get("transfer-encoding") != "chunked":
            await reader.readexactly(int(head.headers.get("content-length", 0)))
            return head
        try:
            while size := int(await reader.readline(), 16):
                data = await reader.readexactly(size + 2)
                for endpoint, at in EVENT_AT.findall(data):
                    self.oracle.event_came(id, endpoint.decode(), float(at))
            await reader.readline()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            self.oracle.counts["streams cut"] += 1
            return head._replace(headers={"connection": "close"})
        return head

    async def misbehave(self) -> None:
        """Send what cannot be read; an error or a close is owed within three seconds."""
        connection = await self.connect()
        if connection is None:
            return
        reader, writer = connection.reader, connection.writer
        process = self.conductor.process
        try:
            writer.write(self.rng.choice(BAD))
            async with asyncio.timeout(3 + 0.5 + self.oracle.lag):
                await reader.read(100)
        except TimeoutError:
            if self.conductor.process is process and process.returncode is None and self.conductor.ready:
                self.oracle.counts["bad clients unanswered"] += 1
        except ConnectionError:
            pass
        finally:
            writer.close()
