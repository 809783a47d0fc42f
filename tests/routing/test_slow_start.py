"""The slow start of cold servers holds for the sum of what all routers send, however many they are."""

import random
from heapq import heappop, heappush
from itertools import count
from math import sqrt

import pytest
from policy_harness import MS, S, entry, settings

from llm_router.routing import actions, events
from llm_router.routing.events import AttemptStatus
from llm_router.routing.policy import RoutingPolicy

COLD = {"reader": 9, "writer": 19}  # the numbers of the servers that start at the listing
RATE, SPAN, PREFIXES = 120, 6 * S, 6  # requests a second over all routers, and for how long
READ, WRITE = 30 * MS, 200 * MS  # how long a read and an answer take


def fleet(born):
    kinds = ["reader"] * 10 + ["writer"] * 10
    cold = COLD.values()
    return tuple(entry(n, kind, n % 2, born=born if n in cold else 0) for n, kind in enumerate(kinds))


class Play:
    """Many routers on one clock; servers answer all that comes, after a fixed time."""

    def __init__(self, routers, seed, failing=0.0, learned=3 * S):
        self.rng, self.seq, self.queue = random.Random(seed), count(), []
        told = settings(router_count=routers, max_attempts=4, reservations=True)
        self.told, self.failing, self.sent = told, failing, []
        self.routers = [RoutingPolicy(told, seed * 1000 + n) for n in range(routers)]
        start = 1000 * S
        self.born = start + learned
        weights = [self.rng.choice((1, 1, 1, 4)) for _ in self.routers]  # some get several times the mean
        warm, cold = fleet(0), fleet(self.born)
        for n in range(routers):
            self.at(start, n, events.EndpointListUpdate(warm, is_full=True))
            self.at(
                self.born + self.rng.randrange(300 * MS), n, events.EndpointListUpdate(cold, is_full=True)
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
                job = self.routers[router].jobs[action.request_id]
                index = attempts.setdefault(action.request_id, len(job.attempts) - 1)
                self.answer(now, router, action, index)

    def answer(self, now, router, action, index):
        self.sent.append((now, action.endpoint_id))
        request, server = action.request_id, action.endpoint_id
        if server not in COLD.values() and self.rng.random() < self.failing:
            self.at(
                now + MS,
                router,
                events.AttemptEnded(request, index, server, AttemptStatus.CONNECT_FAILED, MS),
            )
        elif server < 10:
            self.at(
                now + READ, router, events.AttemptEnded(request, index, server, AttemptStatus.PREFILLED, READ)
            )
        else:
            self.at(now + READ, router, events.FirstToken(request, index, server, READ))
            self.at(
                now + WRITE,
                router,
                events.AttemptEnded(request, index, server, AttemptStatus.OK, WRITE, True),
            )

    def most(self, server):
        """Give the most that a server got within any span of the rule's length, while it was cold."""
        times = [at for at, to in self.sent if to == server and at >= self.born]
        return max(
            (sum(first <= at < first + self.told.overload_window for at in times) for first in times),
            default=0,
        )

    def allowed(self, warm):
        """Give what it may get in that span, by what the warm ones get, with the slack for chance."""
        got = sum(to in warm for at, to in self.sent if at >= self.born) / len(warm)
        mean = got / (SPAN / S) * (self.told.overload_window / S)
        budget = self.told.overload_factor * self.told.slow_start_share * mean
        return budget + 2 * sqrt(budget) + 2


@pytest.mark.parametrize("failing", [0.0, 0.2], ids=["well", "with retries"])
@pytest.mark.parametrize("routers", [2, 30, 200])
def test_all_routers_together_keep_a_cold_servers_budget(routers, failing):
    for seed in (1, 2):
        play = Play(routers, seed, failing)
        for role, others in (("reader", range(9)), ("writer", range(10, 19))):
            assert play.most(COLD[role]) <= play.allowed(others), (role, seed)


def test_cold_servers_are_not_left_out():
    play = Play(30, 1)
    assert all(any(to == server for at, to in play.sent if at >= play.born) for server in COLD.values())
