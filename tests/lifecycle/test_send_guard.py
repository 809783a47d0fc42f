"""Tests of the send guard: each rule alone forbids a write, and writes against a rule are counted."""

from dataclasses import replace
from datetime import timedelta

import pytest
from reducer_harness import MILLISECOND, SECOND, ReducerHarness, endpoint

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.attempt import AttemptState
from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.request import RequestState
from llm_router.lifecycle.send_guard import Denial, write_denial
from llm_router.routing.events import AttemptStatus, EndpointStatus


@pytest.fixture
def lifecycle():
    return ReducerHarness(max_attempts=2)


def denial_now(lifecycle, index=0, deadline=None, write_deadline=None):
    request = lifecycle.state.requests.get("q")
    deadline = lifecycle.now + SECOND if deadline is None else deadline
    return write_denial(lifecycle.state, lifecycle.now, request, index, deadline, write_deadline)


def request_with_another_attempt(lifecycle, class_name, status):
    """End a decode attempt with a status, and return its request with another attempt that is connecting."""
    lifecycle.submit(class_name=class_name)
    lifecycle.feed(events.AttemptEnded("q", 0, AttemptStatus.PREFILLED), MILLISECOND)
    lifecycle.feed(events.AttemptEnded("q", 1, status), MILLISECOND)
    request = lifecycle.state.requests["q"]
    request.state = RequestState.PENDING
    request.attempts.append(replace(request.attempts[1], state=AttemptState.CONNECTING, status=None))
    return request


def test_an_attempt_that_is_still_needed_may_be_written(lifecycle):
    lifecycle.submit()
    assert denial_now(lifecycle) is None


def test_nothing_is_written_for_a_client_that_disconnected(lifecycle):
    lifecycle.submit()
    lifecycle.feed(events.ClientDisconnected("q"))
    assert denial_now(lifecycle) is Denial.NOT_NEEDED


def test_nothing_is_written_for_an_unknown_request(lifecycle):
    assert denial_now(lifecycle) is Denial.NOT_NEEDED


def test_nothing_is_written_at_the_deadline(lifecycle):
    lifecycle.submit()
    assert denial_now(lifecycle, deadline=lifecycle.now) is Denial.DEADLINE_EXCEEDED


def test_nothing_is_written_after_the_deduplication_window(lifecycle):
    lifecycle.submit()
    denial = denial_now(lifecycle, write_deadline=lifecycle.now)
    assert denial is Denial.DEDUPLICATION_WINDOW_OVER
    assert denial_now(lifecycle, write_deadline=lifecycle.now + MILLISECOND) is None


@pytest.mark.parametrize("status", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
def test_nothing_is_written_to_an_endpoint_that_drains_or_is_removed(lifecycle, status):
    lifecycle.submit()
    lifecycle.feed(events.EndpointListReceived((endpoint("r", "prefill", status),), False))
    assert denial_now(lifecycle) is Denial.ENDPOINT_NOT_READY


def test_no_more_attempts_are_written_than_the_settings_allow(lifecycle):
    request = request_with_another_attempt(lifecycle, "safe", AttemptStatus.ERROR)
    assert lifecycle.state.settings.max_attempts == 2 and len(request.attempts) == 3
    assert denial_now(lifecycle, index=2) is Denial.ATTEMPTS_EXHAUSTED


def test_no_hedged_request_is_written_while_an_attempt_runs():
    lifecycle = ReducerHarness()
    request = request_with_another_attempt(lifecycle, "safe", AttemptStatus.ERROR)
    request.attempts[1].state, request.attempts[1].status = AttemptState.WRITTEN, None
    assert denial_now(lifecycle, index=2) is Denial.ANOTHER_ATTEMPT_RUNNING


@pytest.mark.parametrize("status", [AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.TIMEOUT])
@pytest.mark.parametrize(("class_name", "denial"), [("once", Denial.MAY_HAVE_RUN), ("safe", None)])
def test_a_request_that_may_have_run_is_repeated_only_if_its_class_allows(status, class_name, denial):
    lifecycle = ReducerHarness()
    request_with_another_attempt(lifecycle, class_name, status)
    assert denial_now(lifecycle, index=2) is denial


def test_an_attempt_written_against_a_rule_is_counted_and_logged(lifecycle):
    lifecycle.submit()
    lifecycle.now += timedelta(seconds=9)
    lifecycle.feed(events.AttemptWritten("q", 0))
    (line,) = lifecycle.log_events("invariant_violated")
    assert line.fields["what"] == "time_over" and line.fields["request"] == "q"
    assert lifecycle.state.violations == {"written_against_rule": 1}


def test_a_final_answer_is_logged_with_its_reason_and_the_attempts_before_it(lifecycle):
    lifecycle.submit()
    lifecycle.feed(events.AttemptEnded("q", 0, AttemptStatus.ERROR), MILLISECOND)
    lifecycle.feed(events.AttemptEnded("q", 1, AttemptStatus.ERROR), MILLISECOND)
    lines = lifecycle.log_events("request_rejected")
    assert lines and lines[0].fields["attempts"] == ["r error", "r error"]
    assert lines[0].fields["reason"] == "attempts_exhausted"


def test_no_second_reservation_call_is_made_to_a_decode_endpoint_that_drains(lifecycle):
    lifecycle.submit()
    (reserve,) = lifecycle.effects_of(effects.Reserve)
    draining = replace(reserve.endpoint, status=EndpointStatus.DRAINING)
    lifecycle.feed(events.EndpointListReceived((draining,), False))
    lifecycle.feed(events.ReservationEnded("q", 0, ReservationOutcome.UNKNOWN), 300 * MILLISECOND)
    assert not lifecycle.effects_of(effects.Reserve)
