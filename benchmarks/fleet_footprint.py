"""Print what a real router needs in fleets of different sizes, as ratios to the smallest in one run.

    .venv/bin/python -m benchmarks.fleet_footprint [--sizes 100,400,1600,3200] [--seconds 30] [--overloaded]

One router of 200 serves the same traffic each time; one endpoint a second is replaced by another. CPU seconds
and peak memory are the process's own, connections those that endpoints accepted, list bytes those that
discovery wrote after the first list. `--overloaded`: each answer of discovery takes 0.9 s."""

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

ROUTERS = 200
WARM_UP = 5.0  # seconds before anything is measured
OVERLOADED_DELAY = 0.9  # seconds that each answer of overloaded discovery takes
REPLACEMENT_INTERVAL = 1.0  # seconds
SAMPLE_INTERVAL = 0.2  # seconds between two counts of descriptors
HEADER = "endpoints    cpu s  ratio  memory MB  ratio  fds  ratio  connections  ratio  list KB  ratio  served"


@dataclass(slots=True, frozen=True)
class Footprint:
    """What one router needed."""

    cpu_s: float
    memory_mb: float
    descriptors: float
    connections: float
    list_kb: float
    served: float  # share of the requests


@dataclass(slots=True, frozen=True)
class Usage:
    """What one router has used since its start."""

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
    """Return the largest resident memory of a process so far, in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024


def open_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


class MeasuredFleet:
    """A fleet of one size with one real router, and what that router uses."""

    def __init__(self, size: int, folder: Path) -> None:
        self._size = size
        self._oracle = Oracle(RELEASE_TIMEOUT, DRAIN_GRACE)
        self._registry = EndpointRegistry(self._oracle.drains)
        self._started: list[EmulatedEndpoint] = []  # in order; the last `size` are listed
        spec = RouterSpec("n0", router_settings(ROUTERS, 0, Customer(reservations=True)), folder)
        self._router = RouterProcess(self._oracle, self._registry, spec)
        self._clients = LoadGenerator(self._oracle, self._router, CLASSES, seed=1)

    async def measure(self, seconds: float, rate: float, overloaded: bool) -> Footprint:
        """Measure the router under `rate` requests a second, after a warm-up."""
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
        """Replace the oldest endpoint by a new one, and so on until cancelled."""
        while True:
            await asyncio.sleep(REPLACEMENT_INTERVAL)
            oldest = self._started[-self._size]
            new = await self._start_endpoint(oldest.kind)
            await self._registry.update(oldest.entry(status="Gone"), new.entry())

    async def _observe(self, seconds: float) -> Footprint:
        """Return what the router needs in some seconds."""
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
    """Measure one router over a fleet of one size."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = MeasuredFleet(size, Path(folder))
        return await fleet.measure(options.seconds, options.rate, options.overloaded)


def format_line(size: int, footprint: Footprint, smallest: Footprint) -> str:
    """Return a line of the table, with ratios to the smallest fleet."""
    columns = []
    for value, base in zip(astuple(footprint), astuple(smallest), strict=True):
        columns.append(f"{value:11.2f}  {value / max(base, 1e-9):5.2f}")
    return f"{size:9} " + " ".join(columns)


def main() -> None:
    """Measure and print."""
    logging.disable()  # asyncio reports connections that are cut at the end, which is expected
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="100,400,1600,3200")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--rate", type=float, default=10, help="requests a second")
    parser.add_argument("--overloaded", "--crowded", action="store_true")  # the second is the old spelling
    options = parser.parse_args()
    print(HEADER)
    smallest: Footprint | None = None
    for size in map(int, options.sizes.split(",")):
        footprint = asyncio.run(measure(size, options))
        smallest = smallest or footprint
        print(format_line(size, footprint, smallest), flush=True)


if __name__ == "__main__":
    main()
