"""Estimates of the queueing delay at an endpoint."""

from policy_harness import MS, PREFILL_A, S

from llm_router.routing.events import AttemptStatus


def test_measured_queueing_delay_decays_to_zero(harness):
    harness.serve("r1")
    harness.submit("r2")
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0], "r2")
    decode_endpoint = harness.attempted_endpoints()[0]
    harness.first_token(decode_endpoint, "r2", after=S)
    assert harness.policy.delays.delay(harness.policy.endpoints[decode_endpoint]) > S // 2
    harness.end_attempt(AttemptStatus.OK, decode_endpoint, "r2", 1, after=9 * S, request_closed=True)
    assert harness.policy.delays.delay(harness.policy.endpoints[decode_endpoint]) == 0


def test_prefill_faster_than_estimated_gives_no_queueing_delay(harness):
    endpoint = harness.policy.endpoints[PREFILL_A]
    endpoint.queueing_delay, endpoint.queueing_delay_at = -300 * MS, harness.now
    for after in (0, S, 20 * S, 2000 * S):
        harness.policy.context.now = harness.now + after
        assert harness.policy.delays.delay(endpoint) == 0
