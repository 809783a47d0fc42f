"""What is held for a request is released in time, whatever fails; each bad order of events is forced."""

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


def test_a_new_kv_state_cancels_the_release_of_the_old_one(lifecycle):
    lifecycle.submit()
    # The connection of the next prefill does not come up yet.
    reduce(lifecycle.state, lifecycle.now, events.AttemptEnded("q", 0, AttemptStatus.RESET))
    timer_fired = events.TimerFired(events.ReleaseTimer("q", lifecycle.now))
    released = reduce(lifecycle.state, lifecycle.now + 100 * MILLISECOND, timer_fired)
    assert any(isinstance(each, effects.Release) for each in released)
    lifecycle.feed(events.AttemptWritten("q", 1), 110 * MILLISECOND)
    lifecycle.feed(events.AttemptEnded("q", 1, AttemptStatus.PREFILLED), MILLISECOND)
    assert lifecycle.effects_of(effects.CancelReleases) == [effects.CancelReleases("q")], (
        "it would take the new state as well"
    )
    assert lifecycle.effects_of(effects.OpenAttempt) and not lifecycle.effects_of(effects.Release)


def test_a_reservation_that_ends_after_a_release_is_released_while_the_request_goes_on(lifecycle):
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
    """Return a request whose prefill broke while its reservation is pending, with no endpoint for another."""
    lifecycle.submit()
    draining = endpoint("r", "prefill", EndpointStatus.DRAINING)
    lifecycle.feed(events.EndpointListReceived((draining,), False))
    lifecycle.silence_policy()  # as while the request waits for an endpoint to come back
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
    assert release.endpoint.name == order[0].name == "r", "it answered last"
    assert order[-1] == silent


def test_a_release_is_made_in_time_though_the_policy_forgets_it(lifecycle):
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
    assert not lifecycle.effects_of(effects.Release), "once"


@pytest.mark.parametrize("status", CUT_OFF)
def test_the_release_time_counts_from_the_last_outcome_except_a_failed_connect(lifecycle, status):
    lifecycle.submit()
    lifecycle.finish_prefill()
    lifecycle.silence_policy()
    lease, prefilled_at = lifecycle.state.requests["q"].lease, lifecycle.now
    release_at = lease.schedule.release_at
    lifecycle.feed(events.AttemptEnded("q", 1, AttemptStatus.CONNECT_FAILED), 20 * MILLISECOND)
    assert lease.schedule.release_at == release_at < prefilled_at + 500 * MILLISECOND
    lease.decode_ended(1, lifecycle.now, status)
    assert lifecycle.now < lease.schedule.release_at < lifecycle.now + 500 * MILLISECOND


def test_endpoints_that_reject_a_release_are_called_a_few_at_a_time(lifecycle):
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


def abandoned_lease(lifecycle):
    """Return when a request with KV state was abandoned."""
    lifecycle.submit()
    lifecycle.finish_prefill()
    lifecycle.feed(events.ClientDisconnected("q"), MILLISECOND)
    lifecycle.feed(events.AttemptEnded("q", 1, AttemptStatus.CANCELLED), MILLISECOND)
    return lifecycle.now


def test_a_release_that_is_never_acknowledged_goes_on_and_is_logged_once(lifecycle):
    abandoned_at, count = abandoned_lease(lifecycle), len(lifecycle.effects_of(effects.Release))
    while lifecycle.now - abandoned_at < 20 * SECOND:
        before = lifecycle.now
        calls = lifecycle.next_release()
        assert calls and lifecycle.now - before <= 500 * MILLISECOND
        count += len(calls)
    assert count >= 25 and lifecycle.logged.count("release_unacknowledged") == 1
    lifecycle.end_release_call(calls[-1], acknowledged=True)
    assert not lifecycle.state.requests


def test_a_release_ends_after_a_minute_without_acknowledgement(lifecycle):
    abandoned_at = abandoned_lease(lifecycle)
    while lifecycle.next_release():
        assert lifecycle.now - abandoned_at < 61 * SECOND
    assert lifecycle.now - abandoned_at > 60 * SECOND
    assert lifecycle.logged.count("release_expired") == 1 and not lifecycle.state.requests


@pytest.mark.parametrize("release_timeout_ms", [0, 1, 40])
def test_a_short_release_time_leaves_a_connect_timeout_within_the_protocols_slack(release_timeout_ms):
    lifecycle = ReducerHarness(release_timeout=release_timeout_ms * 1_000_000)
    lifecycle.submit()
    assert timedelta() < lifecycle.finish_prefill().connect_timeout <= 100 * MILLISECOND


def test_a_kv_state_that_its_decode_endpoint_cannot_find_is_released():
    harness = PolicyHarness()
    harness.submit()
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    harness.end_attempt(
        AttemptStatus.OVERLOADED, harness.attempted_endpoints()[0], attempt=1, state_missing=True
    )
    assert harness.actions_of(routing_actions.Release) == [routing_actions.Release("r")]


@pytest.mark.parametrize("release_timeout_ms", [0, 1, 40, 100])
def test_a_short_release_time_leaves_the_first_decode_endpoint_its_attempt(release_timeout_ms):
    harness = PolicyHarness(release_timeout=release_timeout_ms * 1_000_000)
    harness.submit()
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    assert len(harness.attempted_endpoints()) == 1 and not harness.actions_of(routing_actions.Release)
