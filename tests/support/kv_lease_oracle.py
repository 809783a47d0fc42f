"""Stand-in endpoints that keep a record of what they hold, and judge the rule on held state by it alone.

The record follows the protocol page: a call counts from its last byte at an endpoint that runs; a prefill
that ends well leaves its state; a decode server takes all that is held with its first token; a release lets
go of what no attempt waits for. While no attempt is out, nothing may stay held for longer than the settings
say and 300 ms more. The program's own view is never asked."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from stand_ins import (
    DONE,
    EVENT,
    STREAM,
    chunk,
    message,
    read_message,
    registry_entry,
    running_router,
    within,
)

SLACK = 0.3  # seconds that state may be held beyond the settings' release time
UNKNOWN_AFTER = 0.3  # seconds after which a reservation with no read out is answered


@dataclass
class HeldForRequest:
    """What endpoints hold for one request, and the attempts of it that are out."""

    held: set[str] = field(default_factory=set)
    ever_held: set[str] = field(default_factory=set)
    answered: bool = False  # a decode server has begun its stream
    reading: int = 0
    decoding: int = 0
    since: float | None = None  # from when the rule's time runs; None while it does not


class Record:
    """The record of all requests, and the breaks of the rule found so far."""

    def __init__(self, release_within: float) -> None:
        self.limit = release_within + SLACK
        self.requests: dict[str, HeldForRequest] = {}
        self.breaks: list[str] = []
        self.changed = asyncio.Condition()

    def of(self, id: str) -> HeldForRequest:
        return self.requests.setdefault(id, HeldForRequest())

    async def change(self, id: str, *, counts: bool = False, **changes) -> None:
        """Take a change in; `counts` for an outcome or a reservation, from which the time runs anew."""
        request, now = self.of(id), asyncio.get_running_loop().time()
        self.judge(id, now)
        for name, value in changes.items():
            setattr(request, name, value)
        request.ever_held |= request.held
        idle = request.held and not request.reading and not request.decoding
        if not idle:
            request.since = None
        elif request.since is None or counts:
            request.since = now
        async with self.changed:
            self.changed.notify_all()

    def judge(self, id: str, now: float) -> None:
        """Note a break where the time has run out."""
        request = self.of(id)
        if request.since is not None and now - request.since > self.limit:
            self.breaks.append(f"{id}: {sorted(request.held)} held for {now - request.since:.3f} s")
            request.since = now

    async def wait_until(self, condition) -> None:
        """Wait until a condition on the record holds."""
        async with self.changed:
            await within(self.changed.wait_for(condition))

    async def verdict(self) -> list[str]:
        """Give the breaks, once every attempt is over and whatever is still held has had its time."""
        loop = asyncio.get_running_loop()
        requests = self.requests.values()
        await self.wait_until(lambda: not any(each.reading or each.decoding for each in requests))
        while any(request.since is not None for request in requests):
            await asyncio.sleep(0.02)
            for id in self.requests:
                self.judge(id, loop.time())
            if self.breaks:
                break
        return self.breaks


class Endpoint:
    """A stand-in server of one role, whose every step waits at a gate that the test can close.

    `inbound` closed: what is sent to it is on its way. `finish`: a prefill may end, or a decode begin."""

    def __init__(self, record: Record, name: str, kind: str) -> None:
        self.record, self.name, self.kind = record, name, kind
        self.inbound, self.finish = asyncio.Event(), asyncio.Event()
        self.inbound.set()
        self.finish.set()
        self.answers_reservations = self.grants = True
        self.resets_reads = False
        self.calls: list[str] = []
        self.at_gate: list[str] = []  # the first line of each piece that came, before the gate let it in
        self.writers: set[asyncio.StreamWriter] = set()
        self.background: set[asyncio.Task] = set()
        self.port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def __aenter__(self) -> Endpoint:
        await self.listen()
        return self

    async def __aexit__(self, *_) -> None:
        self.refuse()
        for task in self.background:
            task.cancel()

    async def listen(self) -> None:
        """Take connections, at the same address as before."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Refuse new connections, as a server does whose table of connections is full."""
        self.server.close()

    def close_idle(self) -> None:
        """Close the connections on which nothing is out."""
        for writer in self.writers:
            writer.close()

    def spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def pump(self, source: asyncio.StreamReader, sink: asyncio.StreamReader) -> None:
        """Pass on what comes while the gate is open; its end, too, waits there."""
        try:
            while data := await source.read(1 << 16):
                self.at_gate.append(data.decode("latin-1").partition("\r\n")[0])
                async with self.record.changed:
                    self.record.changed.notify_all()
                await self.inbound.wait()
                sink.feed_data(data)
        except ConnectionError:
            pass
        await self.inbound.wait()
        sink.feed_eof()

    async def serve(self, source: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        arrived = asyncio.StreamReader(1 << 20)
        self.spawn(self.pump(source, arrived))
        self.writers.add(writer)
        try:
            while call := await read_message(arrived):
                self.writers.discard(writer)
                first, headers, _ = call
                method, path, _ = first.split()
                self.calls.append(f"{method} {path}")
                id = headers.get("x-correlation-id", path.rpartition("/")[2])
                if method == "DELETE":
                    await self.release(id)
                    writer.write(message("HTTP/1.1 204 No Content"))
                elif path.startswith("/v1/holds/"):
                    await self.reserve(id, writer)
                elif self.kind == "prefill":
                    await self.prefill(id, arrived, writer)
                else:
                    await self.decode(id, arrived, writer)
                if writer.is_closing():
                    return
                self.writers.add(writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def release(self, id: str) -> None:
        """Let go of what no attempt waits for."""
        if not self.record.of(id).decoding:
            await self.record.change(id, held=set())
        else:
            await self.record.change(id)

    async def reserve(self, id: str, writer: asyncio.StreamWriter) -> None:
        request = self.record.of(id)
        known = request.reading > 0
        if self.grants:
            await self.record.change(id, counts=True, held={*request.held, f"place at {self.name}"})
        if not self.answers_reservations:
            await asyncio.Event().wait()
        if not known:
            await asyncio.sleep(UNKNOWN_AFTER)
        status = "200 OK" if known and self.grants else "409 Conflict" if known else "204 No Content"
        writer.write(message(f"HTTP/1.1 {status}"))

    async def goes_on(self, arrived: asyncio.StreamReader) -> bool:
        """Wait until the work may end, or its conductor gives it up; tell which."""
        finish, gone = asyncio.ensure_future(self.finish.wait()), asyncio.ensure_future(arrived.read(1))
        await asyncio.wait({finish, gone}, return_when=asyncio.FIRST_COMPLETED)
        ended = finish.done()
        finish.cancel()
        gone.cancel()
        await asyncio.wait({finish, gone})
        return ended

    async def prefill(self, id: str, arrived: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = self.record.of(id)
        await self.record.change(id, reading=request.reading + 1)
        if self.resets_reads:
            await self.record.change(id, counts=True, reading=request.reading - 1)
            writer.transport.abort()
            self.spawn(self.read_on(id))
            return
        left = {f"state at {self.name}"} if await self.goes_on(arrived) else set()
        await self.record.change(id, counts=True, reading=request.reading - 1, held={*request.held, *left})
        if left:
            writer.write(message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}'))
        else:
            writer.close()

    async def read_on(self, id: str) -> None:
        """End a read whose connection broke; its state is held like any other."""
        await self.finish.wait()
        held = self.record.of(id).held
        await self.record.change(id, counts=True, held={*held, f"state at {self.name}"})

    async def decode(self, id: str, arrived: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = self.record.of(id)
        if not any(each.startswith("state") for each in request.held):
            writer.write(message("HTTP/1.1 410 Gone", X_Unprocessed=1))
            return
        await self.record.change(id, decoding=request.decoding + 1)
        if await self.goes_on(arrived):
            await self.record.change(id, held=set(), answered=True)
            writer.write(STREAM + chunk(EVENT) + chunk(DONE) + b"0\r\n\r\n")
        else:
            writer.close()
        await self.record.change(id, counts=True, decoding=request.decoding - 1)


@asynccontextmanager
async def deployment(tmp_path, settings, kinds):
    """Start the program over stand-in endpoints, named and of the kinds given."""
    release_within = settings["family_info"].get("release_within", 0) / 1e9
    record = Record(release_within)
    endpoints = {name: Endpoint(record, name, kind) for name, kind in kinds.items()}
    for endpoint in endpoints.values():
        await endpoint.__aenter__()
    entries = [registry_entry(each.name, each.address, each.kind) for each in endpoints.values()]
    try:
        async with running_router(tmp_path, entries, settings=settings) as program:
            program.entries = entries
            yield program, record, endpoints
    finally:
        for endpoint in endpoints.values():
            await endpoint.__aexit__()
