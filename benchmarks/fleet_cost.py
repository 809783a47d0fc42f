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

from hoplane.core import events as ev
from hoplane.core.ledger import Ledger
from hoplane.core.reducer import Conductor, reduce
from hoplane.decision import interface as api
from hoplane.decision.rules import Router

MS, SECOND = 1_000_000, 1_000_000_000
CELL = 6  # endpoints
REQUEST_GAP = 30 * MS  # between two requests, as a busy conductor has them
WARM_UP, ROUNDS = 100, 300
CHANGES = 60
ROLES = {"prefill": api.Role.READ, "decode": api.Role.WRITE}


def settings(routers: int) -> api.Settings:
    """Give a customer's settings with one class."""
    return api.Settings(
        kinds=tuple(api.KindSettings(name, role, 200_000) for name, role in ROLES.items()),
        classes=(api.ClassSettings("chat", 1500 * MS, 7500 * MS, api.Effect.SAFE),),
        routers=routers,
        tick=4 * MS,
        cancel=True,
        max_attempts=4,
        ahead=True,
        writers_read=True,
        release_within=300 * MS,
        cold=11 * SECOND,
        cold_share=0.28,
        fall_multiple=2.5,
        fall=2 * SECOND,
        drain_grace=SECOND,
    )


def endpoint(number: int, state: api.State = api.State.LIVE) -> ev.Endpoint:
    """Give an endpoint of a fleet, half of each role in each cell."""
    kind = "prefill" if number % 2 else "decode"
    return ev.Endpoint(
        f"s-{number:06d}", f"127.0.0.1:{1 + number % 60_000}", "z", kind, number // CELL, state
    )


def entry(told: ev.Endpoint, number: int) -> api.Entry:
    """Give an endpoint as the decisions know it."""
    return api.Entry(number, told.kind, told.zone, told.cell, told.state)


@dataclass(slots=True)
class Cost:
    """CPU milliseconds of one request and of one change, and the memory that a fleet takes, in KiB."""

    request: float
    change: float
    memory: float = 0.0


class Decisions:
    """The router alone."""

    def __init__(self, size: int, routers: int) -> None:
        self.router = Router(settings(routers), seed=7)
        self.now, self.ids, self.size = 1000 * SECOND, count(), size
        told = [endpoint(number) for number in range(size)]
        self.router.handle(self.now, api.Fleet(tuple(entry(e, n) for n, e in enumerate(told)), whole=True))

    def send(self, event: api.Event) -> api.Send:
        """Play an event that makes the router send."""
        return next(a for a in self.router.handle(self.now, event) if isinstance(a, api.Send))

    def request(self) -> None:
        """Play a request to its end."""
        self.now += REQUEST_GAP
        id = f"r{next(self.ids)}"
        read = self.send(api.Request(id, "chat", 2000, 200, 7500 * MS, session=id))
        self.now += MS
        write = self.send(api.Outcome(id, 0, read.server, api.Status.MISS, MS))
        self.now += MS
        self.router.handle(self.now, api.FirstToken(id, 1, write.server, MS))
        self.router.handle(self.now, api.Outcome(id, 1, write.server, api.Status.OK, 2 * MS, closed=True))

    def change(self) -> None:
        """Replace one endpoint by another."""
        number = next(self.ids)
        old, new = endpoint(number % self.size, api.State.GONE), endpoint(self.size + number)
        entries = entry(old, number % self.size), entry(new, self.size + number)
        self.router.handle(self.now, api.Fleet(entries, whole=False))


class Core:
    """The reducer with the router."""

    def __init__(self, size: int, routers: int) -> None:
        told = settings(routers)
        self.state = Conductor(told, Router(told, seed=7), Ledger(9, timedelta(minutes=10)))
        self.now, self.ids, self.size = timedelta(seconds=1000), count(), size
        self.do(ev.Listed(tuple(endpoint(number) for number in range(size)), True))

    def do(self, event: ev.Event) -> list[ev.Effect]:
        """Play an event."""
        return reduce(self.state, self.now, event)

    def forward(self, event: ev.Event) -> ev.Forward:
        """Play an event that makes the core forward."""
        return next(effect for effect in self.do(event) if isinstance(effect, ev.Forward))

    def request(self) -> None:
        """Play a request to its end."""
        self.now += timedelta(milliseconds=30)
        id = f"r{next(self.ids)}"
        self.forward(ev.Asked(id, "chat", 2000, 200, timedelta(seconds=7.5), session=id))
        self.do(ev.Sent(id, 0))
        self.now += timedelta(milliseconds=1)
        self.forward(ev.Ended(id, 0, api.Status.MISS))
        self.do(ev.ReservationEnded(id, 0, ev.Reservation.NOT_HELD))
        self.do(ev.Sent(id, 1))
        self.do(ev.Began(id, 1))
        self.do(ev.Ended(id, 1, api.Status.OK))

    def change(self) -> None:
        """Replace one endpoint by another."""
        number = next(self.ids)
        old, new = endpoint(number % self.size, api.State.GONE), endpoint(self.size + number)
        self.do(ev.Listed((old, new), False))


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
