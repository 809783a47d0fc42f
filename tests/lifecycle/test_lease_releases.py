"""KV state and reservations are released in time after failures and unusual orders of events."""

from datetime import timedelta

import pytest
from policy_harness import PolicyHarness
from reducer_harness import MILLISECOND, SECOND, ReducerHarness, endpoint

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.reducer import reduce
from llm_router.lifecycle.release_calls import MAX_REPLACEMENT_CALLS
from llm_router.lifecycle.release_order import release_order
from llm_router.routing import actions as routing_actions
from llm_router.routing.events import AttemptStatus, EndpointStatus

CUT_OFF = (AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED)


def test_new_kv_state_cancels_the_release_of_the_old_one(lifecycle):
    lifecycle.submit()
    # The connection of the next prefill attempt is not established yet.
    reduce(lifecycle.state, lifecycle.now, events.AttemptEnded("q", 0, AttemptStatus.RESET))
    timer_fired = events.TimerFired(events.ReleaseTimer("q", lifecycle.now))
    released = reduce(lifecycle.state, lifecycle.now + 100 * MILLISECOND, timer_fired)
    assert any(isinstance(each, effects.Release) for each in released)
    lifecycle.feed(events.AttemptWritten("q", 1), 110 * MILLISECOND)
    lifecycle.feed(events.AttemptEnded("q", 1, AttemptStatus.PREFILLED), MILLISECOND)
    assert lifecycle.effects_of(effects.CancelReleases) == [effects.CancelReleases("q")], (
        "a running release would free the new KV state too"
    )
    assert lifecycle.effects_of(effects.OpenAttempt) and not lifecycle.effects_of(effects.Release)


def test_a_reservation_call_that_ends_after_a_release_causes_another_release(lifecycle):
    request = request_with_only_a_reservation(lifecycle)
    lifecycle.feed(events.ReservationEnded("q", 0, ReservationOutcome.UNANSWERED), 100 * MILLISECOND)
    assert lifecycle.effects_of(effects.Release) and not request.is_closed


def test_releases_are_made_at_intervals_while_a_reservation_call_is_pending(lifecycle):
    request_with_only_a_reservation(lifecycle)
    for _ in range(3):
        before = lifecycle.now
        calls = lifecycle.next_release()
        assert calls and lifecycle.now - before <= 500 * MILLISECOND
        lifecycle.end_release_call(calls[-1], acknowledged=True)


def request_with_only_a_reservation(lifecycle):
    """Return a request whose prefill was reset while its reservation call is pending.

    No endpoint is ready for another prefill attempt."""
    lifecycle.submit()
    draining = endpoint("r", "prefill", EndpointStatus.DRAINING)
    lifecycle.feed(events.EndpointListReceived((draining,), False))
    lifecycle.silence_policy()  # the request waits for an endpoint to become ready again
    lifecycle.feed(events.AttemptEnded("q", 0, AttemptStatus.RESET), 10 * MILLISECOND)
    request = lifecycle.state.requests["q"]
    (release,) = lifecycle.next_release()
    lifecycle.end_release_call(release, acknowledged=True)
    assert not request.has_running_attempt and request.lease.pending_reservations == 1
    return request


def test_endpoints_that_just_failed_are_called_last_for_a_release(lifecycle):
    lifecycle.submit()
    silent = lifecycle.finish_prefill().endpoint
    lifecycle.feed(events.AttemptEnded("q", 1, AttemptStatus.CONNECT_FAILED), 10 * MILLISECOND)
    lifecycle.feed(events.ClientDisconnected("q"), MILLISECOND)
    for index, attempt in enumerate(lifecycle.state.requests["q"].attempts):
        if attempt.is_running:
            lifecycle.feed(events.AttemptEnded("q", index, AttemptStatus.CANCELLED), MILLISECOND)
    (release,) = lifecycle.effects_of(effects.Release) or lifecycle.next_release()
    order = release_order(lifecycle.state, lifecycle.state.requests["q"])
    assert release.endpoint.name == order[0].name == "r", "this endpoint has the latest answer"
    assert order[-1] == silent


def test_a_release_is_made_in_time_if_the_policy_does_not_request_it(lifecycle):
    lifecycle.submit()
    lifecycle.silence_policy()
    lifecycle.feed(events.ReservationEnded("q", 0, ReservationOutcome.UNANSWERED))
    lifecycle.feed(events.AttemptEnded("q", 0, AttemptStatus.PREFILLED), 10 * MILLISECOND)
    (scheduled,) = lifecycle.effects_of(effects.ScheduleTimer)
    assert isinstance(scheduled.timer, events.ReleaseTimer)
    assert scheduled.at < lifecycle.now + 500 * MILLISECOND
    lifecycle.now = scheduled.at
    lifecycle.feed(events.TimerFired(scheduled.timer))
    assert lifecycle.effects_of(effects.Release)
    lifecycle.feed(events.TimerFired(scheduled.timer), MILLISECOND)
    assert not lifecycle.effects_of(effects.Release), "the release starts only once"


@pytest.mark.parametrize("status", CUT_OFF)
def test_the_release_time_starts_at_the_last_outcome_except_a_failed_connect(lifecycle, status):
    lifecycle.submit()
    lifecycle.finish_prefill()
    lifecycle.silence_policy()
    lease, prefilled_at = lifecycle.state.requests["q"].lease, lifecycle.now
    release_at = lease.schedule.release_at
    lifecycle.feed(events.AttemptEnded("q", 1, AttemptStatus.CONNECT_FAILED), 20 * MILLISECOND)
    assert lease.schedule.release_at == release_at < prefilled_at + 500 * MILLISECOND
    lease.decode_ended(1, lifecycle.now, status)
    assert lifecycle.now < lease.schedule.release_at < lifecycle.now + 500 * MILLISECOND


def test_the_calls_that_replace_failed_release_calls_are_limited_in_each_round(lifecycle):
    endpoints = tuple(endpoint(f"s{n}", "decode") for n in range(40))
    lifecycle.feed(events.EndpointListReceived(endpoints, False))
    lifecycle.submit()
    lifecycle.finish_prefill()
    lifecycle.feed(events.ClientDisconnected("q"), MILLISECOND)
    lifecycle.feed(events.AttemptEnded("q", 1, AttemptStatus.CANCELLED), MILLISECOND)
    calls, called = lifecycle.effects_of(effects.Release) or lifecycle.next_release(), set()
    while calls:
        called.add(calls[0].endpoint.name)
        lifecycle.end_release_call(calls[0], acknowledged=False)
        calls = lifecycle.effects_of(effects.Release)
    assert len(called) == 1 + MAX_REPLACEMENT_CALLS
    assert {each.endpoint.name for each in lifecycle.next_release()}.isdisjoint(called)


# Guards against calls to all endpoints in a row, and against blame on them, while the router has no socket.
def test_a_release_call_that_got_no_socket_is_not_replaced_and_tells_nothing_of_its_endpoint(lifecycle):
    time_of_abandoned_lease(lifecycle)
    (call,) = lifecycle.effects_of(effects.Release) or lifecycle.next_release()
    contacts = dict(lifecycle.state.endpoint_table.last_contacts)
    lifecycle.end_release_call(call, acknowledged=False, failed_locally=True)
    assert not lifecycle.effects_of(effects.Release)
    assert lifecycle.state.endpoint_table.last_contacts == contacts
    assert lifecycle.next_release(), "the next round calls again"


def time_of_abandoned_lease(lifecycle):
    """Submit a request whose client disconnects after the prefill, and return the time of that."""
    lifecycle.submit()
    lifecycle.finish_prefill()
    lifecycle.feed(events.ClientDisconnected("q"), MILLISECOND)
    lifecycle.feed(events.AttemptEnded("q", 1, AttemptStatus.CANCELLED), MILLISECOND)
    return lifecycle.now


def test_an_unacknowledged_release_continues_and_is_logged_once(lifecycle):
    abandoned_at, count = time_of_abandoned_lease(lifecycle), len(lifecycle.effects_of(effects.Release))
    while lifecycle.now - abandoned_at < 20 * SECOND:
        before = lifecycle.now
        calls = lifecycle.next_release()
        assert calls and lifecycle.now - before <= 500 * MILLISECOND
        count += len(calls)
    assert count >= 25 and lifecycle.logged.count("release_unacknowledged") == 1
    lifecycle.end_release_call(calls[-1], acknowledged=True)
    assert not lifecycle.state.requests


def test_a_release_ends_after_a_minute_without_acknowledgement(lifecycle):
    abandoned_at = time_of_abandoned_lease(lifecycle)
    while lifecycle.next_release():
        assert lifecycle.now - abandoned_at < 61 * SECOND
    assert lifecycle.now - abandoned_at > 60 * SECOND
    assert lifecycle.logged.count("release_expired") == 1 and not lifecycle.state.requests


@pytest.mark.parametrize("release_timeout_ms", [0, 1, 40])
def test_a_short_release_time_leaves_a_connect_timeout_that_the_protocol_allows(release_timeout_ms):
    lifecycle = ReducerHarness(release_timeout=release_timeout_ms * 1_000_000)
    lifecycle.submit()
    assert timedelta() < lifecycle.finish_prefill().connect_timeout <= 100 * MILLISECOND


def test_kv_state_that_the_decode_endpoint_does_not_find_is_released():
    harness = PolicyHarness()
    harness.submit()
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    harness.end_attempt(
        AttemptStatus.OVERLOADED, harness.attempted_endpoints()[0], attempt=1, state_missing=True
    )
    assert harness.actions_of(routing_actions.Release) == [routing_actions.Release("r")]


@pytest.mark.parametrize("release_timeout_ms", [0, 1, 40, 100])
def test_a_short_release_time_still_allows_one_decode_attempt(release_timeout_ms):
    harness = PolicyHarness(release_timeout=release_timeout_ms * 1_000_000)
    harness.submit()
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    assert len(harness.attempted_endpoints()) == 1 and not harness.actions_of(routing_actions.Release)
