"""Detection of endpoints that hang: unanswered attempts are cancelled, and the endpoints ejected."""

from policy_harness import (
    DECODE_A,
    FOUR_PREFILL_FLEET,
    MS,
    PREFILL_A,
    PolicyHarness,
    S,
    entry,
    submit_to_home,
)

from llm_router.routing import actions
from llm_router.routing.events import AttemptStatus
from llm_router.routing.settings import Idempotency, Role


def test_attempt_at_silent_prefill_endpoint_is_cancelled_before_the_deadline():
    harness = PolicyHarness(fleet=FOUR_PREFILL_FLEET)
    prefill_endpoint = submit_to_home(harness)
    harness.run_timers(harness.now + 2 * S)
    assert harness.actions_of(actions.CancelAttempt) == [actions.CancelAttempt("home", 0)]
    harness.end_attempt(AttemptStatus.CANCELLED, prefill_endpoint, "home")
    assert harness.final_answers() == [actions.RejectRequest]  # The deadline is too close for a retry.


def test_attempt_at_silent_prefill_endpoint_is_retried_while_time_remains():
    harness = PolicyHarness(fleet=FOUR_PREFILL_FLEET)
    prefill_endpoint = submit_to_home(harness)
    harness.run_timers(harness.now + 700 * MS)
    assert harness.actions_of(actions.CancelAttempt) == [actions.CancelAttempt("home", 0)]
    harness.end_attempt(AttemptStatus.CANCELLED, prefill_endpoint, "home")
    assert harness.attempted_endpoints() and harness.attempted_endpoints() != [prefill_endpoint]


def harness_with_lost_attempt(idempotency):
    """Return a harness whose decode endpoint has answered a later attempt but not an earlier one."""
    fleet = entry(PREFILL_A, "prefill"), entry(DECODE_A, "decode")
    harness = PolicyHarness(fleet=fleet, idempotency=idempotency, append_prefill=False)
    for request, after in (("lost", 0), ("later", 600 * MS)):
        harness.submit(request, after=after, time_remaining=60 * S)
        harness.end_attempt(AttemptStatus.PREFILLED, PREFILL_A, request)
        assert harness.attempted_endpoints() == [DECODE_A]
    harness.first_token(DECODE_A, "later")
    return harness


def test_attempt_lost_at_decode_endpoint_delays_no_other_request():
    harness = harness_with_lost_attempt(Idempotency.NONE)
    harness.run_timers(harness.now + 3 * S)
    assert harness.actions_of(actions.CancelAttempt) == [], "an attempt that may have run was cancelled"
    harness.submit("next", session="n")
    assert harness.final_answers() == [] and harness.attempted_endpoints() == [PREFILL_A]


def test_lost_idempotent_attempt_is_cancelled_without_ejection():
    harness = harness_with_lost_attempt(Idempotency.SAFE)
    harness.run_timers(harness.now + S)
    assert harness.actions_of(actions.CancelAttempt) == [actions.CancelAttempt("lost", 1)]
    assert harness.policy.endpoints[DECODE_A] in harness.policy.candidates.usable((Role.DECODE,))


def test_non_idempotent_request_at_silent_decode_endpoint_waits():
    harness = PolicyHarness(idempotency=Idempotency.NONE)
    harness.submit()
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    harness.run_timers(harness.now + 3 * S)
    assert harness.actions_of(actions.CancelAttempt) == []


def test_at_most_half_of_the_endpoints_of_a_role_are_ejected_for_silence():
    harness = PolicyHarness(fleet=FOUR_PREFILL_FLEET)
    for number in range(40):
        harness.submit(f"r{number}", prefix=f"p{number}")
    harness.run_timers(harness.now + S)
    ejected = [s for s in harness.policy.endpoints.values() if s.ejected_until > harness.now]
    assert 0 < len(ejected) <= 2


def test_cancelled_prefill_extends_the_silence_limit():
    harness = PolicyHarness(fleet=FOUR_PREFILL_FLEET)
    submit_to_home(harness)
    before = harness.policy.silence.prefill_time.value or 0
    harness.run_timers(harness.now + 2 * S)
    assert harness.policy.silence.prefill_time.value > before + S // 2
