"""Prefill at decode endpoints if the prefill endpoints are overloaded, failed or missing."""

from policy_harness import (
    DECODE_A,
    DECODE_B,
    FLEET,
    MIXED,
    MS,
    PREFILL_A,
    PREFILL_B,
    PolicyHarness,
    S,
    entry,
    harness_with_denied_reservations,
    harness_with_queued_prefill,
    set_queueing_delay,
    submit_to_home,
)

from llm_router.routing import actions
from llm_router.routing.events import AttemptStatus


def test_decode_endpoint_prefills_without_prefill_endpoints():
    harness = PolicyHarness(fleet=FLEET[2:])
    harness.submit()
    assert harness.attempted_endpoints()[0] in (DECODE_A, DECODE_B)


def test_idle_decode_endpoint_prefills_when_prefill_queues_are_long():
    harness = harness_with_queued_prefill()
    harness.submit("r2")
    assert harness.attempted_endpoints()[0] in (DECODE_A, DECODE_B)


def test_decode_endpoint_prefills_short_prompts_only():
    harness = harness_with_queued_prefill()
    harness.submit("short", prompt_tokens=2000)
    assert harness.attempted_endpoints()[0] in (DECODE_A, DECODE_B)
    harness.disconnect("short")
    harness.submit("long", prompt_tokens=9_000)
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]


def test_mixed_endpoint_prefills_prompts_up_to_the_mean_length():
    harness = harness_with_queued_prefill(fleet=(*FLEET, entry(MIXED, "mixed")))
    harness.submit("mean", prompt_tokens=9_000)
    assert harness.attempted_endpoints() == [MIXED]


def test_denied_reservations_stop_prefill_at_decode_endpoints():
    harness = harness_with_denied_reservations()
    harness.policy.estimates.prompt_tokens.value = 10_000.0
    set_queueing_delay(harness, (PREFILL_A, PREFILL_B), 2 * S)
    harness.submit("short")
    assert harness.attempted_endpoints() == []


def test_decode_endpoint_prefills_when_all_prefill_endpoints_failed(harness):
    harness.policy.estimates.prompt_tokens.value = 10_000.0
    first = submit_to_home(harness)
    harness.end_attempt(AttemptStatus.CONNECT_FAILED, first, "home", after=200 * MS)
    harness.end_attempt(
        AttemptStatus.CONNECT_FAILED, PREFILL_A + PREFILL_B - first, "home", 1, after=200 * MS
    )
    assert harness.attempted_endpoints() and harness.attempted_endpoints()[0] in (DECODE_A, DECODE_B)
