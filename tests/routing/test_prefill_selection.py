"""Selection of a prefill endpoint by prefix, session and load."""

from policy_harness import FLEET, MS, PREFILL_A, PREFILL_B, PolicyHarness, S, entry


def test_first_turn_goes_to_a_prefill_endpoint(harness):
    harness.submit()
    assert harness.attempted_endpoints()[0] in (PREFILL_A, PREFILL_B)


def test_prefix_has_the_same_prefill_endpoint_at_every_router():
    fleet = tuple(entry(100 + n, "prefill") for n in range(8)) + FLEET[2:]
    endpoints = set()
    for seed in range(4):
        harness = PolicyHarness(fleet=fleet, seed=seed)
        harness.submit("r", prefix="p7")
        endpoints.update(harness.attempted_endpoints())
    assert len(endpoints) == 1


def test_loaded_prefill_endpoint_spills_over_in_ring_order():
    fleet = tuple(entry(100 + n, "prefill") for n in range(4)) + FLEET[2:]
    harness = PolicyHarness(fleet=fleet)
    # At this speed, the load bound of a quarter of the latency objective is 2,500 tokens.
    harness.policy.estimates.tokens_per_second = 10_000.0
    order = [endpoint.entry.endpoint_id for endpoint in harness.policy.prefill_ring.ring.walk("p7")]
    sent = []
    for number in range(5):
        harness.submit(f"r{number}", session="p7", prompt_tokens=2000)
        sent += harness.attempted_endpoints()
    assert sent[:5] == [order[0], order[0], order[1], order[1], order[2]]


def test_only_a_popular_prefix_has_several_replicas():
    fleet = tuple(entry(100 + n, "prefill") for n in range(20)) + FLEET[2:]
    endpoints = {
        PolicyHarness(fleet=fleet, seed=seed).submit("r", prefix="p")[-1].endpoint_id for seed in range(10)
    }
    assert len(endpoints) == 1
    harness, chosen = PolicyHarness(fleet=fleet), set()
    for number in range(60):
        harness.submit(f"r{number}", prefix="p", after=S)
        chosen.update(harness.attempted_endpoints())
        harness.disconnect(f"r{number}")
    assert 3 < len(chosen) <= 20


def test_routers_with_similar_popularity_counts_agree_on_a_sessions_replica():
    fleet = tuple(entry(100 + n, "prefill") for n in range(20)) + FLEET[2:]
    few, many = PolicyHarness(fleet=fleet), PolicyHarness(fleet=fleet)
    for harness, count in ((few, 20), (many, 28)):
        for prefix, times in (("p", count), ("other", 80)):
            for number in range(times):
                harness.submit(f"{prefix}{number}", prefix=prefix, after=100 * MS)
                harness.disconnect(f"{prefix}{number}")
    agreements = 0
    for number in range(60):
        chosen = {
            harness.submit(f"s{number}", prefix="p") and harness.attempted_endpoints()[0]
            for harness in (few, many)
        }
        agreements += len(chosen) == 1
        for harness in (few, many):
            harness.disconnect(f"s{number}")
    assert agreements > 36
