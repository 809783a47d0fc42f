"""Slow start limits the sum of what all routers send, however many they are."""

import random
from heapq import heappop, heappush
from itertools import count
from math import sqrt

import pytest
from policy_harness import MS, S, entry, settings

from llm_router.routing import actions, events
from llm_router.routing.events import AttemptStatus
from llm_router.routing.policy import RoutingPolicy

STARTING = {"prefill": 9, "decode": 19}  # the numbers of the endpoints that start at the listing
RATE, SPAN, PREFIXES = 120, 6 * S, 6  # requests a second over all routers, and for how long
PREFILL_TIME, DECODE_TIME = 30 * MS, 200 * MS  # of each prefill and answer


def fleet(started_at):
    kinds = ["prefill"] * 10 + ["decode"] * 10
    starting = STARTING.values()
    return tuple(
        entry(n, kind, n % 2, started_at=started_at if n in starting else 0) for n, kind in enumerate(kinds)
    )


class Simulation:
    """Many routers on one clock; endpoints answer all that comes, after a fixed time."""

    def __init__(self, routers, seed, failing=0.0, learned=3 * S):
        self.rng, self.seq, self.queue = random.Random(seed), count(), []
        self.settings = settings(router_count=routers, max_attempts=4, reservations=True)
        self.failing, self.sent = failing, []
        self.routers = [RoutingPolicy(self.settings, seed * 1000 + n) for n in range(routers)]
        start = 1000 * S
        self.started_at = start + learned
        weights = [self.rng.choice((1, 1, 1, 4)) for _ in self.routers]  # some get several times the mean
        without, starting = fleet(0), fleet(self.started_at)
        for n in range(routers):
            self.at(start, n, events.EndpointListUpdate(without, is_full=True))
            self.at(
                self.started_at + self.rng.randrange(300 * MS),
                n,
                events.EndpointListUpdate(starting, is_full=True),
            )
        for n in range(RATE * (SPAN + learned) // S):
            at = start + 1 + self.rng.randrange(SPAN + learned)
            router = self.rng.choices(range(routers), weights)[0]
            prefix = f"p{self.rng.randrange(PREFIXES)}"
            self.at(at, router, events.RequestReceived(f"r{n}", "c", 2000, 200, 4 * S, f"s{n}", prefix, 1000))
        while self.queue:
            now, _, router, event = heappop(self.queue)
            if now < start + learned + SPAN:
                self.take(now, router, event)

    def at(self, now, router, event):
        heappush(self.queue, (now, next(self.seq), router, event))

    def take(self, now, router, event):
        attempts = {}
        for action in self.routers[router].handle(now, event):
            if isinstance(action, actions.SetTimer):
                self.at(action.at, router, events.TimerFired(action.timer_id))
            elif isinstance(action, actions.StartAttempt):
                request = self.routers[router].requests[action.request_id]
                index = attempts.setdefault(action.request_id, len(request.attempts) - 1)
                self.answer(now, router, action, index)

    def answer(self, now, router, action, index):
        self.sent.append((now, action.endpoint_id))
        request, endpoint = action.request_id, action.endpoint_id
        if endpoint not in STARTING.values() and self.rng.random() < self.failing:
            self.at(
                now + MS,
                router,
                events.AttemptEnded(request, index, endpoint, AttemptStatus.CONNECT_FAILED, MS),
            )
        elif endpoint < 10:
            self.at(
                now + PREFILL_TIME,
                router,
                events.AttemptEnded(request, index, endpoint, AttemptStatus.PREFILLED, PREFILL_TIME),
            )
        else:
            self.at(now + PREFILL_TIME, router, events.FirstToken(request, index, endpoint, PREFILL_TIME))
            self.at(
                now + DECODE_TIME,
                router,
                events.AttemptEnded(request, index, endpoint, AttemptStatus.OK, DECODE_TIME, True),
            )

    def max_sends(self, endpoint):
        """Return the most that an endpoint got within any span of the rule's length, in its slow start."""
        times = [at for at, to in self.sent if to == endpoint and at >= self.started_at]
        return max(
            (sum(first <= at < first + self.settings.overload_window for at in times) for first in times),
            default=0,
        )

    def allowed(self, others):
        """Return what it may get in that span, by what the others get, with the slack for chance."""
        got = sum(to in others for at, to in self.sent if at >= self.started_at) / len(others)
        mean = got / (SPAN / S) * (self.settings.overload_window / S)
        budget = self.settings.overload_factor * self.settings.slow_start_share * mean
        return budget + 2 * sqrt(budget) + 2


@pytest.mark.parametrize("failing", [0.0, 0.2], ids=["healthy", "with retries"])
@pytest.mark.parametrize("routers", [2, 30, 200])
def test_all_routers_together_respect_the_slow_start_budget(routers, failing):
    for seed in (1, 2):
        simulation = Simulation(routers, seed, failing)
        for role, others in (("prefill", range(9)), ("decode", range(10, 19))):
            assert simulation.max_sends(STARTING[role]) <= simulation.allowed(others), (role, seed)


def test_endpoints_in_slow_start_get_some_requests():
    simulation = Simulation(30, 1)
    assert all(
        any(to == endpoint for at, to in simulation.sent if at >= simulation.started_at)
        for endpoint in STARTING.values()
    )
