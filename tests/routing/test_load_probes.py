"""Load probes, which ask prefill endpoints for their load before a prefill is sent."""

from policy_harness import FOUR_PREFILL_FLEET, MS, PolicyHarness, S

from llm_router.routing import actions, events
from llm_router.routing.events import AttemptStatus, LoadReport


def answer_probe(harness, status=AttemptStatus.OK, after=3 * MS, queued_thousands=None):
    """Answer the only unanswered load probe and return the ID of the probed endpoint."""
    (probe,) = harness.actions_of(actions.ProbeLoad)
    report = LoadReport(queued_prompt_tokens=queued_thousands and 1000 * queued_thousands)
    harness.handle(events.LoadProbeEnded(probe.endpoint_id, status, after, report), after)
    return probe.endpoint_id


def harness_with_known_speed(**changes):
    """Return a harness whose router has measured the prefill speed."""
    harness = PolicyHarness(fleet=FOUR_PREFILL_FLEET, load_probes=True, **changes)
    harness.submit("first")
    prefill_endpoint = answer_probe(harness, queued_thousands=0.0)
    assert harness.attempted_endpoints() == [prefill_endpoint]
    # 2000 tokens in 0.1 s are 20,000 tokens per second.
    harness.end_attempt(AttemptStatus.PREFILLED, prefill_endpoint, "first", after=100 * MS)
    harness.disconnect("first")
    harness.now += S
    return harness


def test_reported_queue_sends_a_request_to_the_next_endpoint_on_the_ring():
    harness = harness_with_known_speed()
    harness.submit("r")
    assert harness.attempted_endpoints() == [], "the request waits for the load report of its first endpoint"
    first = answer_probe(harness, queued_thousands=12.0)  # 0.6 s of prefill for other routers
    assert harness.attempted_endpoints() == []
    second = answer_probe(harness, queued_thousands=0.5)
    assert second != first and harness.attempted_endpoints() == [second]
    harness.submit("r2", after=100 * MS, session="r")
    assert harness.attempted_endpoints() == [second] and not harness.actions_of(actions.ProbeLoad), (
        "the load reports are still recent"
    )


def test_reported_queues_reject_a_request_that_would_be_late():
    harness = harness_with_known_speed()
    harness.submit("r")
    for _ in range(3):
        answer_probe(harness, queued_thousands=40.0)
    (rejection,) = harness.actions_of(actions.RejectRequest)
    assert harness.attempted_endpoints() == [] and rejection.request_id == "r"


def test_missing_load_report_delays_a_request_briefly():
    harness = harness_with_known_speed()
    harness.submit("r")
    start = harness.now
    assert any(isinstance(each, actions.StartAttempt) for each in harness.run_timers(start + 61 * MS))


def test_no_load_probe_is_sent_unless_settings_allow_it():
    harness = PolicyHarness(fleet=FOUR_PREFILL_FLEET)
    harness.submit("r")
    assert harness.attempted_endpoints() and not harness.actions_of(actions.ProbeLoad)
