"""Checks that clients cannot fill the memory with new session keys and prefixes."""

import pytest
from policy_harness import MS, PolicyHarness

MAX_ENTRIES = 8
REQUESTS = 40


# Guards against tables that grow with every session key and prefix that clients make up.
def test_tables_by_session_and_prefix_keep_a_limited_number_of_recent_entries(monkeypatch):
    monkeypatch.setattr("llm_router.routing.session_affinity.MAX_ENTRIES", MAX_ENTRIES)
    monkeypatch.setattr("llm_router.routing.prefill_estimates.MAX_ENTRIES", MAX_ENTRIES)
    monkeypatch.setattr("llm_router.routing.prefix_popularity.MAX_COUNTERS", MAX_ENTRIES)
    harness = PolicyHarness()
    for number in range(REQUESTS):
        harness.serve(f"r{number}", session=f"s{number}", prefix=f"p{number}")
    policy = harness.policy
    newest = f"s{REQUESTS - 1}"
    assert newest in policy.affinities.entries and len(policy.affinities.entries) == MAX_ENTRIES
    assert f"p{REQUESTS - 1}" in policy.popularity.requests
    assert len(policy.popularity.requests) == MAX_ENTRIES
    tables = [endpoint.cached_prefixes for endpoint in policy.endpoints.values()]
    assert max(map(len, tables)) == MAX_ENTRIES


@pytest.mark.usefixtures("no_exploration")
def test_a_request_whose_prefix_was_dropped_from_the_counters_is_tried_again(monkeypatch):
    monkeypatch.setattr("llm_router.routing.prefix_popularity.MAX_COUNTERS", 2)
    harness = PolicyHarness()
    harness.submit("first", prefix="p")
    for number in range(4):
        harness.submit(f"r{number}", prefix=f"q{number}")
    assert "p" not in harness.policy.popularity.requests
    assert harness.policy.popularity.share("p") == 0.0
    harness.run_timers(harness.now + 100 * MS)
