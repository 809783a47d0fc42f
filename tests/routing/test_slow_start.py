"""Slow start limits the total rate of attempts of all router instances.

The tests guard against an overload of starting endpoints to which many routers send at the same time."""

import random
from heapq import heappop, heappush
from itertools import count
from math import sqrt

import pytest
from policy_harness import MS, S, entry, settings

from llm_router.routing import actions, events
from llm_router.routing.events import AttemptStatus
from llm_router.routing.policy import RoutingPolicy

# The IDs of the endpoints that start when the second endpoint list is published.
STARTING_IDS = {"prefill": 9, "decode": 19}
# Requests per second over all routers, duration of the load after that start, and number of prefixes.
RATE, SPAN, PREFIXES = 120, 6 * S, 6
PREFILL_TIME, DECODE_TIME = 30 * MS, 200 * MS  # duration of each prefill and of each answer


def fleet(started_at):
    kinds = ["prefill"] * 10 + ["decode"] * 10
    starting = STARTING_IDS.values()
    return tuple(
        entry(n, kind, n % 2, started_at=started_at if n in starting else 0) for n, kind in enumerate(kinds)
    )


class Simulation:
    """A simulation of many routers with one clock; endpoints answer each attempt after a fixed time."""

    def __init__(self, routers, seed, failure_rate=0.0, warm_up=3 * S):
        self.rng, self.seq, self.queue = random.Random(seed), count(), []
        self.settings = settings(router_count=routers, max_attempts=4, reservations=True)
        self.failure_rate, self.sent = failure_rate, []
        self.routers = [RoutingPolicy(self.settings, seed * 1000 + n) for n in range(routers)]
        start = 1000 * S
        self.started_at = start + warm_up
        # Some routers get several times the mean rate of requests.
        weights = [self.rng.choice((1, 1, 1, 4)) for _ in self.routers]
        without, starting = fleet(0), fleet(self.started_at)
        for n in range(routers):
            self.schedule(start, n, events.EndpointListUpdate(without, is_full=True))
            self.schedule(
                self.started_at + self.rng.randrange(300 * MS),
                n,
                events.EndpointListUpdate(starting, is_full=True),
            )
        for n in range(RATE * (SPAN + warm_up) // S):
            at = start + 1 + self.rng.randrange(SPAN + warm_up)
            router = self.rng.choices(range(routers), weights)[0]
            prefix = f"p{self.rng.randrange(PREFIXES)}"
            self.schedule(
                at, router, events.RequestReceived(f"r{n}", "c", 2000, 200, 4 * S, f"s{n}", prefix, 1000)
            )
        while self.queue:
            now, _, router, event = heappop(self.queue)
            if now < start + warm_up + SPAN:
                self.handle_event(now, router, event)

    def schedule(self, now, router, event):
        heappush(self.queue, (now, next(self.seq), router, event))

    def handle_event(self, now, router, event):
        attempts = {}
        for action in self.routers[router].handle(now, event):
            if isinstance(action, actions.SetTimer):
                self.schedule(action.at, router, events.TimerFired(action.timer_id))
            elif isinstance(action, actions.StartAttempt):
                request = self.routers[router].requests[action.request_id]
                index = attempts.setdefault(action.request_id, len(request.attempts) - 1)
                self.answer(now, router, action, index)

    def answer(self, now, router, action, index):
        self.sent.append((now, action.endpoint_id))
        request, endpoint = action.request_id, action.endpoint_id
        if endpoint not in STARTING_IDS.values() and self.rng.random() < self.failure_rate:
            self.schedule(
                now + MS,
                router,
                events.AttemptEnded(request, index, endpoint, AttemptStatus.CONNECT_FAILED, MS),
            )
        elif endpoint < 10:
            self.schedule(
                now + PREFILL_TIME,
                router,
                events.AttemptEnded(request, index, endpoint, AttemptStatus.PREFILLED, PREFILL_TIME),
            )
        else:
            self.schedule(
                now + PREFILL_TIME, router, events.FirstToken(request, index, endpoint, PREFILL_TIME)
            )
            self.schedule(
                now + DECODE_TIME,
                router,
                events.AttemptEnded(request, index, endpoint, AttemptStatus.OK, DECODE_TIME, True),
            )

    def max_sends(self, endpoint):
        """Return the maximum number of attempts at an endpoint within any overload window after its start."""
        times = [at for at, to in self.sent if to == endpoint and at >= self.started_at]
        return max(
            (sum(first <= at < first + self.settings.overload_window for at in times) for first in times),
            default=0,
        )

    def max_allowed(self, others):
        """Return the limit of attempts per overload window, from the mean rate at other endpoints.

        The limit includes a margin for random variation."""
        mean_sends = sum(to in others for at, to in self.sent if at >= self.started_at) / len(others)
        mean_per_window = mean_sends / (SPAN / S) * (self.settings.overload_window / S)
        budget = self.settings.overload_factor * self.settings.slow_start_share * mean_per_window
        return budget + 2 * sqrt(budget) + 2


@pytest.mark.parametrize("failure_rate", [0.0, 0.2], ids=["healthy", "with retries"])
@pytest.mark.parametrize("routers", [2, 30, 200])
def test_all_routers_together_respect_the_slow_start_budget(routers, failure_rate):
    for seed in (1, 2):
        simulation = Simulation(routers, seed, failure_rate)
        for role, others in (("prefill", range(9)), ("decode", range(10, 19))):
            assert simulation.max_sends(STARTING_IDS[role]) <= simulation.max_allowed(others), (role, seed)


def test_endpoints_in_slow_start_get_at_least_one_attempt():
    simulation = Simulation(30, 1)
    assert all(
        any(to == endpoint for at, to in simulation.sent if at >= simulation.started_at)
        for endpoint in STARTING_IDS.values()
    )
