"""Conductors as real processes, with system calls that fail, signals, and a log that is read."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from collections import Counter, deque
from pathlib import Path

import orjson

from llm_router.emulator.discovery import Agent, Registry
from llm_router.emulator.failing_calls import PLAN
from llm_router.emulator.http import message, read_message
from llm_router.emulator.oracle import Oracle, Rule

READY_WITHIN = 10.0  # seconds from a start
KILL_AFTER = 8.7  # seconds from SIGTERM to SIGKILL: more than the longest deadline and 0.7 s
TAIL = 30  # lines of the log that are kept
LINE_MOST = 1 << 20
KEEP_COMING = 0.3  # seconds after SIGTERM for which clients open new connections
FAULTS = (  # lines that tell of a fault of the conductor's own
    "library",
    "task_failed",
    "task_restarted",
    "request_handler_failed",
    "relay_failed",
    "event_loop_error",
    "invariant_violated",
)


def free_port() -> int:
    """Give a port of the loopback that nobody listens at."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Conductor:
    """One conductor: its configuration, its agent, and its process, which may be restarted."""

    def __init__(self, oracle: Oracle, registry: Registry, folder: Path, name: str, settings: dict) -> None:
        self.oracle, self.registry, self.name, self.settings = oracle, registry, name, settings
        self.file = folder / f"{name}.json"
        self.listen = f"127.0.0.1:{free_port()}"
        self.agent = Agent(registry, name)
        self.plan: dict = {}
        self.process: asyncio.subprocess.Process | None = None
        self.ready = False
        self.ending = False  # we have asked it to end
        self.events: Counter[str] = Counter()
        self.tail: deque[str] = deque(maxlen=TAIL)
        self.reads_log = asyncio.Event()
        self.reads_log.set()
        self.tasks: set[asyncio.Task] = set()

    def write_configuration(self) -> None:
        """Replace the configuration file."""
        told = {
            "name": self.name,
            "listen": self.listen,
            "discovery": self.agent.address,
            "seed": os.urandom(8).hex(),
            "limits": {"memory_mb": 192, "sockets": 512},
            "known": self.registry.whole(),
            "settings": self.settings,
        }
        new = self.file.with_suffix(".new")
        new.write_bytes(orjson.dumps(told))
        new.rename(self.file)

    def spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        self.agent.reset()  # what still goes to the process before is told to nobody
        self.oracle.restarted(self.name)
        if self.agent.server is None:
            await self.agent.start()
        self.write_configuration()
        self.ending = False
        environ = {**os.environ, "EDGE_CONFIG": str(self.file), PLAN: orjson.dumps(self.plan).decode()}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "llm_router.emulator.failing_calls",
            env=environ,
            stderr=asyncio.subprocess.PIPE,
            limit=LINE_MOST,
        )
        self.spawn(self.read_log(self.process))
        self.spawn(self.watch_end(self.process))
        begun = self.oracle.now
        while not await self.asks_ready():
            if self.oracle.now - begun > READY_WITHIN + self.oracle.lag:
                self.oracle.broken(Rule.CRASH, self.name, "not ready in time")
                return
            await asyncio.sleep(0.05)
        self.ready = True

    async def asks_ready(self) -> bool:
        """Tell whether it answers that it is ready."""
        host, port = self.listen.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(message("GET /health/ready HTTP/1.1", Host="h"))
            async with asyncio.timeout(1):
                answer = await read_message(reader)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return answer is not None and answer.status == 200

    async def read_log(self, process: asyncio.subprocess.Process) -> None:
        """Read the log while somebody does, and count its events."""
        while line := await process.stderr.readline():
            await self.reads_log.wait()
            self.tail.append(line.decode(errors="replace").strip())
            try:
                event = orjson.loads(line)["event"]
            except (orjson.JSONDecodeError, KeyError, TypeError):
                self.oracle.broken(Rule.FAULT, self.name, f"a line of the log is spoilt: {line[:200]!r}")
                continue
            self.events[event] += 1
            if event in FAULTS:
                self.oracle.broken(Rule.FAULT, self.name, line.decode()[:500])

    async def watch_end(self, process: asyncio.subprocess.Process) -> None:
        """Tell of a process that ends by itself."""
        status = await process.wait()
        if not self.ending or (status not in (0, -signal.SIGKILL)):
            self.oracle.broken(Rule.CRASH, self.name, f"ended with {status}: {list(self.tail)[-3:]}")
        self.ready = False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that we started."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Ask it to end, as at a planned restart, and kill it where it does not."""
        self.ending = True
        self.signal(signal.SIGTERM)
        await asyncio.sleep(KEEP_COMING)
        self.ready = False
        try:
            async with asyncio.timeout(KILL_AFTER):
                await self.process.wait()
        except TimeoutError:
            self.oracle.broken(Rule.CRASH, self.name, f"did not end: {list(self.tail)[-3:]}")
            await self.kill()

    async def kill(self) -> None:
        """Kill it outright; what it had held is freed by endpoints."""
        self.ready, self.ending = False, True
        self.oracle.forgive_held(self.name)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def reload(self) -> None:
        """Move discovery to another address with a new configuration, and close the old one later."""
        old, self.agent = self.agent, Agent(self.registry, self.name)
        await self.agent.start()
        self.write_configuration()
        self.signal(signal.SIGHUP)
        await asyncio.sleep(1.5)
        old.stop()
