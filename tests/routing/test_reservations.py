"""Reservations that the policy requests at decode endpoints while a prefill runs."""

from policy_harness import DECODE_A, MS, PolicyHarness

from llm_router.routing import actions, events
from llm_router.routing.events import AttemptStatus


def submit_with_reservation(**changes):
    harness = PolicyHarness(reservations=True, **changes)
    harness.submit()
    return harness, harness.attempted_endpoints()[0], harness.actions_of(actions.Reserve)[0].endpoint_id


def test_reservation_granted_during_the_prefill_is_used():
    harness, prefill_endpoint, decode_endpoint = submit_with_reservation()
    harness.handle(events.ReservationResult("r", 0, prefill_endpoint, reserved=True))
    assert harness.actions_of(actions.Reserve) == []
    # The reservation takes precedence over the load estimate.
    harness.policy.endpoints[decode_endpoint].committed_tokens = 10**6
    harness.end_attempt(AttemptStatus.PREFILLED, prefill_endpoint)
    assert harness.attempted_endpoints() == [decode_endpoint]


def test_denied_reservation_is_requested_at_the_next_endpoint():
    harness, prefill_endpoint, decode_endpoint = submit_with_reservation()
    harness.handle(events.ReservationResult("r", 0, prefill_endpoint, reserved=False))
    other = harness.actions_of(actions.Reserve)[0].endpoint_id
    assert other != decode_endpoint
    harness.handle(events.ReservationResult("r", 0, prefill_endpoint, reserved=False))
    assert harness.actions_of(actions.Reserve) == []
    harness.end_attempt(AttemptStatus.PREFILLED, prefill_endpoint)
    assert len(harness.attempted_endpoints()) == 1


def test_reservation_is_released_when_the_prefill_fails():
    harness, prefill_endpoint, _ = submit_with_reservation()
    harness.handle(events.ReservationResult("r", 0, prefill_endpoint, reserved=True))
    harness.end_attempt(AttemptStatus.ERROR, prefill_endpoint)
    assert actions.Release("r") in harness.actions


def test_no_reservation_is_requested_unless_settings_allow_it(harness):
    harness.submit()
    assert harness.actions_of(actions.Reserve) == []


def test_unrequested_reservation_results_load_reports_and_gossip_have_no_effect(harness):
    harness.submit()
    before = harness.policy.requests["r"].open_attempts
    for event in (
        events.ReservationResult("r", 0, before[0].endpoint.entry.endpoint_id, reserved=True),
        events.ReservationResult("x", 3, DECODE_A, reserved=False),
        events.LoadProbeEnded(DECODE_A, AttemptStatus.OK, MS),
        events.LoadProbeEnded(999, AttemptStatus.TIMEOUT, MS),
        events.GossipReceived(5, b""),
        events.GossipReceived(5, b"\xff\x00noise"),
        events.GossipReceived(-1, b"v9:" + bytes(250)),
    ):
        assert harness.handle(event) == []
    request = harness.policy.requests["r"]
    assert request.reserved_endpoint is None and request.open_attempts == before
