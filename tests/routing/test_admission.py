"""Admission control, which rejects requests that would be late."""

import pytest
from policy_harness import (
    DECODE_A,
    DECODE_B,
    FLEET,
    MS,
    PREFILL_A,
    PREFILL_B,
    PolicyHarness,
    S,
    harness_with_denied_reservations,
    harness_with_queued_prefill,
    set_queueing_delay,
)

from llm_router.routing import actions, events
from llm_router.routing.events import AttemptStatus


def test_time_of_cancelled_prefills_counts_as_queueing_delay():
    harness = PolicyHarness(append_prefill=False)
    for number in range(6):
        harness.submit(f"r{number}")
    requests = harness.policy.requests
    attempts = {f"r{n}": requests[f"r{n}"].open_attempts[0] for n in range(6)}
    for request, attempt in attempts.items():
        prefill_endpoint = attempt.endpoint.entry.endpoint_id
        harness.handle(events.ClientDisconnected(request))
        harness.handle(events.AttemptEnded(request, 0, prefill_endpoint, AttemptStatus.CANCELLED, 2 * S))
    harness.submit("next")
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]


@pytest.mark.parametrize("fleet", [FLEET[2:], FLEET[:2], ()])
def test_request_is_rejected_immediately_without_endpoints_of_a_role(fleet):
    harness = PolicyHarness(fleet=fleet, append_prefill=False)
    harness.submit()
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]


def test_rejection_advises_retry_when_the_first_decode_endpoint_returns():
    harness = PolicyHarness(retry_after=True, max_retry_after=3 * S)
    for endpoint, ejection_time in ((DECODE_A, 5 * S), (DECODE_B, 2 * S)):
        harness.policy.endpoints[endpoint].ejected_until = harness.now + ejection_time
    harness.submit()
    assert [a.retry_after for a in harness.actions_of(actions.RejectRequest)] == [2 * S]
    harness.policy.endpoints[DECODE_B].ejected_until = harness.now + 9 * S
    harness.submit("r2")
    # The advised time is at most the maximum in the settings.
    assert [a.retry_after for a in harness.actions_of(actions.RejectRequest)] == [3 * S]


def test_request_waits_for_endpoints_whose_ejection_ends_in_time():
    harness = PolicyHarness(fleet=FLEET[2:])
    for endpoint in (DECODE_A, DECODE_B):
        harness.policy.endpoints[endpoint].ejected_until = harness.now + 100 * MS
    harness.submit()
    assert harness.attempted_endpoints() == [] and harness.final_answers() == []
    harness.run_timers(harness.now + 200 * MS)
    assert harness.attempted_endpoints()[0] in (DECODE_A, DECODE_B)


def test_request_is_rejected_when_all_queues_are_long():
    harness = harness_with_queued_prefill()
    set_queueing_delay(harness, (DECODE_A, DECODE_B), 2 * S)
    harness.submit("r2")
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]


def test_tenant_over_quota_is_rejected_at_shorter_queues():
    answers = {}
    for tenant in ("small", "large"):
        harness = PolicyHarness(append_prefill=False)
        for number in range(30):
            harness.serve(f"r{number}", tenant=tenant)
        set_queueing_delay(harness, (PREFILL_A, PREFILL_B), 500 * MS)
        harness.policy.admission.arrivals[tenant].add(harness.now, 30)
        harness.submit("r", tenant=tenant)
        answers[tenant] = harness.final_answers()
    assert answers == {"small": [actions.RejectRequest], "large": []}


@pytest.mark.parametrize(
    ("delay", "is_retry", "advised"),
    [
        (600 * MS, False, []),  # accepted
        (600 * MS, True, [0]),  # rejected, because another router may have capacity
        (1000 * MS, False, [4]),  # advised to wait for the part of the delay above the limit
        (1000 * MS, True, [4]),
    ],
)
def test_client_retry_is_rejected_sooner_with_retry_after(delay, is_retry, advised):
    harness = PolicyHarness(append_prefill=False, retry_after=True, max_retry_after=2 * S)
    harness.serve("before")
    set_queueing_delay(harness, (PREFILL_A, PREFILL_B), delay)
    harness.submit("r", is_retry=is_retry)
    assert [a.retry_after // (50 * MS) for a in harness.actions_of(actions.RejectRequest)] == advised


def test_request_is_rejected_immediately_when_ejections_outlast_its_objective():
    harness = PolicyHarness(append_prefill=False)
    for endpoint in (PREFILL_A, PREFILL_B):
        harness.policy.endpoints[endpoint].ejected_until = harness.now + 9 * S
    harness.submit()
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]


def test_denied_reservations_reject_new_requests_until_their_count_decays():
    harness = harness_with_denied_reservations()
    harness.submit("late")
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]
    harness.submit("later", after=6 * S)  # The count of denials has decayed.
    assert len(harness.attempted_endpoints()) == 1 and harness.final_answers() == []
