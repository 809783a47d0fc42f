"""Session affinity: a later turn goes to the endpoints that served its session last."""

import pytest
from policy_harness import (
    DECODE_A,
    DECODE_B,
    LATER_TURN,
    MS,
    PREFILL_A,
    PREFILL_B,
    PolicyHarness,
    S,
    entry,
    harness_with_affinity,
)

from llm_router.routing import events
from llm_router.routing.events import AttemptStatus

pytestmark = pytest.mark.usefixtures("no_exploration")


def test_idle_session_affinity_is_dropped():
    harness, _ = harness_with_affinity()
    harness.submit("x", after=121 * S)
    harness.run_timers(harness.now + 100 * MS)
    assert "s" not in harness.policy.affinities.entries


def test_affinity_without_a_session_is_stored_by_prefix():
    harness = PolicyHarness()
    decode_endpoint = harness.serve("r1", **{**LATER_TURN, "session": None})
    assert harness.policy.affinities.entries["p"].decode_endpoint_id == decode_endpoint


def test_session_returns_to_the_endpoint_that_prefilled_it():
    harness = PolicyHarness()
    harness.serve("r1", session="s", prefix="p")
    prefill_endpoint = harness.policy.affinities.entries["s"].prefill_endpoint_id
    other = PREFILL_A + PREFILL_B - prefill_endpoint
    harness.policy.affinities.entries["s"].prefill_endpoint_id = other
    harness.submit("r2", session="s", prefix="p")
    assert harness.attempted_endpoints() == [other]


def test_affinities_of_a_lost_cache_are_ignored():
    harness, decode_endpoint = harness_with_affinity()
    harness.submit("r2", **LATER_TURN)
    assert harness.attempted_endpoints() == [decode_endpoint]
    harness.first_token(decode_endpoint, "r2", 0)
    harness.end_attempt(
        AttemptStatus.OK, decode_endpoint, "r2", 0, after=S, request_closed=True, cached_tokens=0
    )
    harness.policy.affinities.entries["old"] = harness.policy.affinities.entries["s"]
    harness.policy.affinities.entries["old"].updated_at -= 2 * S
    harness.submit("r3", **{**LATER_TURN, "session": "old"})
    assert harness.attempted_endpoints()[0] in (PREFILL_A, PREFILL_B)


def test_affinities_of_a_restarted_endpoint_are_ignored():
    harness, decode_endpoint = harness_with_affinity()
    cell = {DECODE_A: 0, DECODE_B: 1}[decode_endpoint]
    harness.handle(
        events.EndpointListUpdate(
            (entry(decode_endpoint, "decode", cell, started_at=harness.now - S),), is_full=False
        ),
        after=MS,
    )
    harness.submit("r2", **LATER_TURN)
    assert harness.attempted_endpoints()[0] in (PREFILL_A, PREFILL_B)
