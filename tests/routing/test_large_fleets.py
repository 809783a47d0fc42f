"""Endpoint selection in large fleets: the same rules as in small fleets, at a cost that does not grow."""

import random

import pytest
from policy_harness import MS, PolicyHarness, S, entry

from llm_router.routing import events
from llm_router.routing.candidate_subset import MAX_CANDIDATES, CandidateSubset
from llm_router.routing.decode_selection import DecodeSelection
from llm_router.routing.endpoint_index import DECODE_ROLES, PREFILL_ROLES
from llm_router.routing.events import AttemptStatus, EndpointStatus
from llm_router.routing.hash_ring import HashRing, jump_hash, stable_hash
from llm_router.routing.prefill_ring import PrefillRing
from llm_router.routing.queueing_delay import QueueingDelays
from llm_router.routing.settings import Role

CELL = 6  # endpoints per cell
SIZES = [20, 100, 400, 1600]  # endpoints per fleet


ALL_KINDS = ("prefill", "decode", "prefill", "decode", "prefill", "mixed")


def fleet_of(size, first=0, kinds=ALL_KINDS):
    return tuple(entry(n, kinds[n % len(kinds)], n // CELL) for n in range(first, first + size))


@pytest.fixture(params=SIZES)
def size(request):
    return request.param


def full_ring_order(policy, key):
    """Return the IDs of all prefill endpoints in ring order from a key, computed by sorting all points."""
    points = sorted(
        (stable_hash(f"{endpoint.entry.endpoint_id} {n}"), endpoint.entry.endpoint_id)
        for endpoint in policy.endpoints.ready(PREFILL_ROLES)
        for n in range(policy.prefill_ring.points(endpoint))
    )
    start = stable_hash(key)
    after = [endpoint_id for position, endpoint_id in points if position >= start]
    before = [endpoint_id for position, endpoint_id in points if position < start]
    return list(dict.fromkeys([*after, *before]))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_prefill_goes_to_the_first_endpoint_in_the_order_of_all_ring_points(size, seed):
    harness, rng = PolicyHarness(fleet_of(size), seed=seed, router_count=200), random.Random(seed)
    for number in range(30):
        prefix = f"p{rng.randrange(1000)}"
        order = full_ring_order(harness.policy, prefix)
        harness.submit(f"r{number}", prefix=prefix, after=S)
        assert harness.attempted_endpoints()[0] == order[0]
        harness.disconnect(f"r{number}")


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_ring_updated_incrementally_equals_a_rebuilt_one(size, seed):
    harness, rng = PolicyHarness(fleet_of(size), seed=seed), random.Random(seed)
    for number in range(40):
        status = rng.choice([EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.REMOVED])
        old = rng.randrange(size)
        changed = events.EndpointEntry(old, fleet_of(1, old)[0].kind, "z", old // CELL, status)
        new = fleet_of(1, size + number)
        entries = (changed, *(new if rng.random() < 0.5 else ()))
        harness.handle(events.EndpointListUpdate(entries, is_full=False), after=S)
    policy, rebuilt = harness.policy, HashRing()
    for endpoint in policy.endpoints.ready(PREFILL_ROLES):
        rebuilt.set_points(endpoint, policy.prefill_ring.points(endpoint))
    assert list(policy.prefill_ring.ring.points) == list(rebuilt.points)
    assert len(policy.endpoints) <= size + 40 and not policy.endpoints.recent[Role.PREFILL]


def test_decode_endpoint_of_lowest_cost_is_chosen_among_those_compared(size):
    """In a large fleet, all decode endpoints of the prefill endpoint's cell are compared."""
    harness = PolicyHarness(fleet_of(size, kinds=("prefill", "decode")), router_count=200, reservations=False)
    policy = harness.policy
    selection = policy.decode_selection
    rng = random.Random(5)
    for endpoint in policy.endpoints.ready(DECODE_ROLES):
        endpoint.committed_tokens = rng.randrange(100_000)
    for number in range(20):
        harness.submit(f"r{number}", after=S)
        harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0], f"r{number}")
        request = policy.requests[f"r{number}"]
        chosen = policy.endpoints[harness.attempted_endpoints()[0]]
        is_small = size <= MAX_CANDIDATES
        compared = policy.endpoints.ready(DECODE_ROLES) if is_small else selection.compared(request)
        assert len(compared) <= MAX_CANDIDATES + CELL
        chosen.committed_tokens -= 2200  # the value before this request
        best = min(compared, key=lambda endpoint: selection.cost(request, endpoint))
        assert selection.cost(request, chosen) <= selection.cost(request, best) + 1e-9
        same_cell = policy.endpoints.by_cell[request.prefill_target.entry.cell]
        assert {endpoint for endpoint in same_cell if endpoint.role in DECODE_ROLES} <= set(compared)
        chosen.committed_tokens += 2200
        harness.disconnect(f"r{number}")


def test_each_of_many_routers_has_its_own_decode_subset():
    policies = [PolicyHarness(fleet_of(1600), router_count=200, router_index=n).policy for n in range(200)]
    subsets = [policy.candidates.decode_subset() for policy in policies]
    assert all(len(subset) == MAX_CANDIDATES for subset in subsets)
    endpoint_ids = [{endpoint.entry.endpoint_id for endpoint in subset} for subset in subsets]
    used = set().union(*endpoint_ids)
    decode_count = policies[0].endpoints.count(*DECODE_ROLES)
    assert len(used) > 0.97 * decode_count, "nearly all decode endpoints are in a subset"
    assert endpoint_ids[0] != endpoint_ids[100]


def test_few_routers_use_all_decode_endpoints_of_a_large_fleet():
    harness, used = PolicyHarness(fleet_of(1600), router_count=2, reservations=False), set()
    for number in range(400):
        harness.submit(f"r{number}", after=100 * MS)
        harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0], f"r{number}")
        used.update(harness.attempted_endpoints())
        harness.disconnect(f"r{number}")
    assert len(used) > 250


def test_endpoints_outside_the_subset_are_used_when_none_inside_accepts():
    harness = PolicyHarness(fleet_of(1600), router_count=200, reservations=False)
    for endpoint in harness.policy.candidates.decode_subset():
        endpoint.ejected_until, endpoint.consecutive_ejections = harness.now + 8 * S, 1
    harness.submit()
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    assert len(harness.attempted_endpoints()) == 1


COUNTED_METHODS = (
    (CandidateSubset, "accepts"),
    (QueueingDelays, "delay"),
    (DecodeSelection, "cost"),
    (PrefillRing, "points"),
)


def count_visits(size, monkeypatch):
    """Return how often endpoints are visited for 20 requests, and for 20 updates of the endpoint list."""
    harness, visits = PolicyHarness(fleet_of(size), router_count=200), [0]

    def count_calls(method):
        def call(*arguments):
            visits[0] += 1
            return method(*arguments)

        return call

    for owner, name in COUNTED_METHODS:
        monkeypatch.setattr(owner, name, count_calls(getattr(owner, name)))
    for number in range(20):
        harness.submit(f"r{number}", prefix=f"p{number}", after=100 * MS)
        harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0], f"r{number}")
        harness.first_token(harness.attempted_endpoints()[0], f"r{number}")
    request_visits, visits[0] = visits[0], 0
    for number in range(20):
        harness.handle(events.EndpointListUpdate(fleet_of(1, size + number), is_full=False))
    monkeypatch.undo()
    return request_visits, visits[0]


def test_cost_of_a_request_and_an_update_does_not_grow_with_the_fleet(monkeypatch):
    usual, large = count_visits(100, monkeypatch), count_visits(1600, monkeypatch)
    assert large[0] <= 1.4 * usual[0]
    assert large[1] <= 2 * max(usual[1], 20 * CELL)


def test_jump_hash_moves_few_keys_when_a_bucket_is_added():
    keys = [stable_hash(f"k{n}") for n in range(2000)]
    moved = sum(jump_hash(key, 100) != jump_hash(key, 101) for key in keys)
    assert 0 < moved < 60
    assert {jump_hash(key, 3) for key in keys} == {0, 1, 2}
