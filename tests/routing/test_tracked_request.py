"""The phases of requests and attempts, and the transitions between them."""

import pytest

from llm_router.routing import events
from llm_router.routing.events import AttemptStatus
from llm_router.routing.tracked_request import AttemptPhase, AttemptTransitionError, RequestPhase


def test_request_passes_through_its_phases(harness):
    harness.submit()
    request = harness.policy.requests["r"]
    assert request.phase is RequestPhase.WAITING
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    assert request.phase is RequestPhase.PREFILLED
    harness.first_token(harness.attempted_endpoints()[0])
    assert request.phase is RequestPhase.STREAMING
    harness.handle(events.ClientDisconnected("r"))
    assert request.phase is RequestPhase.ENDED


def test_missing_kv_state_returns_a_request_to_waiting(harness):
    harness.submit()
    request = harness.policy.requests["r"]
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    decode_endpoint = harness.attempted_endpoints()[0]
    harness.end_attempt(AttemptStatus.OVERLOADED, decode_endpoint, attempt=1, state_missing=True)
    assert request.phase is RequestPhase.WAITING


@pytest.mark.parametrize("transition", ["start_streaming", "end"])
def test_ended_attempt_takes_no_transition(harness, transition):
    harness.submit()
    (attempt,) = harness.policy.requests["r"].open_attempts
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    assert attempt.state is AttemptPhase.ENDED
    with pytest.raises(AttemptTransitionError, match="ended to"):
        getattr(attempt, transition)()
