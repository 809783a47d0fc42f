"""Stand-ins for the cases 6 to 10: instances, discovery, clients, and the start of a conductor.

They follow the pages PROTOCOL and WIRE. Where a page is silent, they behave like a sound server or client.
All of them run on one event loop and use loopback addresses only."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_TIMEOUT = 20.0  # seconds
SECOND = 1_000_000_000  # nanoseconds

# The settings of the first site as WIRE shows them, in the nested form of the configuration file.
SETTINGS: dict[str, Any] = {
    "allowed": {
        "attempts_cap": 4,
        "cancel": True,
        "conn_idle": 15 * SECOND,
        "connect_timeout": 250_000_000,
        "cpu_us_per_request": 0.0,
        "cpu_us_per_s": 500_000,
        "max_open": 20_000,
        "max_retry_after": 2 * SECOND,
        "max_streams": 1,
        "may_tell": False,
        "probes": True,
        "retry_after": True,
        "second_copies": False,
    },
    "balancers": 1,
    "clients": {"marks_retry": False},
    "counted_by": "work",
    "discovery": "push",
    "failure_domains": ["bole-dc", "kality-dc"],
    "family": "twostage",
    "family_info": {
        "ahead": True,
        "aim_us_per_1000_prompt_tokens": [40_000.0, 40_000.0],
        "duty_by_kind": ["read", "write", "both"],
        "local_read": True,
        "memory_tokens": [240_118, 161_613, 183_938],
        "release_within": 300_000_000,
        "report_x0": "share_of_memory_that_is_held",
        "report_x1": "thousands_of_prompt_tokens_waiting_to_be_read_or_fetched",
        "resume": False,
        "token_aim": [60_000_000, 80_000_000],
        "transfer_price": 0.04,
    },
    "goal": {"whole": 0.45, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.35},
    "kinds": ["prefill", "decode", "mixed"],
    "lanes": [
        {
            "group": "all",
            "hard_limit": 7_500_000_000,
            "idempotency": "pure",
            "late_worth": 0.3,
            "name": "rota-question",
            "stream": True,
            "target": 1_500_000_000,
            "window": 5 * SECOND,
            "worth": 3.0,
        },
        {
            "group": "all",
            "hard_limit": 12 * SECOND,
            "idempotency": "side_effect",
            "late_worth": 0.1,
            "name": "shift-signup",
            "stream": True,
            "target": 2_500_000_000,
            "window": 5 * SECOND,
            "worth": 2.0,
        },
    ],
    "layers": ["rota-models"],
    "my_zone": "bole-dc",
    "over_share_worth": 0.1,
    "position": 0,
    "prices": {"cross_zone": 0.0082, "late_fail": 0.05, "probe": 0.0021, "waste": 0.16},
    "projects": [],
    "reporting": {"columns": ["inflight", "queue", "x0", "x1"], "how": "pull"},
    "rules": {
        "answer_slack": 16_000_000,
        "ask_within": 10 * SECOND,
        "cold": 11 * SECOND,
        "cold_share": 0.28,
        "drain_grace": SECOND,
        "fall": 2 * SECOND,
        "overload_factor": 2.5,
    },
    "tick": 4_000_000,
    "tier": 0,
    "weights": "rough",
}


class Record:
    """What was sent, answered and run, with the seconds since the start; `save` writes record.txt."""

    def __init__(self, folder: Path) -> None:
        self._file = folder / "record.txt"
        self._start = time.monotonic()
        self._lines: list[str] = []

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def add(self, who: str, what: str) -> float:
        """Add a line, and return its time."""
        now = self.now
        self._lines.append(f"{now:9.4f} {who:12} {what}")
        return now

    def save(self) -> None:
        """Write the file."""
        self._file.write_text("\n".join(self._lines) + "\n")


@dataclass
class Message:
    """An HTTP message: its first line, its headers by lower-case name, and its body."""

    first: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; return None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers, b"")


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a request with a Content-Length; return None at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def response(status: str, body: bytes = b"", **headers: str) -> bytes:
    """Return a response with a Content-Length."""
    extra = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(text: str, finish: str | None = None) -> bytes:
    """Return an event of an answer, as PROTOCOL shows it."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


def usage(prompt: int, cached: int) -> bytes:
    """Return the last events of an answer, as PROTOCOL shows them."""
    details = {"prompt_tokens": prompt, "prompt_tokens_details": {"cached_tokens": cached}}
    return b"data: " + json.dumps({"choices": [], "usage": details}).encode() + b"\n\ndata: [DONE]\n\n"


@dataclass
class Speed:
    """How fast instances work, in seconds, and how many tokens they answer with."""

    read: float = 0.03
    first_token: float = 0.02
    token: float = 0.06
    tokens: int = 10


@dataclass
class World:
    """What all instances of a deployment know: sent ids, waiting states and running reads."""

    record: Record
    speed: Speed = field(default_factory=Speed)
    sent: set[str] = field(default_factory=set)
    sent_elsewhere: str = "-"  # the ids that clients in other processes send begin with this
    reading: dict[str, str] = field(default_factory=dict)
    states: dict[str, str] = field(default_factory=dict)
    was_read: set[str] = field(default_factory=set)
    # Called after the last chunk of a stream was written.
    after_stream: Callable[[str, asyncio.StreamWriter], Awaitable[None]] | None = None


class Instance:
    """An instance that reads (`prefill`), writes (`decode`) or does both (`mixed`)."""

    def __init__(self, world: World, name: str, kind: str) -> None:
        self.world, self.name, self.kind = world, name, kind
        self.begun: list[tuple[float, str]] = []  # time and id of each attempt whose first byte came
        self.address = ""
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening and reset all connections, as the end of the process does."""
        if self._server is not None:
            self._server.close()
        for writer in self._open:
            writer.transport.abort()

    def entry(self, status: str) -> dict[str, Any]:
        """Return the entry in discovery's list, with a status."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": "bole-dc",
            "type": self.kind,
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while (call := await read_request(reader)) is not None:
                await self._answer(call, reader, writer)
                await writer.drain()
                if writer.is_closing():
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _answer(
        self, call: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        method, path = call.first.split(" ")[:2]
        if path == "/health/live":
            writer.write(response("200 OK"))
        elif path == "/stats":
            writer.write(response("200 OK", b"inflight=1,queue=0,x0=0.1,x1=0.1"))
        elif method == "DELETE":
            self._release(path.rpartition("/")[2])
            writer.write(response("204 No Content"))
        elif path.startswith("/v1/holds/"):
            await self._hold(path.rpartition("/")[2], writer)
        else:
            await self._attempt(call, reader, writer)

    def _release(self, request: str) -> None:
        self.world.record.add(self.name, f"release {request}")
        self.world.states.pop(request, None)

    async def _hold(self, request: str, writer: asyncio.StreamWriter) -> None:
        known = request in self.world.reading
        self.world.record.add(self.name, f"hold {request}")
        if not known:
            await asyncio.sleep(0.3)
        writer.write(response("409 Conflict" if known else "204 No Content"))

    async def _attempt(
        self, call: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = call.headers.get("x-correlation-id", "")
        left = call.headers.get("x-time-left-ms", "-")
        now = self.world.record.add(self.name, f"attempt {request} time left {left} ms")
        self.begun.append((now, request))
        if request not in self.world.sent and not request.startswith(self.world.sent_elsewhere):
            writer.write(response("400 Bad Request" if request else "404 Not Found"))
            return
        if self.kind == "prefill":
            work = asyncio.ensure_future(self._read(request, writer))
        else:
            work = asyncio.ensure_future(self._write(request, writer))
        closed = asyncio.ensure_future(_until_closed(reader))
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            self.world.record.add(self.name, f"connection of {request} closed, work stops")
            self.world.reading.pop(request, None)
            writer.close()
        for task in (work, closed):
            task.cancel()
        await asyncio.wait({work, closed})

    async def _read(self, request: str, writer: asyncio.StreamWriter) -> None:
        world = self.world
        world.reading[request] = self.name
        await asyncio.sleep(world.speed.read)
        world.reading.pop(request, None)
        world.states[request] = self.name
        world.was_read.add(request)
        world.record.add(self.name, f"read {request}")
        writer.write(response("202 Accepted", b'{"cached_tokens":0}'))

    async def _write(self, request: str, writer: asyncio.StreamWriter) -> None:
        world, speed = self.world, self.world.speed
        if world.states.pop(request, None) is None:
            if request in world.was_read and self.kind == "decode":
                world.record.add(self.name, f"no state for {request}")
                writer.write(response("410 Gone", X_Unprocessed="1"))
                return
            await asyncio.sleep(speed.read)
        await asyncio.sleep(speed.first_token)
        world.record.add(self.name, f"first token of {request}")
        writer.write(STREAM_HEAD + chunk(event(f"{request} 0")))
        for number in range(1, speed.tokens):
            await asyncio.sleep(speed.token)
            finish = "stop" if number == speed.tokens - 1 else None
            writer.write(chunk(event(f"{request} {number}", finish)))
        writer.write(chunk(usage(100, 0)) + LAST_CHUNK)
        world.record.add(self.name, f"wrote the whole answer of {request}")
        if world.after_stream is not None:
            await world.after_stream(request, writer)


async def _until_closed(reader: asyncio.StreamReader) -> None:
    """Wait until the peer closes the connection; a conductor sends one request at a time on it."""
    while not reader.at_eof() and reader.exception() is None:
        if reader._buffer:  # type: ignore[attr-defined]  # the next request has come already
            await asyncio.Event().wait()
        with suppress(ConnectionError):
            await reader._wait_for_data("until closed")  # type: ignore[attr-defined]


class Agent:
    """Discovery's agent: it answers list calls and watches, each `delay` seconds late."""

    def __init__(self, record: Record, instances: list[Instance], name: str = "discovery") -> None:
        self.record, self.instances, self.name = record, instances, name
        self.index = 41
        self.delay = 0.0
        self.address = ""
        self._statuses = {each.name: "Ready" for each in instances}  # as far as this agent has heard
        self._changed = asyncio.Condition()
        self._versions = {each.name: self.index for each in instances}
        self._open: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def set_status(self, instance: Instance, status: str) -> float:
        """Change the status of an instance, and return the time of the change."""
        async with self._changed:
            self._statuses[instance.name] = status
            self.index += 1
            self._versions[instance.name] = self.index
            self._changed.notify_all()
        return self.record.add(self.name, f"has heard that {instance.name} is {status}, version {self.index}")

    def refuse(self) -> None:
        """Accept no new connection."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Close the open connections."""
        for writer in list(self._open):
            writer.close()

    def known(self) -> dict[str, Any]:
        """Return the whole list."""
        return {
            "index": self.index,
            "snapshot": True,
            "endpoints": [each.entry(self._statuses[each.name]) for each in self.instances],
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while (call := await read_request(reader)) is not None:
                path = call.first.split(" ")[1]
                self.record.add(self.name, f"call {path}")
                answer = await self._answer(path)
                await asyncio.sleep(self.delay)
                self.record.add(self.name, f"answer to {path}: index {answer['index']}")
                writer.write(response("200 OK", json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _answer(self, path: str) -> dict[str, Any]:
        if "since=" not in path:
            return self.known()
        query = dict(part.split("=") for part in path.partition("?")[2].split("&"))
        since = int(query["since"])
        async with self._changed:
            with suppress(TimeoutError):
                async with asyncio.timeout(int(query["timeout_ms"]) / 1000):
                    await self._changed.wait_for(lambda: self.index > since)
        changed = [each for each in self.instances if self._versions[each.name] > since]
        changes = [each.entry(self._statuses[each.name]) for each in changed]
        return {"index": self.index, "snapshot": False, "endpoints": changes}


def free_port() -> int:
    """Return a free port of 127.0.0.1, below the range from which outgoing connections get theirs."""
    for port in range(12_000 + os.getpid() % 5_000, 32_000):
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise OSError("no port is free")


class Conductor:
    """One conductor, started by the command `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, discovery: str, known: dict[str, Any]) -> None:
        self.record, self.folder = record, folder
        self.address = f"127.0.0.1:{free_port()}"
        self.discovery, self.known = discovery, known
        self.settings: dict[str, Any] = SETTINGS
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.process: asyncio.subprocess.Process | None = None

    def write_configuration(self) -> None:
        """Write the configuration file, or replace it."""
        configuration = {
            "name": "n0",
            "listen": self.address,
            "discovery": self.discovery,
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": self.known,
            "settings": self.settings,
        }
        new = self.folder / "config.new"
        new.write_text(json.dumps(configuration))
        new.rename(self.folder / "config.json")

    async def start(self) -> None:
        """Start the process, and wait until it is ready."""
        self.write_configuration()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": self.address,
            "EDGE_DISCOVERY": self.discovery,
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add("conductor", f"started, process {self.process.pid}")
        end = self.record.now + READY_TIMEOUT
        while not await self._is_ready():
            if self.process.returncode is not None or self.record.now > end:
                raise RuntimeError("the conductor is not ready: " + (self.folder / "log").read_text()[-500:])
            await asyncio.sleep(0.05)
        self.record.add("conductor", "ready")

    async def _is_ready(self) -> bool:
        try:
            connection = await Connection.open(self.address)
        except OSError:
            return False
        try:
            connection.writer.write(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await asyncio.wait_for(read_head(connection.reader), 1.0)
            return head is not None and head.first.split()[1] == "200"
        except (TimeoutError, ConnectionError):
            return False
        finally:
            connection.writer.close()

    def signal(self, number: signal.Signals) -> float:
        """Send a signal to the process, and return the time."""
        assert self.process is not None
        now = self.record.add("conductor", f"gets {number.name}")
        with suppress(ProcessLookupError):
            self.process.send_signal(number)
        return now

    async def end(self) -> None:
        """Kill the process if it still runs, and add its log to the record."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        file = self.folder / "log"
        for line in file.read_text(errors="replace").splitlines()[-60:] if file.exists() else []:
            self.record.add("log", line[:300])


@dataclass
class Answer:
    """A client's answer: its status (0 for none), its events, and whether it is whole."""

    request: str
    status: int = 0
    events: list[bytes] = field(default_factory=list)
    whole: bool = False
    began: float = 0.0
    ended: float = 0.0

    @property
    def foreign(self) -> list[bytes]:
        """Return the events with content that was not made for this request."""
        return [
            each for each in self.events if b'"content"' in each and f'"{self.request} '.encode() not in each
        ]


def chat(
    request: str,
    *,
    lane: str = "rota-question",
    left_ms: int = 7500,
    session: str = "7f3a9c21e0b4d655",
    facts: str = "prompt_len=400,prefix_len=0,max_out=40",
    padding: int = 0,
) -> bytes:
    """Return a client's request as PROTOCOL shows it; `padding` characters make its text longer."""
    text = "book the early shift " + "x" * padding
    body = json.dumps(
        {
            "model": "chat",
            "stream": True,
            "max_tokens": 40,
            "messages": [{"role": "user", "content": text}],
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\n"
        f"X-Correlation-Id: {request}\r\nX-Service-Class: {lane}\r\nX-Session-Key: {session}\r\n"
        f"X-Time-Left-Ms: {left_ms}\r\nX-Facts: {facts}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@dataclass
class Connection:
    """A client's connection to a conductor."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def open(cls, address: str) -> Connection:
        """Connect to HOST:PORT."""
        host, port = address.split(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def ask(self, world: World, request: str, data: bytes) -> Answer:
        """Send a request in one piece, and return its answer."""
        world.sent.add(request)
        world.record.add("client", f"sends {request}")
        self.writer.write(data)
        return await self.receive(world, request)

    async def receive(self, world: World, request: str) -> Answer:
        """Return the answer to the request that was sent."""
        answer = Answer(request)
        try:
            await self._receive(answer, world.record)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
            world.record.add("client", f"{request}: {error!r}")
        answer.ended = world.record.now
        world.record.add(
            "client",
            f"has {request}: status {answer.status}, {len(answer.events)} events, "
            f"{'whole' if answer.whole else 'not whole'}, {len(answer.foreign)} foreign",
        )
        return answer

    async def _receive(self, answer: Answer, record: Record) -> None:
        head = await read_head(self.reader)
        if head is None:
            return
        answer.status = int(head.first.split()[1])
        answer.began = record.now
        if head.headers.get("transfer-encoding") != "chunked":
            answer.events = [await self.reader.readexactly(int(head.headers.get("content-length", "0")))]
            answer.whole = True
            return
        data = b""
        while size := int((await self.reader.readline()).strip() or b"-1", 16):
            if size < 0:
                raise ConnectionError("the connection ended within the answer")
            data += (await self.reader.readexactly(size + 2))[:-2]
            answer.events = [each for each in data.split(b"\n\n") if each]
        await self.reader.readline()
        answer.whole = True


@dataclass
class Deployment:
    """The parts of a case."""

    record: Record
    world: World
    instances: dict[str, Instance]
    agent: Agent
    conductor: Conductor


async def deploy(record: Record, folder: Path, kinds: dict[str, str], speed: Speed) -> Deployment:
    """Start instances (`kinds` by name) and discovery; the conductor is not started yet."""
    world = World(record, speed)
    instances = {name: Instance(world, name, kind) for name, kind in kinds.items()}
    for instance in instances.values():
        await instance.start()
    agent = Agent(record, list(instances.values()))
    await agent.start()
    conductor = Conductor(record, folder, agent.address, agent.known())
    return Deployment(record, world, instances, agent, conductor)


Play = Callable[[Deployment], Awaitable[bool]]


def main(file: str, kinds: dict[str, str], speed: Speed, play: Play) -> None:
    """Run a case and exit: `play` returns whether the rule was broken."""
    record = Record(Path(file).resolve().parent)
    record.add("case", f"trouble {'on' if TROUBLE else 'off'}")
    folder = Path(tempfile.mkdtemp(prefix="case-"))

    async def run() -> bool:
        deployment = await deploy(record, folder, kinds, speed)
        try:
            return await play(deployment)
        finally:
            await deployment.conductor.end()

    try:
        broken = asyncio.run(asyncio.wait_for(run(), 110))
        code = BROKEN if broken else HELD
    except BaseException as error:  # Whatever stops the case, it could not run.
        record.add("case", f"could not run: {error!r}")
        code = NOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    record.add("case", f"exit {code}")
    record.save()
    print(f"exit {code}")
    sys.exit(code)
