"""Measure the CPU time of a request and of an endpoint list change in fleets of different sizes.

    .venv/bin/python -m benchmarks.fleet_cost [--sizes 100,400,1600,3200] [--routers 200]

Each row shows the median CPU time of this process over many rounds, and its ratio to the smallest fleet. The
layer `policy` is the routing policy alone; the layer `reducer` is the lifecycle's reducer with the policy. A
request consists of a prefill attempt and a decode attempt. A change replaces one endpoint by another."""

from __future__ import annotations

import argparse
import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from itertools import count
from statistics import median
from typing import Protocol

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.idempotency_registry import IdempotencyRegistry
from llm_router.lifecycle.reducer import RouterState, reduce
from llm_router.routing import actions as routing_actions
from llm_router.routing import events as routing_events
from llm_router.routing.events import AttemptStatus, EndpointStatus
from llm_router.routing.policy import RoutingPolicy
from llm_router.routing.settings import ClassSettings, Idempotency, KindSettings, Role, Settings

MS = 1_000_000  # one millisecond in nanoseconds
SECOND = 1_000_000_000  # one second in nanoseconds
CELL_SIZE = 6  # endpoints per cell
REQUEST_INTERVAL = 30 * MS  # simulated time between two requests, as at a busy router
WARM_UP_ROUNDS = 100
REQUEST_ROUNDS = 300
CHANGE_ROUNDS = 60
ROLES = {"prefill": Role.PREFILL, "decode": Role.DECODE}


def settings(routers: int) -> Settings:
    """Return router settings with one request class."""
    return Settings(
        kinds=tuple(KindSettings(name, role, 200_000) for name, role in ROLES.items()),
        classes=(ClassSettings("chat", 1500 * MS, 7500 * MS, Idempotency.SAFE),),
        router_count=routers,
        timer_resolution=4 * MS,
        may_cancel=True,
        max_attempts=4,
        reservations=True,
        append_prefill=True,
        release_timeout=300 * MS,
        slow_start_window=11 * SECOND,
        slow_start_share=0.28,
        overload_factor=2.5,
        overload_window=2 * SECOND,
        drain_grace=SECOND,
    )


def endpoint(number: int, status: EndpointStatus = EndpointStatus.READY) -> Endpoint:
    """Return an endpoint of the lifecycle; roles alternate, so that each cell has half of each role."""
    kind = "prefill" if number % 2 else "decode"
    return Endpoint(
        f"s-{number:06d}", f"127.0.0.1:{1 + number % 60_000}", "z", kind, number // CELL_SIZE, status
    )


def entry(number: int, status: EndpointStatus = EndpointStatus.READY) -> routing_events.EndpointEntry:
    """Return an endpoint as an entry of the routing policy's endpoint list."""
    known = endpoint(number, status)
    return routing_events.EndpointEntry(number, known.kind, known.zone, known.cell, known.status)


@dataclass(slots=True, frozen=True)
class Cost:
    """The CPU time of one request and of one change in ms, and the peak memory of a fleet's state in KiB."""

    request_ms: float
    change_ms: float
    memory_kib: float


class Workload(Protocol):
    """The interface through which a layer of the router is measured with a fleet of one size."""

    def serve_request(self) -> None:
        """Process one request until its response is complete."""

    def replace_endpoint(self) -> None:
        """Replace one endpoint by a new one in the endpoint list."""


class PolicyWorkload:
    """A workload for the routing policy alone."""

    def __init__(self, size: int, routers: int) -> None:
        self._policy = RoutingPolicy(settings(routers), seed=7)
        self._now = 1000 * SECOND
        self._numbers = count()
        self._size = size
        entries = tuple(entry(number) for number in range(size))
        self._policy.handle(self._now, routing_events.EndpointListUpdate(entries, is_full=True))

    def serve_request(self) -> None:
        """Process one request until its response is complete."""
        self._now += REQUEST_INTERVAL
        request_id = f"r{next(self._numbers)}"
        received = routing_events.RequestReceived(
            request_id, "chat", 2000, 200, 7500 * MS, session=request_id
        )
        prefill = self._handle_and_start(received)
        self._now += MS
        prefilled = routing_events.AttemptEnded(
            request_id, 0, prefill.endpoint_id, AttemptStatus.PREFILLED, MS
        )
        decode = self._handle_and_start(prefilled)
        self._now += MS
        first_token = routing_events.FirstToken(request_id, 1, decode.endpoint_id, MS)
        self._policy.handle(self._now, first_token)
        decoded = routing_events.AttemptEnded(
            request_id, 1, decode.endpoint_id, AttemptStatus.OK, 2 * MS, request_closed=True
        )
        self._policy.handle(self._now, decoded)

    def replace_endpoint(self) -> None:
        """Replace one endpoint by a new one in the endpoint list."""
        number = next(self._numbers)
        removed = entry(number % self._size, EndpointStatus.REMOVED)
        added = entry(self._size + number)
        update = routing_events.EndpointListUpdate((removed, added), is_full=False)
        self._policy.handle(self._now, update)

    def _handle_and_start(self, event: routing_events.Event) -> routing_actions.StartAttempt:
        """Handle an event, and return the attempt that the policy starts."""
        actions = self._policy.handle(self._now, event)
        return next(action for action in actions if isinstance(action, routing_actions.StartAttempt))


class ReducerWorkload:
    """A workload for the lifecycle's reducer together with the routing policy."""

    def __init__(self, size: int, routers: int) -> None:
        fleet_settings = settings(routers)
        policy = RoutingPolicy(fleet_settings, seed=7)
        self._state = RouterState(fleet_settings, policy, IdempotencyRegistry(9, timedelta(minutes=10)))
        self._now = timedelta(seconds=1000)
        self._numbers = count()
        self._size = size
        endpoints = tuple(endpoint(number) for number in range(size))
        self._reduce(events.EndpointListReceived(endpoints, True))

    def serve_request(self) -> None:
        """Process one request until its response is complete."""
        self._now += timedelta(milliseconds=30)
        request_id = f"r{next(self._numbers)}"
        self._reduce_and_open(
            events.RequestReceived(request_id, "chat", 2000, 200, timedelta(seconds=7.5), session=request_id)
        )
        self._reduce(events.AttemptWritten(request_id, 0))
        self._now += timedelta(milliseconds=1)
        self._reduce_and_open(events.AttemptEnded(request_id, 0, AttemptStatus.PREFILLED))
        self._reduce(events.ReservationEnded(request_id, 0, ReservationOutcome.REJECTED))
        self._reduce(events.AttemptWritten(request_id, 1))
        self._reduce(events.ResponseStarted(request_id, 1))
        self._reduce(events.AttemptEnded(request_id, 1, AttemptStatus.OK))

    def replace_endpoint(self) -> None:
        """Replace one endpoint by a new one in the endpoint list."""
        number = next(self._numbers)
        removed = endpoint(number % self._size, EndpointStatus.REMOVED)
        added = endpoint(self._size + number)
        self._reduce(events.EndpointListReceived((removed, added), False))

    def _reduce(self, event: events.Event) -> list[effects.Effect]:
        """Pass an event to the reducer, and return its effects."""
        return reduce(self._state, self._now, event)

    def _reduce_and_open(self, event: events.Event) -> effects.OpenAttempt:
        """Pass an event to the reducer, and return the effect that opens an attempt."""
        return next(effect for effect in self._reduce(event) if isinstance(effect, effects.OpenAttempt))


WORKLOADS: dict[str, Callable[[int, int], Workload]] = {
    "policy": PolicyWorkload,
    "reducer": ReducerWorkload,
}


def median_cpu_ms(work: Callable[[], None], rounds: int) -> float:
    """Call a function repeatedly, and return the median CPU time of a call in milliseconds."""
    times = []
    for _ in range(rounds):
        started_at = time.process_time_ns()
        work()
        times.append(time.process_time_ns() - started_at)
    return median(times) / MS


def measure(workload: Callable[[int, int], Workload], size: int, routers: int) -> Cost:
    """Measure the cost of one workload with a fleet of one size."""
    gc.collect()
    tracemalloc.start()
    workload(size, routers)
    memory_kib = tracemalloc.get_traced_memory()[1] / 1024
    tracemalloc.stop()
    fleet = workload(size, routers)
    median_cpu_ms(fleet.serve_request, WARM_UP_ROUNDS)
    request_ms = median_cpu_ms(fleet.serve_request, REQUEST_ROUNDS)
    change_ms = median_cpu_ms(fleet.replace_endpoint, CHANGE_ROUNDS)
    return Cost(request_ms, change_ms, memory_kib)


def format_line(name: str, size: int, cost: Cost, smallest: Cost) -> str:
    """Return one table row with ratios to the smallest fleet."""
    request = f"{cost.request_ms:10.3f}  {cost.request_ms / smallest.request_ms:5.2f}"
    change = f"{cost.change_ms:9.3f}  {cost.change_ms / smallest.change_ms:5.2f}"
    return f"{name:10} {size:9}  {request}  {change}  {cost.memory_kib:10.0f}"


def main() -> None:
    """Measure all workloads and fleet sizes, and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="100,400,1600,3200")
    parser.add_argument("--routers", type=int, default=200)
    options = parser.parse_args()
    print("layer      endpoints  request ms  ratio  change ms  ratio  memory KiB")
    for name, workload in WORKLOADS.items():
        smallest: Cost | None = None
        for size in map(int, options.sizes.split(",")):
            cost = measure(workload, size, options.routers)
            smallest = smallest or cost
            print(format_line(name, size, cost, smallest), flush=True)


if __name__ == "__main__":
    main()
