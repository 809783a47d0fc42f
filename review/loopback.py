"""Stand-ins on loopback addresses for review cases: discovery, instances, clients and a router process.

They do what the users' pages say, and nothing else; a case overrides one method to add its trouble."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 1
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_ID = f"{random.getrandbits(32):08x}"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_EVENT = b"data: [DONE]\n\n"
Head = tuple[str, dict[str, str]]
_count = iter(range(1, 10**9))
_taken: set[int] = set()


def free_port() -> int:
    """Return a free loopback port, outside the range of ephemeral ports, that was not returned before."""
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            if port not in _taken:
                _taken.add(port)
                return port


def new_id() -> str:
    """Return a request id that was not used before."""
    return f"{RUN_ID}{next(_count):08x}"


class Record:
    """The file `record.txt`: what was sent, answered and run, in seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.start = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.start

    def add(self, what: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}".rstrip() + "\n")
        self.file.flush()


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message that is chunked or has a length."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int((await reader.readuntil(b"\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\n")
    return body


def message(status: str, body: bytes = b"") -> bytes:
    """Return a response with a length; a 204 has none."""
    length = "" if status.startswith("204") else f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 {status}\r\n{length}\r\n".encode() + body


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(request_id: str, number: int) -> bytes:
    """Return an event whose content names its request."""
    delta = {"content": f"{request_id}#{number}"}
    choices = [{"index": 0, "delta": delta, "finish_reason": None}]
    return f"data: {json.dumps({'choices': choices})}\n\n".encode()


class Server:
    """A loopback server; `serve` handles one connection."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._run, "127.0.0.1", self.port, limit=1 << 20)

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Instance(Server):
    """A sound instance: a reader answers 202, a writer or mixed one streams an answer."""

    def __init__(self, record: Record, name: str, kind: str) -> None:
        super().__init__(record)
        self.name, self.kind = name, kind
        self.time, self.event_time, self.events = 0.01, 0.005, 4
        self.attempts: list[tuple[float, str]] = []  # time of the first byte, and the request id

    def entry(self, status: str = "Ready") -> dict[str, object]:
        """Return the entry in discovery's list."""
        place = {"zone": "bole-dc", "type": self.kind, "group": 1}
        state = {"status": status, "weight": 1.0, "since_ms": 0}
        return {"name": self.name, "address": self.address, **place, **state}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call after the other."""
        while True:
            first, headers = await read_head(reader)
            begun = self.record.now()
            await read_body(reader, headers)
            await self.answer(first, headers, begun, writer)
            await writer.drain()

    async def answer(
        self, first: str, headers: dict[str, str], begun: float, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call."""
        method, path, _ = first.split()
        if method == "DELETE":
            writer.write(message("204 No Content"))
        elif path.startswith("/v1/holds/"):
            writer.write(message("200 OK"))
        elif path in ("/stats", "/health/live"):
            writer.write(message("200 OK", b"inflight=0,queue=0,x0=0.1,x1=0"))
        else:
            request_id = headers["x-correlation-id"]
            self.attempts.append((begun, request_id))
            self.record.add("attempt", at=self.name, id=request_id, begun=f"{begun:.3f}")
            await self.work(request_id)
            if self.kind == "prefill":
                writer.write(message("202 Accepted", b'{"cached_tokens":0}'))
            else:
                await self.stream(request_id, writer)
            self.record.add("done", at=self.name, id=request_id)

    async def work(self, request_id: str) -> None:  # noqa: ARG002 - cases override it
        """Wait for the time that reading the prompt or the first token takes."""
        await asyncio.sleep(self.time)

    async def stream(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Write a whole stream."""
        writer.write(STREAM_HEAD)
        for number in range(self.events):
            writer.write(chunk(event(request_id, number)))
            await writer.drain()
            await asyncio.sleep(self.event_time)
        writer.write(chunk(LAST_EVENT) + b"0\r\n\r\n")

    def whole_stream(self, request_id: str) -> bytes:
        """Return the bytes of all events of the stream for a request."""
        return b"".join(event(request_id, number) for number in range(self.events)) + LAST_EVENT


class Discovery(Server):
    """An agent with the list of instances; it answers list calls and watches after `delay` seconds."""

    def __init__(self, record: Record, instances: list[Instance]) -> None:
        super().__init__(record)
        self.index, self.delay = 41, 0.0
        self.entries = {each.name: each.entry() for each in instances}
        self._changed_at: dict[str, int] = {}
        self._changes = asyncio.Condition()

    def snapshot(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def change(self, name: str, status: str) -> None:
        """Change the status of an instance, and tell it to the open watches."""
        async with self._changes:
            self.index += 1
            self.entries[name] = {**self.entries[name], "status": status}
            self._changed_at[name] = self.index
            self.record.add("discovery-has", name=name, status=status, index=self.index)
            self._changes.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call after the other."""
        while True:
            first, headers = await read_head(reader)
            await read_body(reader, headers)
            path, _, query = first.split()[1].partition("?")
            self.record.add("discovery-called", path=path, query=query)
            await asyncio.sleep(self.delay)
            facts = dict(part.split("=") for part in query.split("&") if part)
            answer = await self._watch(facts) if "since" in facts else self.snapshot()
            self.record.add("discovery-answers", index=answer["index"])
            writer.write(message("200 OK", json.dumps(answer).encode()))
            await writer.drain()

    async def _watch(self, facts: dict[str, str]) -> dict[str, Any]:
        since = int(facts["since"])
        async with self._changes:
            with suppress(TimeoutError):
                async with asyncio.timeout(int(facts["timeout_ms"]) / 1000):
                    await self._changes.wait_for(lambda: self.index > since)
        changed = [self.entries[name] for name, at in self._changed_at.items() if at > since]
        return {"index": self.index, "snapshot": False, "endpoints": changed}


def settings(**allowed: object) -> dict[str, Any]:
    """Return settings like those of the first site; `allowed` changes what the site allows."""
    second = 1_000_000_000
    lane = {"stream": True, "window": 5 * second, "group": "all"}
    question = {"name": "rota-question", "idempotency": "pure", "worth": 3.0, "late_worth": 0.3}
    signup = {"name": "shift-signup", "idempotency": "side_effect", "worth": 2.0, "late_worth": 0.1}
    limits = {"attempts_cap": 4, "cancel": True, "conn_idle": 15 * second, "connect_timeout": second // 4}
    rights = {"may_tell": False, "probes": True, "retry_after": True, "second_copies": False}
    memory = {"memory_tokens": [240118, 161613, 183938], "release_within": 300_000_000}
    roles = {"ahead": True, "duty_by_kind": ["read", "write", "both"], "local_read": True, "resume": False}
    aims = {"token_aim": [60_000_000, 80_000_000], "aim_us_per_1000_prompt_tokens": [40000.0, 40000.0]}
    cold = {"cold": 11 * second, "cold_share": 0.28, "fall": 2 * second, "overload_factor": 2.5}
    return {
        "balancers": 2,
        "position": 0,
        "my_zone": "bole-dc",
        "failure_domains": ["bole-dc"],
        "tick": 4_000_000,
        "discovery": "push",
        "family": "twostage",
        "kinds": ["prefill", "decode", "mixed"],
        "lanes": [
            {**lane, **question, "target": 3 * second // 2, "hard_limit": 15 * second // 2},
            {**lane, **signup, "target": 5 * second // 2, "hard_limit": 12 * second},
        ],
        "allowed": {**limits, **rights, "max_open": 20000, "max_retry_after": 2 * second, **allowed},
        "family_info": {**memory, **roles, **aims, "transfer_price": 0.04},
        "reporting": {"how": "pull", "columns": ["inflight", "queue", "x0", "x1"]},
        "rules": {"answer_slack": 16_000_000, "drain_grace": second, **cold},
    }


class Router:
    """One router process, started with the command `run` of the deploy file."""

    def __init__(self, record: Record, discovery: Discovery, values: dict[str, Any]) -> None:
        self.record = record
        self.port = free_port()
        self.folder = Path(tempfile.mkdtemp())
        self._known = discovery.snapshot()
        self._discovery, self._settings = discovery, values
        self.limits: dict[str, float] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start a process; `wait_until_ready` waits until it is ready."""
        configuration = {
            "name": "n3",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self._discovery.address,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": self.limits,
            "known": self._known,
            "settings": self._settings,
        }
        file = self.folder / "config.json"
        file.write_text(json.dumps(configuration))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {**os.environ, "EDGE_CONFIG": str(file), "TMPDIR": str(self.folder)}
        with (self.folder / "router.log").open("a") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, stdout=log, stderr=log, env=environment
            )
        self.record.add("router-started", pid=self.process.pid)

    async def wait_until_ready(self) -> None:
        """Wait until `GET /health/ready` is answered with 200; raise RuntimeError after 10 seconds."""
        end = self.record.now() + 10
        while not await self._is_ready():
            if self.record.now() > end:
                raise RuntimeError("the router is not ready after 10 s")
            await asyncio.sleep(0.01)
        self.record.add("router-ready")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: service\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def kill(self) -> None:
        """End the process with SIGKILL."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
            self.record.add("router-killed")


def request(request_id: str, lane: str, left_ms: int) -> bytes:
    """Return a client's request."""
    content = "When does the next shift of the pharmacy begin, and who is on it? " * 8
    values = {"model": "chat", "stream": True, "max_tokens": 50}
    body = json.dumps({**values, "messages": [{"role": "user", "content": content}]}).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {request_id}\r\n"
        f"X-Service-Class: {lane}\r\nX-Session-Key: {request_id}\r\nX-Time-Left-Ms: {left_ms}\r\n"
        f"X-Facts: prompt_len={len(content) // 4},max_out=50\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Answer:
    """What a client received for a request: the status (0 without an answer), the body, if it is whole."""

    def __init__(self, status: int, body: bytes, whole: bool) -> None:
        self.status, self.body, self.whole = status, body, whole


class Client:
    """One connection of a client."""

    def __init__(self, record: Record, router: Router) -> None:
        self._record, self._port = record, router.port

    async def connect(self) -> None:
        """Open the connection; raise OSError if the router refuses it."""
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port, limit=1 << 20)

    async def send(self, request_id: str, lane: str, left_ms: int) -> Answer:
        """Send a request and return the answer."""
        self._record.add("sent", id=request_id)
        answer = Answer(0, b"", whole=False)
        with suppress(OSError, asyncio.IncompleteReadError):
            self._writer.write(request(request_id, lane, left_ms))
            answer = await self._read()
        fields = {"status": answer.status, "bytes": len(answer.body), "whole": answer.whole}
        self._record.add("answered", id=request_id, **fields)
        return answer

    async def _read(self) -> Answer:
        first, headers = await read_head(self._reader)
        status = int(first.split()[1])
        if "chunked" not in headers.get("transfer-encoding", ""):
            return Answer(status, await read_body(self._reader, headers), whole=True)
        body = b""
        with suppress(OSError, ValueError, asyncio.IncompleteReadError):
            while size := int((await self._reader.readuntil(b"\n")).split(b";")[0], 16):
                body += (await self._reader.readexactly(size + 2))[:-2]
            await self._reader.readuntil(b"\n")
            return Answer(status, body, whole=True)
        return Answer(status, body, whole=False)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


def run(folder: Path, play: Callable[[Record], Awaitable[int]]) -> int:
    """Play a case that returns the number of breaks, and return the exit code of its script."""
    record = Record(folder / "record.txt")

    async def bounded() -> int:
        async with asyncio.timeout(110):
            return await play(record)

    try:
        with tempfile.TemporaryDirectory() as tempfile.tempdir:
            breaks = asyncio.run(bounded())
    except (OSError, RuntimeError, TimeoutError) as error:
        record.add("could-not-run", error=repr(error))
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    record.add("result", breaks=breaks)
    print(f"{breaks} breaks")
    return BROKEN if breaks else HELD
