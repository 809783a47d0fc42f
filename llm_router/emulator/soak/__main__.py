"""Run randomized fault soaks of one or more seeds from the command line.

    python -m llm_router.emulator.soak --seed 1 --seconds 30 --routers 10

A soak runs real router processes on loopback under overlapping faults, and the oracle checks the protocol's
rules. The seed determines the random choice of traffic and faults. The timing of processes and sockets still
varies, so two runs with one seed are similar but not identical. The command prints each violation with the
faults that were active around it, and exits with status 1 if there was any."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from llm_router.emulator.soak.fleet import FleetSize
from llm_router.emulator.soak.soak import Soak, SoakResult


async def run_soak(seed: int, seconds: float, size: FleetSize) -> SoakResult:
    """Run one soak in a temporary folder and return its result."""
    # Closing the loop cancels the tasks of open connections, and the loop must not report these as errors.
    asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
    with tempfile.TemporaryDirectory() as folder:
        return await Soak(seed, size, Path(folder)).run(seconds)


def print_result(seed: int, result: SoakResult) -> None:
    """Print the counts and the violations of a soak."""
    print(f"seed {seed}: {result.customer} {dict(result.counts)}")
    print(f"  log: {dict(result.log_events)}")
    for reported in result.violations:
        violation = reported.violation
        print(
            f"  VIOLATION {violation.rule.value} {violation.subject}: {violation.detail} [{reported.faults}]"
        )
    print(f"seed {seed}: {len(result.violations)} violations", flush=True)


def main(arguments: list[str]) -> int:
    """Run the soaks and return the exit status: 1 if any soak violated a rule, otherwise 0."""
    parser = argparse.ArgumentParser(prog="llm_router.emulator.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds to run")
    parser.add_argument("--seconds", type=float, default=30)
    # --conductors is a deprecated alias of --routers.
    parser.add_argument("--routers", "--conductors", type=int, default=10)
    parser.add_argument("--rate", type=float, default=5, help="requests per second to each router")
    options = parser.parse_args(arguments)
    size = FleetSize(options.routers, options.rate)
    violated = False
    for seed in range(options.seed, options.seed + options.seeds):
        result = asyncio.run(run_soak(seed, options.seconds, size))
        print_result(seed, result)
        violated = violated or bool(result.violations)
    return 1 if violated else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
