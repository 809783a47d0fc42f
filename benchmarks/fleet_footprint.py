"""Prints what a real conductor needs with fleets of different sizes, as ratios to the smallest in one run.

    .venv/bin/python -m benchmarks.fleet_footprint [--sizes 100,400,1600,3200] [--seconds 30] [--crowded]

One conductor of 200 serves the same traffic each time; one endpoint a second is replaced by another. CPU
seconds and peak memory are the process's own, connections those that endpoints accepted, list bytes those
that discovery wrote after the first list. `--crowded`: each answer of discovery takes 0.9 s."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import random
import tempfile
from dataclasses import astuple, dataclass
from pathlib import Path

from llm_router.emulator.clients import Clients
from llm_router.emulator.conductors import Conductor
from llm_router.emulator.discovery import Registry
from llm_router.emulator.endpoints import Endpoint
from llm_router.emulator.oracle import Oracle
from llm_router.emulator.soak import CLASSES, DRAIN_GRACE, RELEASE_WITHIN, settings

CONDUCTORS = 200
WARM_UP = 5.0  # seconds before anything is measured
CROWDED = 0.9  # seconds that each answer of crowded discovery takes


@dataclass(slots=True)
class Footprint:
    """What one conductor needed."""

    cpu_s: float
    memory_mb: float
    descriptors: float
    connections: float
    list_kb: float
    served: float  # share of the requests


def cpu_seconds(pid: int) -> float:
    """Give the CPU time of a process, from /proc (proc(5), utime and stime)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_memory(pid: int) -> float:
    """Give the largest resident memory of a process so far, in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024


async def replace_endpoints(registry: Registry, fleet: list[Endpoint], make: object) -> None:
    """Replace one endpoint a second."""
    while True:
        await asyncio.sleep(1)
        old = fleet.pop(0)
        fleet.append(new := await make(old.kind))
        await registry.put(old.entry(status="Gone"), new.entry())


async def measure(size: int, seconds: float, rate: float, crowded: bool, folder: Path) -> Footprint:
    """Measure one conductor over a fleet of one size."""
    oracle = Oracle(RELEASE_WITHIN, DRAIN_GRACE)
    registry, made = Registry(oracle), []

    async def make(kind: str) -> Endpoint:
        endpoint = Endpoint(oracle, f"{kind[0]}{len(made)}", kind, random.Random(len(made)))
        await endpoint.start(behind_proxy=False)
        made.append(endpoint)
        return endpoint

    fleet = [await make("prefill" if number % 2 else "decode") for number in range(size)]
    await registry.put(*(each.entry() for each in fleet))
    conductor = Conductor(oracle, registry, folder, "n0", settings(CONDUCTORS, 0, ahead=True))
    await conductor.start()
    clients = Clients(oracle, conductor, CLASSES, seed=1)
    coming = asyncio.ensure_future(clients.arrive(rate))
    await asyncio.sleep(WARM_UP)
    conductor.agent.delay = CROWDED if crowded else 0.0
    replacing = asyncio.ensure_future(replace_endpoints(registry, fleet, make))
    pid, descriptors = conductor.process.pid, 0
    cpu, connections = cpu_seconds(pid), sum(each.connections for each in made)
    lists, counts = conductor.agent.bytes_written, oracle.counts.copy()
    end = oracle.now + seconds
    while oracle.now < end:
        await asyncio.sleep(0.2)
        descriptors = max(descriptors, len(os.listdir(f"/proc/{pid}/fd")))
    counts = oracle.counts - counts
    footprint = Footprint(
        cpu_seconds(pid) - cpu,
        peak_memory(pid),
        descriptors,
        sum(each.connections for each in made) - connections,
        (conductor.agent.bytes_written - lists) / 1024,
        counts["answer 200"] / max(1, counts["asked"]),
    )
    coming.cancel()
    replacing.cancel()
    await conductor.kill()
    for endpoint in made:
        await endpoint.stop()
    return footprint


def main() -> None:
    """Measure and print."""
    logging.disable()  # connections that are cut at the end are no news
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="100,400,1600,3200")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--rate", type=float, default=10, help="requests a second")
    parser.add_argument("--crowded", action="store_true")
    told = parser.parse_args()
    print(
        "endpoints    cpu s  ratio  memory MB  ratio  fds  ratio  connections  ratio  list KB  ratio  served"
    )
    first: Footprint | None = None
    for size in map(int, told.sizes.split(",")):
        with tempfile.TemporaryDirectory() as folder:
            found = asyncio.run(measure(size, told.seconds, told.rate, told.crowded, Path(folder)))
        first = first or found
        ratios = [value / max(base, 1e-9) for value, base in zip(astuple(found), astuple(first), strict=True)]
        figures = (
            f"{value:11.2f}  {ratio:5.2f}" for value, ratio in zip(astuple(found), ratios, strict=True)
        )
        print(f"{size:9} " + " ".join(figures), flush=True)


if __name__ == "__main__":
    main()
