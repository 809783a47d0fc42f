"""Prefill and decode endpoints over real sockets, each behind a fault proxy; the oracle judges what comes."""

from __future__ import annotations

import asyncio
import random
import re
from collections import deque
from enum import Enum, auto

from llm_router.emulator.http import LAST_CHUNK, STREAM_HEAD, Message, chunk, message, read_message
from llm_router.emulator.oracle import Oracle, Rule, slow_start_budget
from llm_router.emulator.proxy import FaultProxy

READ_TIME = (0.005, 0.06)  # seconds that a prefill takes, drawn evenly
FIRST_TOKEN = (0.005, 0.05)  # seconds to a decode attempt's first token
EVENTS, EVENT_GAP = 6, 0.02  # of an answer, and seconds between two
UNKNOWN_AFTER = 0.3  # seconds after which a reservation with no read out is answered
GRANTED = 0.7  # of the reservations for which a read is out
READS_ON = 0.4  # seconds that a prefill goes on after its connection broke, at most
ATTEMPT = re.compile(
    rb"POST /v1/chat[^\r\n]*\r\n(?:[^\r\n]+\r\n)*?X-Correlation-Id: ([^\r\n]+)\r\n", re.IGNORECASE
)
TIME_LEFT = re.compile(rb"X-Time-Left-Ms: (\d+)", re.IGNORECASE)


class Mood(Enum):
    """How an endpoint answers attempts at present."""

    WELL = auto()
    HANGS = auto()  # takes what comes and answers nothing
    FULL = auto()  # turns everything away
    FAILS = auto()  # answers 500
    BREAKS = auto()  # resets the connection of a prefill, which goes on, or cuts a stream
    SPOILS = auto()  # answers what cannot be read


class Endpoint:
    """One stand-in server."""

    def __init__(self, oracle: Oracle, name: str, kind: str, rng: random.Random) -> None:
        self.oracle, self.name, self.kind, self.rng = oracle, name, kind, rng
        self.mood = Mood.WELL
        self.recovered = asyncio.Event()  # set while it does not hang
        self.recovered.set()
        self.cold_until = 0.0  # the oracle's time
        self.allowed: float | None = None  # calls that its settings allow while it is cold, in `fall` seconds
        self.fall = 0.0
        self.came: deque[float] = deque()
        self.background: set[asyncio.Task] = set()
        self.proxy: FaultProxy | None = None
        self.address = ""
        self.connections = 0  # that were made to it

    async def start(self, behind_proxy: bool = True) -> None:
        """Listen, behind a proxy where faults of the network are to be played."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        if behind_proxy:
            self.proxy = FaultProxy((host, port), self.note_attempts)
            await self.proxy.listen()
            self.address = self.proxy.address

    async def stop(self) -> None:
        """End all."""
        self.server.close()
        self.recovered.set()
        if self.proxy is not None:
            await self.proxy.close()
        for task in list(self.background):
            task.cancel()

    def entry(self, since_ms: int = 0, status: str = "Ready") -> dict[str, object]:
        """Give its entry in discovery's list."""
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

    def set_mood(self, mood: Mood) -> None:
        """Change how attempts are answered from now on."""
        self.mood = mood
        if mood is Mood.HANGS:
            self.recovered.clear()
        else:
            self.recovered.set()

    def note_attempts(self, data: bytes) -> None:
        """Tell the oracle of attempts by their first bytes."""
        for found in ATTEMPT.finditer(data):
            left = TIME_LEFT.search(data, found.start())
            time_left = int(left[1]) / 1000 if left else None
            self.oracle.begins(found[1].decode(), self.name, time_left)

    def note_cold(self, id: str) -> None:
        """Judge the budget of slow start over the time that settings name."""
        now = self.oracle.now
        if self.allowed is None or now > self.cold_until:
            return
        self.came.append(now)
        while self.came[0] < now - self.fall:
            self.came.popleft()
        if len(self.came) > slow_start_budget(self.allowed):
            self.oracle.broken(
                Rule.FAILBACK, self.name, f"{len(self.came)} calls in {self.fall} s, last {id}"
            )
            self.came.clear()

    def spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls on one connection."""
        self.connections += 1
        try:
            while (call := await read_message(reader)) is not None:
                await self.answer(call, reader, writer)
                if writer.is_closing():
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.transport.abort()

    async def answer(self, call: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        id = call.headers.get("x-correlation-id", call.path.rpartition("/")[2])
        if call.method == "DELETE":
            self.oracle.releases(id)
            writer.write(message("HTTP/1.1 204 No Content"))
        elif call.path.startswith("/v1/holds/"):
            await self.reserve(id, writer)
        elif id not in self.oracle.requests:
            writer.write(message("HTTP/1.1 400 Bad Request"))
        elif self.mood is Mood.FULL:
            writer.write(message("HTTP/1.1 503 Service Unavailable", X_Unprocessed=1))
        elif self.kind == "prefill":
            await self.prefill(id, reader, writer)
        else:
            await self.decode(id, reader, writer)

    async def reserve(self, id: str, writer: asyncio.StreamWriter) -> None:
        """Hold a place, if one is free, and answer whether it is for a read that is out."""
        record = self.oracle.requests[id]
        known = record.reading > 0
        granted = self.mood is Mood.WELL and self.rng.random() < GRANTED
        if granted:
            self.oracle.holds(id, f"place at {self.name}")
        if self.mood is Mood.HANGS:
            await self.recovered.wait()
        if not known:
            await asyncio.sleep(UNKNOWN_AFTER)
        status = "200 OK" if known and granted else "409 Conflict" if known else "204 No Content"
        writer.write(message(f"HTTP/1.1 {status}"))

    async def works(self, span: tuple[float, float], reader: asyncio.StreamReader) -> bool:
        """Work for a while; tell whether that ended before the conductor gave the attempt up."""

        async def work() -> None:
            await asyncio.sleep(self.rng.uniform(*span))
            await self.recovered.wait()

        working, gone = asyncio.ensure_future(work()), asyncio.ensure_future(reader.read(1))
        await asyncio.wait({working, gone}, return_when=asyncio.FIRST_COMPLETED)
        ended = working.done()
        working.cancel()
        if not gone.done():
            gone.cancel()
        await asyncio.wait({working, gone})
        return ended

    async def prefill(self, id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read a prompt and leave its state."""
        self.note_cold(id)
        self.oracle.reads(id, self.name)
        if self.mood is Mood.BREAKS:
            self.oracle.read_ended(id, self.name, left=False)
            writer.transport.abort()
            self.spawn(self.read_on(id))
            return
        ended = await self.works(READ_TIME, reader)
        if self.mood in (Mood.FAILS, Mood.SPOILS):
            self.oracle.read_ended(id, self.name, left=False)
            spoilt = b"\x00\xffnoise" * 9 + b"\r\n\r\n"
            writer.write(message("HTTP/1.1 500 Internal Server Error") if self.mood is Mood.FAILS else spoilt)
            return
        self.oracle.read_ended(id, self.name, left=ended)
        if ended:
            writer.write(message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}'))
        else:
            writer.close()

    async def read_on(self, id: str) -> None:
        """End a read whose connection broke; its state is held like any other."""
        await asyncio.sleep(self.rng.uniform(0, READS_ON))
        self.oracle.holds(id, f"state at {self.name}")

    async def decode(self, id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Stream an answer for a state that waits."""
        self.note_cold(id)
        if not self.oracle.has_state(id):
            writer.write(message("HTTP/1.1 410 Gone", X_Unprocessed=1))
            return
        self.oracle.decodes(id, self.name)
        began = False
        try:
            ended = await self.works(FIRST_TOKEN, reader)
            if not ended:
                writer.close()
            elif self.mood is Mood.FAILS:
                writer.write(message("HTTP/1.1 500 Internal Server Error"))
            else:
                began = True
                self.oracle.first_token(id)
                await self.stream(writer)
        finally:
            self.oracle.decode_ended(id, began)

    async def stream(self, writer: asyncio.StreamWriter) -> None:
        """Write an answer's events, each with the time of its writing, and its end."""
        writer.write(STREAM_HEAD)
        for _ in range(EVENTS):
            writer.write(chunk(b'data: {"by":"%s","at":%.6f}\n\n' % (self.name.encode(), self.oracle.now)))
            await asyncio.sleep(EVENT_GAP)
            if self.mood is Mood.BREAKS:
                writer.transport.abort()
                return
            if self.mood is Mood.SPOILS:
                writer.write(b"no size\r\n")
                return
        writer.write(chunk(b"data: [DONE]\n\n") + LAST_CHUNK)
