"""Choices in fleets of any size: the rules of small ones hold, at a cost that does not grow."""

import random

import pytest
from policy_harness import MS, PolicyHarness, S, entry

from llm_router.routing import events, policy
from llm_router.routing.events import AttemptStatus, EndpointStatus
from llm_router.routing.hash_ring import Ring, jump_hash, mix
from llm_router.routing.settings import Role

CELL = 6
SIZES = [20, 100, 400, 1600]


ALL_KINDS = ("reader", "writer", "reader", "writer", "reader", "mixed")


def fleet_of(size, first=0, kinds=ALL_KINDS):
    return tuple(entry(n, kinds[n % len(kinds)], n // CELL) for n in range(first, first + size))


@pytest.fixture(params=SIZES)
def size(request):
    return request.param


def ring_order_by_the_plain_rule(router, key):
    """Sort every point of every reader, and give each reader once from the key's place."""
    points = sorted(
        (mix(f"{server.entry.endpoint_id} {n}"), server.entry.endpoint_id)
        for server in router.live(policy.READERS)
        for n in range(router.points(server))
    )
    start = mix(key)
    later = [number for place, number in points if place >= start]
    return list(dict.fromkeys([*later, *(number for place, number in points if place < start)]))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_prefills_go_to_the_reader_that_a_ring_of_all_would_give(size, seed):
    harness, draw = PolicyHarness(fleet_of(size), seed=seed, router_count=200), random.Random(seed)
    for number in range(30):
        prefix = f"p{draw.randrange(1000)}"
        order = ring_order_by_the_plain_rule(harness.router, prefix)
        harness.submit(f"r{number}", prefix=prefix, after=S)
        assert harness.attempted_endpoints()[0] == order[0]
        harness.disconnect(f"r{number}")


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_ring_that_was_changed_in_place_is_as_one_built_anew(size, seed):
    harness, draw = PolicyHarness(fleet_of(size), seed=seed), random.Random(seed)
    for number in range(40):
        state = draw.choice([EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.REMOVED])
        old = draw.randrange(size)
        told = events.EndpointEntry(old, fleet_of(1, old)[0].kind, "z", old // CELL, state)
        new = fleet_of(1, size + number)
        harness.handle(
            events.EndpointListUpdate((told, *(new if draw.random() < 0.5 else ())), is_full=False), after=S
        )
    router, anew = harness.router, Ring()
    for server in router.live(policy.READERS):
        anew.set_points(server, router.points(server))
    assert list(router.ring.places) == list(anew.places)
    assert len(router.servers) <= size + 40 and not router.servers.recent[Role.PREFILL]


def test_the_best_of_all_writers_is_chosen_in_a_small_fleet_and_of_its_part_in_a_large_one(size):
    """In a large fleet a better writer may exist outside the subset; in the read's own cell it may not."""
    harness = PolicyHarness(fleet_of(size, kinds=("reader", "writer")), router_count=200, reservations=False)
    router = harness.router
    draw = random.Random(5)
    for server in router.live(policy.WRITERS):
        server.held = draw.randrange(100_000)
    for number in range(20):
        harness.submit(f"r{number}", after=S)
        harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0], f"r{number}")
        job, chosen = router.jobs[f"r{number}"], router.servers[harness.attempted_endpoints()[0]]
        everywhere = size <= policy.CANDIDATES
        seen = router.live(policy.WRITERS) if everywhere else router.writers_near(job)
        assert len(seen) <= policy.CANDIDATES + CELL
        chosen.held -= 2200  # as it was before this request
        best = min(seen, key=lambda server: router.cost(job, server))
        assert router.cost(job, chosen) <= router.cost(job, best) + 1e-9
        near = router.servers.by_cell[job.near.entry.cell]
        assert {s for s in near if s.role in policy.WRITERS} <= set(seen)
        chosen.held += 2200
        harness.disconnect(f"r{number}")


def test_a_router_of_many_keeps_to_its_own_part_of_a_large_fleets_writers():
    routers = [PolicyHarness(fleet_of(1600), router_count=200, router_index=n).router for n in range(200)]
    subsets = [router.writer_subset() for router in routers]
    assert all(len(subset) == policy.CANDIDATES for subset in subsets)
    numbers = [{server.entry.endpoint_id for server in subset} for subset in subsets]
    used = set().union(*numbers)
    writers = routers[0].servers.count(*policy.WRITERS)
    assert len(used) > 0.97 * writers, "all writers are somebody's"
    assert numbers[0] != numbers[100]


def test_few_routers_use_all_writers_of_a_large_fleet():
    harness, used = PolicyHarness(fleet_of(1600), router_count=2, reservations=False), set()
    for number in range(400):
        harness.submit(f"r{number}", after=100 * MS)
        harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0], f"r{number}")
        used.update(harness.attempted_endpoints())
        harness.disconnect(f"r{number}")
    assert len(used) > 250


def test_others_stand_in_when_none_of_the_part_takes_work():
    harness = PolicyHarness(fleet_of(1600), router_count=200, reservations=False)
    for server in harness.router.writer_subset():
        server.ejected_until, server.ejections = harness.now + 8 * S, 1
    harness.submit()
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    assert len(harness.attempted_endpoints()) == 1


def count_visits(size, monkeypatch):
    """Give how many looks at a server a request takes, and a change of the list."""
    harness, visits = PolicyHarness(fleet_of(size), router_count=200), [0]

    def counted(genuine):
        def call(*arguments):
            visits[0] += 1
            return genuine(*arguments)

        return call

    for name in ("takes", "delay", "cost", "points"):
        monkeypatch.setattr(policy.RoutingPolicy, name, counted(getattr(policy.RoutingPolicy, name)))
    for number in range(20):
        harness.submit(f"r{number}", prefix=f"p{number}", after=100 * MS)
        harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0], f"r{number}")
        harness.first_token(harness.attempted_endpoints()[0], f"r{number}")
    request, visits[0] = visits[0], 0
    for number in range(20):
        harness.handle(events.EndpointListUpdate(fleet_of(1, size + number), is_full=False))
    monkeypatch.undo()
    return request, visits[0]


def test_the_looks_at_servers_for_a_request_and_a_change_do_not_grow_with_the_fleet(monkeypatch):
    usual, large = count_visits(100, monkeypatch), count_visits(1600, monkeypatch)
    assert large[0] <= 1.4 * usual[0]
    assert large[1] <= 2 * max(usual[1], 20 * CELL)


def test_jump_hash_moves_few_keys_when_a_bucket_is_added():
    keys = [mix(f"k{n}") for n in range(2000)]
    moved = sum(jump_hash(key, 100) != jump_hash(key, 101) for key in keys)
    assert 0 < moved < 60
    assert {jump_hash(key, 3) for key in keys} == {0, 1, 2}
