"""Selection of a decode endpoint by memory, cell and random order."""

from policy_harness import DECODE_A, DECODE_B, FLEET, PREFILL_A, PREFILL_B, PolicyHarness, entry

from llm_router.routing.events import AttemptStatus


def test_full_decode_endpoint_is_skipped_for_one_in_another_cell(harness):
    harness.submit()
    prefill_endpoint = harness.attempted_endpoints()[0]
    same_cell = {PREFILL_A: DECODE_A, PREFILL_B: DECODE_B}[prefill_endpoint]
    harness.policy.endpoints[same_cell].committed_tokens = 300_000
    harness.end_attempt(AttemptStatus.PREFILLED, prefill_endpoint)
    assert harness.attempted_endpoints() == [DECODE_A + DECODE_B - same_cell]


def test_routers_choose_differently_among_equal_decode_endpoints():
    fleet = (FLEET[0], *(entry(200 + n, "decode", 0) for n in range(6)))
    chosen = {PolicyHarness(fleet=fleet, seed=seed).serve() for seed in range(20)}
    assert len(chosen) > 3


def test_kv_state_goes_to_a_decode_endpoint_of_the_same_cell(harness):
    harness.submit()
    prefill_endpoint = harness.attempted_endpoints()[0]
    harness.end_attempt(AttemptStatus.PREFILLED, prefill_endpoint)
    assert harness.attempted_endpoints() == [{PREFILL_A: DECODE_A, PREFILL_B: DECODE_B}[prefill_endpoint]]
