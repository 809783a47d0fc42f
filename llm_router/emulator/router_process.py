"""Run a router as a child process: inject system call failures, send signals and check its log."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from llm_router.emulator.background_tasks import BackgroundTasks
from llm_router.emulator.discovery import DiscoveryAgent, EndpointRegistry
from llm_router.emulator.fault_plan import FAULT_PLAN_VARIABLE
from llm_router.emulator.http import message, read_message
from llm_router.emulator.listen_ports import reserve_port
from llm_router.emulator.oracle import Oracle, Rule

START_TIMEOUT = 10.0  # seconds from the start of a router within which it must be ready
READINESS_INTERVAL = 0.05  # seconds between two readiness probes
READINESS_TIMEOUT = 1.0  # seconds that one readiness probe may take
COUNTED_DEADLINE = 3.0  # seconds that STOP_TIMEOUT allows for the longest deadline of a request
STOP_GRACE = 0.7  # seconds after SIGTERM within which a new request may still use its whole deadline
STOP_TIMEOUT = COUNTED_DEADLINE + STOP_GRACE  # seconds from SIGTERM to SIGKILL, the minimum of the protocol
SIGNAL_INTERVAL = 0.02  # seconds between two signals of one stop
NEW_CONNECTION_GRACE = 0.3  # seconds after the last signal during which clients still open connections
# Maximum seconds after SIGTERM for which the protocol has clients send on new connections.
NEW_CONNECTION_PERIOD = 0.4
DISCOVERY_OVERLAP = 1.5  # seconds after a reload during which the old discovery address still answers
RECENT_LOG_LINES = 30  # maximum number of log lines kept for crash reports
MAX_LINE_BYTES = 1 << 20  # maximum length of a log line
INTERNAL_ERROR_EVENTS = (  # names of the log events that report an internal error of the router
    "library",
    "task_failed",
    "task_restarted",
    "request_handler_failed",
    "relay_failed",
    "event_loop_error",
    "decision_failed",
    "invariant_violated",
)


@dataclass(slots=True, frozen=True)
class RouterSpec:
    """The name, settings and configuration folder of a router."""

    name: str
    settings: dict[str, Any]
    folder: Path  # The configuration file is written to this folder.


@dataclass(slots=True)
class ProcessRun:
    """One process of a router, and whether it was told to end.

    Each run has a flag of its own, because the next run may start before the exit of this one is checked."""

    process: asyncio.subprocess.Process
    is_stopping: bool = False


class RouterProcess:
    """A router with its configuration, its discovery agent and its process; the process can be restarted."""

    def __init__(self, oracle: Oracle, registry: EndpointRegistry, spec: RouterSpec) -> None:
        self.name = spec.name
        self.listen = f"127.0.0.1:{reserve_port()}"
        self.fault_plan: dict[str, Any] = {}  # Takes effect at the next start.
        self.ready = False
        self.events: Counter[str] = Counter()  # number of log lines for each event name
        self._oracle = oracle
        self._registry = registry
        self._settings = spec.settings
        self._file = spec.folder / f"{spec.name}.json"
        self._run: ProcessRun | None = None  # the latest run
        self.terminated_at: float | None = None  # time at which SIGTERM was sent to the process
        self._recent_lines: deque[str] = deque(maxlen=RECENT_LOG_LINES)
        self._log_readable = asyncio.Event()  # Cleared while log reading is paused.
        self._log_readable.set()
        self._tasks = BackgroundTasks()
        self.agent = self._new_agent()

    @property
    def process(self) -> asyncio.subprocess.Process:
        """Return the latest process; raise a RuntimeError if none was started."""
        return self._latest_run.process

    @property
    def _latest_run(self) -> ProcessRun:
        """Return the latest run; raise a RuntimeError if none was started."""
        if self._run is None:
            raise RuntimeError(f"router {self.name}: not started")
        return self._run

    @property
    def is_running(self) -> bool:
        """Return whether the latest process is running."""
        return self.process.returncode is None

    async def start(self) -> None:
        """Start a process, and wait until the router is ready."""
        self.agent.reset()  # Responses to the previous process must not count as delivered.
        self._oracle.drains.router_restarted(self.name)
        if not self.agent.is_started:
            await self.agent.start()
        self._write_configuration()
        self.terminated_at = None
        environment = {
            **os.environ,
            "EDGE_CONFIG": str(self._file),
            FAULT_PLAN_VARIABLE: orjson.dumps(self.fault_plan).decode(),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "llm_router.emulator.failing_calls",
            env=environment,
            stderr=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        self._run = ProcessRun(process)
        self._tasks.spawn(self._check_log(process))
        self._tasks.spawn(self.check_exit(self._run))
        await self._wait_until_ready()

    async def stop(self, signals: Sequence[signal.Signals] = (signal.SIGTERM,)) -> None:
        """Stop the router with signals, as in a planned restart, and wait for its exit.

        One of the signals is SIGTERM. If the router does not exit, SIGKILL follows at the earliest time that
        the protocol permits. Clients use their open connections until then."""
        self._latest_run.is_stopping = True
        for number in signals:
            self.signal(number)
            if number is signal.SIGTERM and self.terminated_at is None:
                self.terminated_at = self._oracle.clock.now
            await asyncio.sleep(SIGNAL_INTERVAL)
        await asyncio.sleep(NEW_CONNECTION_GRACE)
        self.ready = False
        remaining = STOP_TIMEOUT - (self._oracle.clock.now - (self.terminated_at or 0.0))
        try:
            async with asyncio.timeout(remaining):
                await self.process.wait()
        except TimeoutError:
            await self.kill()

    def must_answer_before_kill(self, written_at: float, deadline: float) -> bool:
        """Return whether a request had to be answered before the SIGKILL of a planned restart.

        This holds for each request that was written more than STOP_GRACE after SIGTERM. It holds for other
        requests if their deadline ends before the SIGKILL."""
        if self.terminated_at is None:
            return False
        is_late = written_at > self.terminated_at + STOP_GRACE
        return is_late or deadline < self.terminated_at + STOP_TIMEOUT

    def may_close_unread(self, written_at: float) -> bool:
        """Return whether the router may close a new connection without reading the request written at a time.

        A late request on a new connection may cross the close. The router reports one that it has read."""
        return self.terminated_at is not None and written_at > self.terminated_at + NEW_CONNECTION_PERIOD

    async def kill(self) -> None:
        """Kill the process with SIGKILL; the oracle does not check its leases, which endpoints free later."""
        self.ready = False
        self._latest_run.is_stopping = True
        self._oracle.leases.router_killed(self.name)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def reload(self) -> None:
        """Reload a configuration with a new discovery address; the old address keeps answering for a time."""
        old_agent = self.agent
        self.agent = self._new_agent()
        await self.agent.start()
        self._write_configuration()
        self.signal(signal.SIGHUP)
        await asyncio.sleep(DISCOVERY_OVERLAP)
        old_agent.stop()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self.is_running:
            self.process.send_signal(number)

    def stop_reading_log(self) -> None:
        """Pause reading the log, so that the pipe fills up."""
        self._log_readable.clear()

    def resume_reading_log(self) -> None:
        """Resume reading the log."""
        self._log_readable.set()

    def close_log(self) -> None:
        """Close the reading end of the log pipe permanently."""
        # asyncio offers no public way to close one pipe of a process.
        transport = self.process._transport  # type: ignore[attr-defined]  # private attribute
        transport.get_pipe_transport(2).close()

    def _new_agent(self) -> DiscoveryAgent:
        def on_drain_delivered(endpoint: str) -> None:
            self._oracle.drains.drain_delivered(self.name, endpoint)

        return DiscoveryAgent(self._registry, on_drain_delivered)

    def _write_configuration(self) -> None:
        """Write the configuration file and replace the old file atomically."""
        configuration = {
            "name": self.name,
            "listen": self.listen,
            "discovery": self.agent.address,
            "seed": os.urandom(8).hex(),
            "limits": {"memory_mb": 192, "sockets": 512},
            "known": self._registry.full_snapshot(),
            "settings": self._settings,
        }
        new_file = self._file.with_suffix(".new")
        new_file.write_bytes(orjson.dumps(configuration))
        new_file.rename(self._file)

    async def _wait_until_ready(self) -> None:
        clock = self._oracle.clock
        started_at = clock.now
        while not await self._probe_readiness():
            if clock.now - started_at > START_TIMEOUT + clock.scheduling_delay:
                self._oracle.violations.add(Rule.CRASH, self.name, f"not ready within {START_TIMEOUT} s")
                return
            await asyncio.sleep(READINESS_INTERVAL)
        self.ready = True

    async def _probe_readiness(self) -> bool:
        """Return whether the router answers a readiness probe with 200."""
        host, port = self.listen.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(message("GET /health/ready HTTP/1.1", Host="h"))
            async with asyncio.timeout(READINESS_TIMEOUT):
                answer = await read_message(reader)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return answer is not None and answer.status == 200

    async def _check_log(self, process: asyncio.subprocess.Process) -> None:
        """Read the log of a process, count its events, and report malformed lines and internal errors."""
        if process.stderr is None:
            raise RuntimeError(f"router {self.name}: standard error is not piped")
        while line := await process.stderr.readline():
            await self._log_readable.wait()
            self._recent_lines.append(line.decode(errors="replace").strip())
            try:
                event = orjson.loads(line)["event"]
            except (orjson.JSONDecodeError, KeyError, TypeError):
                detail = f"malformed log line: {line[:200]!r}"
                self._oracle.violations.add(Rule.FAULT, self.name, detail)
                continue
            self.events[event] += 1
            if event in INTERNAL_ERROR_EVENTS:
                self._oracle.violations.add(Rule.FAULT, self.name, line.decode()[:500])

    async def check_exit(self, run: ProcessRun) -> None:
        """Report a process that exits without being told to end, or with an unexpected status."""
        status = await run.process.wait()
        if not run.is_stopping or status not in (0, -signal.SIGKILL):
            self._report_crash(f"exited with status {status}")
        if run is self._run:
            self.ready = False

    def _report_crash(self, reason: str) -> None:
        """Report a crash with the last log lines."""
        detail = f"{reason}: {list(self._recent_lines)[-3:]}"
        self._oracle.violations.add(Rule.CRASH, self.name, detail)
