"""Run the router as a process with stand-ins for discovery and endpoints."""

import asyncio
import json
import os
import signal
import sys
from contextlib import asynccontextmanager

from endpoint_handlers import decode, prefill
from platform_requests import SETTINGS
from stand_in_discovery import StandInDiscovery, registry_entry
from stand_in_server import StandInServer
from time_limits import within

from llm_router.emulator.fault_plan import FAULT_PLAN_VARIABLE
from llm_router.emulator.http import read_message
from llm_router.emulator.listen_ports import reserve_port

MAX_LINE_BYTES = 1 << 20  # maximum length of a log line
INTERNAL_ERROR_EVENTS = (
    "library",
    "task_failed",
    "request_handler_failed",
    "relay_failed",
    "event_loop_error",
    "decision_failed",
)


class RouterProcess:
    """A router process with its log, its configuration, and its stand-in discovery and endpoints."""

    def __init__(self, process, address):
        self.process = process
        self.address = address
        self.log = []
        self.discovery = None
        self.file = None  # path of the configuration file
        self.configuration = None
        self.entries = None  # entries of the endpoint list at the start
        self.prefill_server = None
        self.decode_server = None

    async def wait_for_log(self, event):
        """Read the log until a line has the event, and return this line."""
        while True:
            raw = await within(self.process.stderr.readline())
            assert raw, f"the router ended before it logged {event}: {self.log}"
            print(raw.decode(), end="")
            self.log.append(json.loads(raw))
            if self.log[-1]["event"] == event:
                return self.log[-1]

    def reload(self, text=None, **changes):
        """Replace the configuration file and send SIGHUP."""
        new = self.file.with_suffix(".new")
        new.write_text(json.dumps({**self.configuration, **changes}) if text is None else text)
        new.rename(self.file)
        self.process.send_signal(signal.SIGHUP)

    @property
    def log_pipe(self):
        """The reading end of the pipe to which the router writes its log."""
        return self.process._transport.get_pipe_transport(2)

    async def stop(self):
        """Stop the router and return its exit status."""
        self.process.send_signal(signal.SIGTERM)
        return await within(self.process.wait())

    async def stop_and_read_internal_errors(self):
        """Stop the router and return the lines of its log that report internal errors."""
        assert await self.stop() == 0
        remaining = await within(self.process.stderr.read())
        self.log += [json.loads(line) for line in remaining.splitlines()]
        return [line for line in self.log if line["event"] in INTERNAL_ERROR_EVENTS]

    async def connect(self):
        """Open a connection to the router."""
        host, port = self.address.split(":")
        return await asyncio.open_connection(host, int(port))

    async def exchange(self, data):
        """Send raw bytes on a new connection and return the response."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            return await within(read_message(reader))
        finally:
            writer.close()


@asynccontextmanager
async def started_process(*arguments, address, module="llm_router", **environment):
    """Start a router process, and kill it at the end of the block if it is still running."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        env={**os.environ, **environment},
        stderr=asyncio.subprocess.PIPE,
        limit=MAX_LINE_BYTES,
    )
    router = RouterProcess(process, address)
    try:
        await router.wait_for_log("started")
        yield router
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@asynccontextmanager
async def running_router(tmp_path, entries, plan=None, **changes):
    """Start a router with the platform's configuration and a stand-in discovery that lists the entries.

    `plan` is a fault plan for the router's system calls (llm_router.emulator.fault_plan). `changes` replace
    keys of the configuration."""
    address = f"127.0.0.1:{reserve_port()}"
    async with StandInDiscovery(entries) as discovery:
        configuration = {
            "name": "n1",
            "listen": address,
            "discovery": discovery.address,
            "seed": "8c1f",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "settings": SETTINGS,
            "known": {"index": 0, "snapshot": True, "endpoints": entries},
            **changes,
        }
        file = tmp_path / "config.json"
        file.write_text(json.dumps(configuration))
        options = {"EDGE_CONFIG": str(file)}
        if plan is not None:
            options |= {
                "module": "llm_router.emulator.failing_calls",
                FAULT_PLAN_VARIABLE: json.dumps(plan),
            }
        async with started_process(address=address, **options) as router:
            router.discovery = discovery
            router.file = file
            router.configuration = configuration
            yield router


@asynccontextmanager
async def router_with_endpoints(tmp_path, prefill=prefill, decode=decode, **changes):
    """Start a router with one prefill and one decode endpoint, which run the given handlers."""
    async with StandInServer(prefill) as prefill_server, StandInServer(decode) as decode_server:
        entries = [
            registry_entry("r1", prefill_server.address, "prefill"),
            registry_entry("w1", decode_server.address, "decode"),
        ]
        async with running_router(tmp_path, entries, **changes) as router:
            router.prefill_server = prefill_server
            router.decode_server = decode_server
            router.entries = entries
            yield router
