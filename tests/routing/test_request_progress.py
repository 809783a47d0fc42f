"""The next step of a request after one of its attempts has ended."""

import pytest
from policy_harness import DECODE_A, DECODE_B, PREFILL_A, PREFILL_B, PolicyHarness, entry

from llm_router.routing import actions, events
from llm_router.routing.events import AttemptStatus, EndpointStatus
from llm_router.routing.settings import Idempotency


def test_prefilled_request_without_decode_endpoints_is_rejected_and_released(harness):
    harness.submit()
    prefill_endpoint = harness.attempted_endpoints()[0]
    removed = tuple(entry(s, "decode", c, EndpointStatus.REMOVED) for s, c in ((DECODE_A, 0), (DECODE_B, 1)))
    harness.handle(events.EndpointListUpdate(removed, is_full=False))
    harness.end_attempt(AttemptStatus.PREFILLED, prefill_endpoint)
    assert harness.final_answers() == [actions.RejectRequest] and harness.actions_of(actions.Release) == [
        actions.Release("r")
    ]


def test_request_with_missing_kv_state_is_prefilled_again(harness):
    harness.submit()
    prefill_endpoint = harness.attempted_endpoints()[0]
    harness.end_attempt(AttemptStatus.PREFILLED, prefill_endpoint)
    decode_endpoint = harness.attempted_endpoints()[0]
    harness.end_attempt(AttemptStatus.OVERLOADED, decode_endpoint, attempt=1, state_missing=True)
    assert harness.attempted_endpoints()[0] in (PREFILL_A, PREFILL_B)


@pytest.mark.parametrize(
    "idempotency, answer",
    [(Idempotency.SAFE, actions.RejectRequest), (Idempotency.NONE, actions.FailRequest)],
)
def test_exhausted_attempts_end_the_request_in_the_same_event(idempotency, answer):
    harness = PolicyHarness(idempotency=idempotency, max_attempts=2)
    harness.submit()
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    harness.end_attempt(AttemptStatus.RESET, harness.attempted_endpoints()[0], attempt=1)
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [answer]
