"""Prints what a request and a change of the list cost with fleets of different sizes, as ratios in one run.

    .venv/bin/python -m benchmarks.fleet_cost [--sizes 100,400,1600,3200] [--routers 200]

CPU time of this process, the median over rounds. `decisions` is the router alone, `core` the reducer over it.
A request is one prefill and one decode attempt to the end of its answer; a change replaces one endpoint."""

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

MS, SECOND = 1_000_000, 1_000_000_000
CELL = 6  # endpoints
REQUEST_GAP = 30 * MS  # between two requests, as a busy conductor has them
WARM_UP, ROUNDS = 100, 300
CHANGES = 60
ROLES = {"prefill": Role.PREFILL, "decode": Role.DECODE}


def settings(routers: int) -> Settings:
    """Give a customer's settings with one class."""
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


def endpoint(number: int, state: EndpointStatus = EndpointStatus.READY) -> Endpoint:
    """Give an endpoint of a fleet, half of each role in each cell."""
    kind = "prefill" if number % 2 else "decode"
    return Endpoint(f"s-{number:06d}", f"127.0.0.1:{1 + number % 60_000}", "z", kind, number // CELL, state)


def entry(told: Endpoint, number: int) -> routing_events.EndpointEntry:
    """Give an endpoint as the decisions know it."""
    return routing_events.EndpointEntry(number, told.kind, told.zone, told.cell, told.status)


@dataclass(slots=True)
class Cost:
    """CPU milliseconds of one request and of one change, and the memory that a fleet takes, in KiB."""

    request: float
    change: float
    memory: float = 0.0


class Decisions:
    """The router alone."""

    def __init__(self, size: int, routers: int) -> None:
        self.router = RoutingPolicy(settings(routers), seed=7)
        self.now, self.ids, self.size = 1000 * SECOND, count(), size
        told = [endpoint(number) for number in range(size)]
        self.router.handle(
            self.now,
            routing_events.EndpointListUpdate(tuple(entry(e, n) for n, e in enumerate(told)), is_full=True),
        )

    def send(self, event: routing_events.Event) -> routing_actions.StartAttempt:
        """Play an event that makes the router send."""
        return next(
            a for a in self.router.handle(self.now, event) if isinstance(a, routing_actions.StartAttempt)
        )

    def request(self) -> None:
        """Play a request to its end."""
        self.now += REQUEST_GAP
        id = f"r{next(self.ids)}"
        read = self.send(routing_events.RequestReceived(id, "chat", 2000, 200, 7500 * MS, session=id))
        self.now += MS
        write = self.send(routing_events.AttemptEnded(id, 0, read.endpoint_id, AttemptStatus.PREFILLED, MS))
        self.now += MS
        self.router.handle(self.now, routing_events.FirstToken(id, 1, write.endpoint_id, MS))
        self.router.handle(
            self.now,
            routing_events.AttemptEnded(
                id, 1, write.endpoint_id, AttemptStatus.OK, 2 * MS, request_closed=True
            ),
        )

    def change(self) -> None:
        """Replace one endpoint by another."""
        number = next(self.ids)
        old, new = endpoint(number % self.size, EndpointStatus.REMOVED), endpoint(self.size + number)
        entries = entry(old, number % self.size), entry(new, self.size + number)
        self.router.handle(self.now, routing_events.EndpointListUpdate(entries, is_full=False))


class Core:
    """The reducer with the router."""

    def __init__(self, size: int, routers: int) -> None:
        told = settings(routers)
        self.state = RouterState(
            told, RoutingPolicy(told, seed=7), IdempotencyRegistry(9, timedelta(minutes=10))
        )
        self.now, self.ids, self.size = timedelta(seconds=1000), count(), size
        self.do(events.EndpointListReceived(tuple(endpoint(number) for number in range(size)), True))

    def do(self, event: events.Event) -> list[effects.Effect]:
        """Play an event."""
        return reduce(self.state, self.now, event)

    def forward(self, event: events.Event) -> effects.OpenAttempt:
        """Play an event that makes the core forward."""
        return next(effect for effect in self.do(event) if isinstance(effect, effects.OpenAttempt))

    def request(self) -> None:
        """Play a request to its end."""
        self.now += timedelta(milliseconds=30)
        id = f"r{next(self.ids)}"
        self.forward(events.RequestReceived(id, "chat", 2000, 200, timedelta(seconds=7.5), session=id))
        self.do(events.AttemptWritten(id, 0))
        self.now += timedelta(milliseconds=1)
        self.forward(events.AttemptEnded(id, 0, AttemptStatus.PREFILLED))
        self.do(events.ReservationEnded(id, 0, ReservationOutcome.REJECTED))
        self.do(events.AttemptWritten(id, 1))
        self.do(events.ResponseStarted(id, 1))
        self.do(events.AttemptEnded(id, 1, AttemptStatus.OK))

    def change(self) -> None:
        """Replace one endpoint by another."""
        number = next(self.ids)
        old, new = endpoint(number % self.size, EndpointStatus.REMOVED), endpoint(self.size + number)
        self.do(events.EndpointListReceived((old, new), False))


def clock(work: Callable[[], None], rounds: int) -> float:
    """Give the median CPU time of one round, in milliseconds."""
    times = []
    for _ in range(rounds):
        begun = time.process_time_ns()
        work()
        times.append(time.process_time_ns() - begun)
    return median(times) / 1e6


def measure(layer: type[Decisions | Core], size: int, routers: int) -> Cost:
    """Measure one layer over a fleet of one size."""
    gc.collect()
    tracemalloc.start()
    layer(size, routers)
    memory = tracemalloc.get_traced_memory()[1] / 1024
    tracemalloc.stop()
    player = layer(size, routers)
    clock(player.request, WARM_UP)
    return Cost(clock(player.request, ROUNDS), clock(player.change, CHANGES), memory)


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="100,400,1600,3200")
    parser.add_argument("--routers", type=int, default=200)
    told = parser.parse_args()
    print("layer      endpoints  request ms  ratio  change ms  ratio  memory KiB")
    for layer in (Decisions, Core):
        first: Cost | None = None
        for size in map(int, told.sizes.split(",")):
            cost = measure(layer, size, told.routers)
            first = first or cost
            request = f"{cost.request:10.3f}  {cost.request / first.request:5.2f}"
            change = f"{cost.change:9.3f}  {cost.change / first.change:5.2f}"
            print(
                f"{layer.__name__.lower():10} {size:9}  {request}  {change}  {cost.memory:10.0f}", flush=True
            )


if __name__ == "__main__":
    main()
