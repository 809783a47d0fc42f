"""Measure the resource usage of a router process in fleets of different sizes.

    .venv/bin/python -m benchmarks.fleet_footprint [--sizes 100,400,1600,3200] [--seconds 30] [--overloaded]

Each row shows the usage and its ratio to the smallest fleet. One router, configured as one of 200, serves the
same traffic in each fleet, and one endpoint per second is replaced. CPU time and peak memory are those of the
router process. The column `connections` counts those that endpoints accepted. The column `list KB` counts
the bytes of endpoint lists after the warm-up. With `--overloaded`, each response of discovery takes 0.9 s."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import random
import tempfile
from dataclasses import astuple, dataclass
from pathlib import Path

from llm_router.emulator.discovery import EndpointRegistry
from llm_router.emulator.endpoint import EmulatedEndpoint
from llm_router.emulator.load_generator import LoadGenerator
from llm_router.emulator.oracle import Oracle
from llm_router.emulator.router_process import RouterProcess, RouterSpec
from llm_router.emulator.soak.scenario import CLASSES, DRAIN_GRACE, RELEASE_TIMEOUT, Customer, router_settings

ROUTERS = 200  # number of routers in the router's settings
WARM_UP = 5.0  # seconds of traffic before the measurement
OVERLOADED_DELAY = 0.9  # seconds before each response of overloaded discovery
REPLACEMENT_INTERVAL = 1.0  # seconds between two replacements of an endpoint
SAMPLE_INTERVAL = 0.2  # seconds between two counts of open file descriptors
HEADER = "endpoints    cpu s  ratio  memory MB  ratio  fds  ratio  connections  ratio  list KB  ratio  served"


@dataclass(slots=True, frozen=True)
class Footprint:
    """The resource usage of one router during a measurement."""

    cpu_s: float
    memory_mb: float
    descriptors: float  # maximum number of open file descriptors
    connections: float  # number of new connections to endpoints
    list_kb: float
    served: float  # fraction of the requests that got a response with status 200


@dataclass(slots=True, frozen=True)
class Usage:
    """Counters of one router since its start."""

    cpu_s: float
    connections: int
    list_bytes: int
    requests: int
    served: int


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process, from /proc (proc(5), utime and stime)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_memory_mb(pid: int) -> float:
    """Return the peak resident memory of a process in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024


def open_descriptors(pid: int) -> int:
    """Return the number of open file descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


class MeasuredFleet:
    """A fleet of emulated endpoints with one router process whose resource usage is measured."""

    def __init__(self, size: int, folder: Path) -> None:
        self._size = size
        self._oracle = Oracle(RELEASE_TIMEOUT, DRAIN_GRACE)
        self._registry = EndpointRegistry(self._oracle.drains)
        # The endpoints in start order; only the last `size` of them are in the endpoint list.
        self._started: list[EmulatedEndpoint] = []
        spec = RouterSpec("n0", router_settings(ROUTERS, 0, Customer(reservations=True)), folder)
        self._router = RouterProcess(self._oracle, self._registry, spec)
        self._clients = LoadGenerator(self._oracle, self._router, CLASSES, seed=1)

    async def measure(self, seconds: float, rate: float, overloaded: bool) -> Footprint:
        """Measure the router for some seconds under `rate` requests per second, after a warm-up."""
        await self._start()
        load = asyncio.ensure_future(self._clients.generate(rate))
        await asyncio.sleep(WARM_UP)
        self._router.agent.response_delay = OVERLOADED_DELAY if overloaded else 0.0
        replacing = asyncio.ensure_future(self._replace_endpoints())
        footprint = await self._observe(seconds)
        load.cancel()
        replacing.cancel()
        await self._router.kill()
        for endpoint in self._started:
            await endpoint.stop()
        return footprint

    async def _start(self) -> None:
        """Start the endpoints, then the router."""
        for number in range(self._size):
            await self._start_endpoint("prefill" if number % 2 else "decode")
        await self._registry.update(*(endpoint.entry() for endpoint in self._started))
        await self._router.start()

    async def _start_endpoint(self, kind: str) -> EmulatedEndpoint:
        number = len(self._started)
        endpoint = EmulatedEndpoint(self._oracle, f"{kind[0]}{number}", kind, random.Random(number))
        await endpoint.start(behind_proxy=False)
        self._started.append(endpoint)
        return endpoint

    async def _replace_endpoints(self) -> None:
        """Replace the oldest endpoint by a new one repeatedly until cancelled."""
        while True:
            await asyncio.sleep(REPLACEMENT_INTERVAL)
            oldest = self._started[-self._size]
            new = await self._start_endpoint(oldest.kind)
            await self._registry.update(oldest.entry(status="Gone"), new.entry())

    async def _observe(self, seconds: float) -> Footprint:
        """Return the resource usage of the router over some seconds."""
        pid = self._router.process.pid
        before = self._usage()
        descriptors = 0
        end = self._oracle.clock.now + seconds
        while self._oracle.clock.now < end:
            await asyncio.sleep(SAMPLE_INTERVAL)
            descriptors = max(descriptors, open_descriptors(pid))
        after = self._usage()
        return Footprint(
            cpu_s=after.cpu_s - before.cpu_s,
            memory_mb=peak_memory_mb(pid),
            descriptors=descriptors,
            connections=after.connections - before.connections,
            list_kb=(after.list_bytes - before.list_bytes) / 1024,
            served=(after.served - before.served) / max(1, after.requests - before.requests),
        )

    def _usage(self) -> Usage:
        counts = self._oracle.traffic.counts
        return Usage(
            cpu_s=cpu_seconds(self._router.process.pid),
            connections=sum(endpoint.accepted_connections for endpoint in self._started),
            list_bytes=self._router.agent.list_bytes_written,
            requests=counts["requests"],
            served=counts["answer 200"],
        )


async def measure(size: int, options: argparse.Namespace) -> Footprint:
    """Measure the resource usage of one router with a fleet of one size."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = MeasuredFleet(size, Path(folder))
        return await fleet.measure(options.seconds, options.rate, options.overloaded)


def format_line(size: int, footprint: Footprint, smallest: Footprint) -> str:
    """Return one table row with ratios to the smallest fleet."""
    columns = []
    for value, base in zip(astuple(footprint), astuple(smallest), strict=True):
        columns.append(f"{value:11.2f}  {value / max(base, 1e-9):5.2f}")
    return f"{size:9} " + " ".join(columns)


def main() -> None:
    """Measure all fleet sizes, and print a table."""
    logging.disable()  # asyncio logs errors for connections that are reset at the end, which is expected.
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="100,400,1600,3200")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--rate", type=float, default=10, help="requests a second")
    # `--crowded` is an alias of `--overloaded`.
    parser.add_argument("--overloaded", "--crowded", action="store_true")
    options = parser.parse_args()
    print(HEADER)
    smallest: Footprint | None = None
    for size in map(int, options.sizes.split(",")):
        footprint = asyncio.run(measure(size, options))
        smallest = smallest or footprint
        print(format_line(size, footprint, smallest), flush=True)


if __name__ == "__main__":
    main()
