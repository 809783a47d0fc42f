"""Outlier ejection, which sends no requests to a failed endpoint for a limited time."""

from policy_harness import (
    FOUR_PREFILL_FLEET,
    MS,
    PREFILL_A,
    PREFILL_B,
    PolicyHarness,
    S,
    entry,
    submit_to_home,
)

from llm_router.routing import events
from llm_router.routing.events import AttemptStatus
from llm_router.routing.settings import Role


def test_failed_endpoint_gets_a_single_request_after_its_ejection(harness):
    first = submit_to_home(harness)
    harness.end_attempt(AttemptStatus.CONNECT_FAILED, first, "home", after=200 * MS)
    other = PREFILL_A + PREFILL_B - first
    assert harness.attempted_endpoints() == [other]
    harness.disconnect("home")
    harness.submit("r2", session="p")
    assert harness.attempted_endpoints() == [other]
    harness.disconnect("r2")
    harness.submit("r3", session="p", after=S)
    assert harness.attempted_endpoints() == [first]
    harness.submit("r4", session="p")
    assert harness.attempted_endpoints() == [other]


def test_single_reset_or_stale_connections_do_not_eject_an_endpoint():
    harness = PolicyHarness(fleet=FOUR_PREFILL_FLEET)
    first = submit_to_home(harness)
    harness.end_attempt(AttemptStatus.RESET, first, "home", after=2 * MS)
    assert harness.attempted_endpoints() and harness.attempted_endpoints() != [first], (
        "the next attempt goes to another endpoint"
    )
    for number in range(4):
        harness.submit(f"r{number}", session="p")
        assert harness.attempted_endpoints() == [first]
        harness.end_attempt(
            AttemptStatus.RESET,
            first,
            f"r{number}",
            after=2 * MS,
            connection_fault=events.ConnectionFault.STALE,
        )
    harness.submit("again", session="p")
    harness.end_attempt(AttemptStatus.RESET, first, "again", after=2 * MS)
    harness.submit("more", session="p")
    assert harness.attempted_endpoints() and harness.attempted_endpoints() != [first], (
        "two consecutive resets of new connections eject the endpoint"
    )


def test_endpoint_that_rejects_everything_does_not_attract_all_attempts():
    harness = PolicyHarness(fleet=FOUR_PREFILL_FLEET)
    rejecting = submit_to_home(harness)
    sends = 0
    for number in range(100):
        harness.submit(f"r{number}", session="p", after=20 * MS)
        while rejecting in harness.attempted_endpoints():
            sends += 1
            attempt = len(harness.policy.requests[f"r{number}"].attempts) - 1
            harness.end_attempt(AttemptStatus.OVERLOADED, rejecting, f"r{number}", attempt, after=3 * MS)
        for endpoint in harness.attempted_endpoints():
            attempt = len(harness.policy.requests[f"r{number}"].attempts) - 1
            harness.end_attempt(AttemptStatus.PREFILLED, endpoint, f"r{number}", attempt)
            harness.handle(events.ClientDisconnected(f"r{number}"))
    assert sends < 12


def test_endpoint_with_consecutive_errors_is_ejected():
    harness = PolicyHarness(fleet=FOUR_PREFILL_FLEET)
    first = submit_to_home(harness)
    harness.end_attempt(AttemptStatus.ERROR, first, "home")
    assert harness.attempted_endpoints() and harness.attempted_endpoints() != [first], (
        "the next attempt goes to another endpoint"
    )
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0], "home", 1)
    harness.submit("again", session="p")
    assert harness.attempted_endpoints() == [first], "a single error does not eject the endpoint"
    harness.end_attempt(AttemptStatus.ERROR, first, "again")
    harness.submit("third", session="p")
    assert harness.attempted_endpoints() and harness.attempted_endpoints() != [first]
    harness.run_timers(harness.now + 3 * S)
    harness.submit("trial", session="p")
    assert harness.attempted_endpoints() == [first]


def test_restart_ends_an_ejection(harness):
    first = submit_to_home(harness)
    harness.end_attempt(AttemptStatus.CONNECT_FAILED, first, "home", after=200 * MS)
    cell = {PREFILL_A: 0, PREFILL_B: 1}[first]
    harness.handle(
        events.EndpointListUpdate(
            (entry(first, "prefill", cell, started_at=harness.now - 20 * S),), is_full=False
        )
    )
    assert harness.policy.endpoints[first] in harness.policy.candidates.usable((Role.PREFILL,))
