"""Stand-ins for the review's cases: discovery, model servers, clients and one router process.

They follow the users' pages. Every address is a loopback address, and every event is written to a record."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
CHAT = "/v1/chat/completions"
MS = 1_000_000  # nanoseconds
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"

# The limits of one router process.
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
# The settings object of a small deployment of the site, in the names and units of the wire page.
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "position": 0,
    "tier": 0,
    "tick": 4 * MS,
    "kinds": ["prefill", "decode", "mixed"],
    "failure_domains": ["bole-dc"],
    "my_zone": "bole-dc",
    "discovery": "push",
    "family": "twostage",
    "weights": "rough",
    "counted_by": "work",
    "clients": {"marks_retry": False},
    "lanes": [
        {
            "name": "rota-question",
            "idempotency": "pure",
            "group": "all",
            "window": 5000 * MS,
            "target": 1500 * MS,
            "hard_limit": 7500 * MS,
            "stream": True,
            "worth": 3.0,
            "late_worth": 0.3,
        },
        {
            "name": "shift-signup",
            "idempotency": "side_effect",
            "group": "all",
            "window": 5000 * MS,
            "target": 2500 * MS,
            "hard_limit": 12000 * MS,
            "stream": True,
            "worth": 2.0,
            "late_worth": 0.1,
        },
    ],
    "allowed": {
        "attempts_cap": 4,
        "cancel": True,
        "conn_idle": 15000 * MS,
        "connect_timeout": 250 * MS,
        "max_open": 20000,
        "max_retry_after": 2000 * MS,
        "may_tell": False,
        "probes": True,
        "retry_after": True,
        "second_copies": False,
    },
    "family_info": {
        "ahead": True,
        "aim_us_per_1000_prompt_tokens": [40000.0, 40000.0],
        "duty_by_kind": ["read", "write", "both"],
        "local_read": True,
        "memory_tokens": [240000, 160000, 180000],
        "release_within": 300 * MS,
        "resume": False,
        "token_aim": [60 * MS, 80 * MS],
        "transfer_price": 0.04,
    },
    "prices": {"probe": 0.0021},
    "reporting": {"columns": ["inflight", "queue", "x0", "x1"], "how": "pull"},
    "rules": {
        "answer_slack": 16 * MS,
        "ask_within": 10000 * MS,
        "cold": 11000 * MS,
        "cold_share": 0.28,
        "drain_grace": 1000 * MS,
        "fall": 2000 * MS,
        "overload_factor": 2.5,
    },
}


class Record:
    """The record of what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w")
        self._start = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._start

    def __call__(self, event: str, **facts: object) -> None:
        line = {"at": round(self.now, 4), "event": event, **facts}
        self._file.write(json.dumps(line, default=str) + "\n")
        self._file.flush()


@dataclass
class Message:
    """A parsed HTTP message."""

    start: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a message head; return None if the connection ends before it is complete."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return Message(start, {name.lower(): value.strip() for name, _, value in pairs})


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk of a chunked body; the last chunk is empty."""
    size = int(await reader.readuntil(b"\r\n"), 16)
    return (await reader.readexactly(size + 2))[:-2]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message; return None if the connection ends before its head is complete."""
    message = await read_head(reader)
    if message is None:
        return None
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while piece := await read_chunk(reader):
            message.body += piece
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    return message


def encode(start: str, body: bytes = b"", **headers: object) -> bytes:
    """Encode a message with a content length."""
    lines = [start, *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def chunk(data: bytes) -> bytes:
    """Encode one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def events_of(request_id: str, tokens: int) -> list[bytes]:
    """Return the events of the stream that a server makes for a request; each names the request."""
    made = []
    for number in range(tokens):
        delta = {"choices": [{"index": 0, "delta": {"content": f"{request_id}/{number} "}}]}
        made.append(b"data: " + json.dumps(delta).encode() + b"\n\n")
    usage = {"choices": [], "usage": {"prompt_tokens": 900, "prompt_tokens_details": {"cached_tokens": 0}}}
    return [*made, b"data: " + json.dumps(usage).encode() + b"\n\n", b"data: [DONE]\n\n"]


async def serve_connections(
    answer: Callable[[Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    connections: set[asyncio.StreamWriter],
) -> tuple[asyncio.Server, str]:
    """Listen on a free loopback port and answer one call at a time on each connection.

    `connections` gets the open connections."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connections.add(writer)
        try:
            while not writer.is_closing() and (call := await read_message(reader)) is not None:
                await answer(call, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            connections.discard(writer)
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


@dataclass
class Agent:
    """Discovery's agent on the router's machine."""

    record: Record
    delay: float = 0.0  # seconds by which each answer is written late
    index: int = 1
    address: str = ""
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    changed_at: dict[str, int] = field(default_factory=dict)
    told: dict[str, float] = field(default_factory=dict)  # when a change that drains a server was written
    news: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def start(self) -> None:
        """Begin to listen."""
        _, self.address = await serve_connections(self._answer, set())

    async def update(self, *entries: dict[str, Any]) -> None:
        """Change entries of the list."""
        async with self.news:
            self.index += 1
            for entry in entries:
                self.entries[entry["name"]] = entry
                self.changed_at[entry["name"]] = self.index
            self.news.notify_all()
        changes = {entry["name"]: entry["status"] for entry in entries}
        self.record("list_changed", index=self.index, entries=changes)

    def snapshot(self) -> dict[str, Any]:
        """Return the whole list."""
        listed = [entry for entry in self.entries.values() if entry["status"] != "Gone"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    async def _answer(
        self, call: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        path = call.start.split(" ")[1]
        query = parse_qs(urlsplit(path).query)
        answered = self.snapshot()
        if "since" in query:
            since, wait = int(query["since"][0]), min(int(query["timeout_ms"][0]), 60_000) / 1000
            with suppress(TimeoutError):
                async with asyncio.timeout(wait), self.news:
                    await self.news.wait_for(lambda: self.index > since)
            changed = [self.entries[name] for name, at in self.changed_at.items() if at > since]
            answered = {"index": self.index, "snapshot": False, "endpoints": changed}
        if self.delay:
            await asyncio.sleep(self.delay)
        if reader.at_eof():
            self.record("list_call_given_up", path=path)
            raise ConnectionResetError
        writer.write(encode("HTTP/1.1 200 OK", json.dumps(answered).encode()))
        self.record("list_answered", path=path, index=answered["index"], entries=len(answered["endpoints"]))
        for entry in answered["endpoints"]:
            if entry["status"] != "Ready":
                self.told.setdefault(entry["name"], self.record.now)


@dataclass
class ModelServer:
    """A model server of one kind: `prefill`, `decode` or `mixed`."""

    record: Record
    name: str
    kind: str
    prefill_s: tuple[float, float] = (0.010, 0.030)
    first_token_s: tuple[float, float] = (0.020, 0.050)
    token_s: float = 0.010
    tokens: int = 8
    # Returns the bytes that follow a finished stream, and by how many seconds they are late.
    after_stream: Callable[[str], tuple[bytes, float] | None] = lambda _: None
    address: str = ""
    listener: asyncio.Server | None = None
    connections: set[asyncio.StreamWriter] = field(default_factory=set)
    out: int = 0  # attempts in hand
    reads_out: set[str] = field(default_factory=set)  # the reads that run at all servers of the fleet
    started: list[tuple[float, str]] = field(default_factory=list)  # when each attempt began, and its id

    async def start(self) -> None:
        """Begin to listen."""
        self.listener, self.address = await serve_connections(self._answer, self.connections)

    def end(self) -> None:
        """End the server: reset its connections and refuse new ones."""
        self.record("server_ended", server=self.name, attempts_in_hand=self.out)
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def entry(self, status: str = "Ready") -> dict[str, Any]:
        """Return the entry of the server in the list."""
        place = {"zone": "bole-dc", "type": self.kind, "group": 0, "weight": 1.0, "since_ms": 0}
        return {"name": self.name, "address": self.address, "status": status, **place}

    async def _answer(
        self, call: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        method, path, _ = call.start.split(" ")
        request_id = call.headers.get("x-correlation-id", "")
        if path == "/stats":
            writer.write(encode("HTTP/1.1 200 OK", f"inflight={self.out},queue=0,x0=0.1,x1=0".encode()))
        elif path == "/health/live":
            writer.write(encode("HTTP/1.1 200 OK"))
        elif path.startswith("/v1/holds/"):
            if method == "POST" and path.rpartition("/")[2] in self.reads_out:
                writer.write(encode("HTTP/1.1 200 OK"))
                return
            if method == "POST":
                await asyncio.sleep(0.3)
            writer.write(encode("HTTP/1.1 204 No Content"))
        elif not request_id:
            writer.write(encode("HTTP/1.1 404 Not Found"))
        else:
            self.started.append((self.record.now, request_id))
            self.record("attempt_begun", server=self.name, id=request_id)
            self.out += 1
            try:
                await self._run(request_id, reader, writer)
            finally:
                self.out -= 1

    async def _run(self, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.kind == "prefill":
            self.reads_out.add(request_id)
            try:
                await self._work(self.prefill_s, request_id, reader)
            finally:
                self.reads_out.discard(request_id)
            writer.write(encode("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}'))
            return
        await self._work(self.first_token_s, request_id, reader)
        writer.write(STREAM_HEAD)
        for event in events_of(request_id, self.tokens):
            writer.write(chunk(event))
            await self._work((self.token_s, self.token_s), request_id, reader)
        writer.write(LAST_CHUNK)
        await writer.drain()
        self.record("stream_written", server=self.name, id=request_id)
        extra = self.after_stream(request_id)
        if extra is not None:
            data, late = extra
            # The server goes on reading while the extra bytes are still on their way.
            asyncio.get_running_loop().call_later(late, self._write_extra, writer, data, request_id)

    def _write_extra(self, writer: asyncio.StreamWriter, data: bytes, request_id: str) -> None:
        if not writer.is_closing():
            writer.write(data)
            self.record("second_answer_written", server=self.name, id=request_id)

    async def _work(
        self, seconds: tuple[float, float], request_id: str, reader: asyncio.StreamReader
    ) -> None:
        """Work for a time; raise ConnectionResetError if the router gives the attempt up."""
        end = time.monotonic() + random.uniform(*seconds)
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(left, 0.01))
            if reader.at_eof() or reader.exception() is not None:
                self.record("attempt_given_up", server=self.name, id=request_id)
                raise ConnectionResetError


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class RouterProcess:
    """One router process, started with the command `run` of the deploy file."""

    def __init__(self, record: Record, agent: Agent, settings: dict[str, Any] | None = None) -> None:
        self.record, self.agent = record, agent
        self.settings = settings or SETTINGS
        self.listen = f"127.0.0.1:{free_port()}"
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._process: asyncio.subprocess.Process | None = None

    @property
    def process(self) -> asyncio.subprocess.Process:
        """The running process."""
        assert self._process is not None, "the router was not started"
        return self._process

    async def start(self) -> None:
        """Start the process and wait until it is ready; raise RuntimeError after 30 s."""
        folder = Path(self._folder.name)
        configuration = folder / "config.json"
        content = {
            "name": "n0",
            "listen": self.listen,
            "discovery": self.agent.address,
            "seed": os.urandom(8).hex(),
            "limits": LIMITS,
            "known": self.agent.snapshot(),
            "settings": self.settings,
        }
        configuration.write_text(json.dumps(content))
        private = folder / "tmp"
        private.mkdir()
        environment = {
            **os.environ,
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": self.listen,
            "EDGE_DISCOVERY": self.agent.address,
            "EDGE_CONFIG": str(configuration),
            "TMPDIR": str(private),
        }
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (folder / "log").open("w") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record("router_started", pid=self.process.pid, listen=self.listen)
        for _ in range(600):
            if await self._is_ready():
                self.record("router_ready")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the router did not become ready")

    async def _is_ready(self) -> bool:
        try:
            client = await Client.connect(self.listen)
        except OSError:
            return False
        client.writer.write(encode("GET /health/ready HTTP/1.1", Host="service.internal"))
        with suppress(TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            async with asyncio.timeout(1):
                answer = await read_message(client.reader)
                return answer is not None and answer.status == 200
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record("signal", name=number.name)
        self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process if it still runs, and copy its log lines to the record."""
        if self._process is None:
            return
        self.record("router_state", exit_status=self.process.returncode)
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for line in (Path(self._folder.name) / "log").read_text(errors="replace").splitlines():
            self.record("router_log", line=line)
        self._folder.cleanup()


@dataclass
class Answer:
    """What a client got for a request."""

    request_id: str
    outcome: str  # "served", "refused", "failed", "broken" or "no answer"
    body: bytes = b""
    status: int = 0


def chat_request(
    request_id: str,
    class_name: str = "rota-question",
    time_left_ms: int = 7000,
    session: str = "",
    facts: str = "prompt_len=900,prefix_len=0,max_out=50",
) -> bytes:
    """Encode a client's request."""
    content = {"model": "chat", "stream": True, "messages": [{"role": "user", "content": "x" * 3600}]}
    return encode(
        f"POST {CHAT} HTTP/1.1",
        json.dumps(content).encode(),
        Host="service.internal",
        X_Correlation_Id=request_id,
        X_Service_Class=class_name,
        X_Session_Key=session or f"s-{request_id}",
        X_Time_Left_Ms=time_left_ms,
        X_Facts=facts,
    )


class Client:
    """A client with one connection to the router."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address: str) -> Client:
        """Connect to the router."""
        host, port = address.split(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def read_answer(self, request_id: str) -> Answer:
        """Read the answer to a request that was written to the connection."""
        head = await read_head(self.reader)
        if head is None:
            return Answer(request_id, "no answer")
        body = b""
        try:
            if head.headers.get("transfer-encoding", "").lower() == "chunked":
                while piece := await read_chunk(self.reader):
                    body += piece
            else:
                body = await self.reader.readexactly(int(head.headers.get("content-length", "0")))
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return Answer(request_id, "broken", body, head.status)
        if head.status == 200:
            return Answer(request_id, "served", body, 200)
        return Answer(request_id, "refused" if head.status in (429, 503) else "failed", body, head.status)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def start_fleet(agent: Agent, servers: Iterable[ModelServer]) -> None:
    """Start the servers and list them."""
    servers = list(servers)
    for server in servers:
        server.reads_out = servers[0].reads_out
        await server.start()
    await agent.start()
    await agent.update(*(server.entry() for server in servers))


def main(case: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> None:
    """Run a case within its time limit and exit with its verdict.

    The case gets the record and whether to make the trouble; it returns whether the rule held."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", trouble=trouble)

    async def bounded() -> bool:
        async with asyncio.timeout(115):
            return await case(record, trouble)

    try:
        held = asyncio.run(bounded())
    except Exception as error:
        record("case_could_not_run", error=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    record("verdict", rule="held" if held else "broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
