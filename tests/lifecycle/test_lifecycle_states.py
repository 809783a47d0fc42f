"""Tests of the state machines of attempts and requests without the reducer."""

from datetime import timedelta

import pytest

from llm_router.lifecycle.attempt import Attempt, AttemptChange, AttemptState
from llm_router.lifecycle.request import REQUEST_TRANSITIONS, RequestChange, RequestState
from llm_router.routing.events import AttemptStatus

WRITTEN, RESPONSE_STARTED = AttemptChange.WRITTEN, AttemptChange.RESPONSE_STARTED


def attempt_after(*changes, is_prefill=False, abort_status=None):
    attempt = Attempt(endpoint_id=1, is_prefill=is_prefill, opened_at=timedelta(), abort_status=abort_status)
    for change in changes:
        attempt.change(change)
    return attempt


@pytest.mark.parametrize(
    ("changes", "state"),
    [
        ([], AttemptState.ENDED_UNWRITTEN),
        ([WRITTEN], AttemptState.ENDED),
        ([WRITTEN, RESPONSE_STARTED], AttemptState.ENDED),
        ([RESPONSE_STARTED], AttemptState.ENDED),
    ],
)
def test_an_ended_attempt_still_shows_whether_it_was_written(changes, state):
    attempt = attempt_after(*changes)
    assert attempt.is_running and attempt.was_written is bool(changes)
    attempt.end(AttemptStatus.CANCELLED)
    assert attempt.state is state and not attempt.is_running
    assert attempt.was_written is bool(changes)


@pytest.mark.parametrize(
    ("changes", "abort_status", "reported", "counted"),
    [
        ([WRITTEN], AttemptStatus.TIMEOUT, AttemptStatus.CANCELLED, AttemptStatus.TIMEOUT),
        ([WRITTEN], AttemptStatus.TIMEOUT, AttemptStatus.OK, AttemptStatus.OK),
        ([WRITTEN], None, AttemptStatus.CANCELLED, AttemptStatus.CANCELLED),
        ([], AttemptStatus.CONNECT_FAILED, AttemptStatus.CANCELLED, AttemptStatus.CONNECT_FAILED),
        ([WRITTEN], AttemptStatus.CONNECT_FAILED, AttemptStatus.CANCELLED, AttemptStatus.CANCELLED),
    ],
)
def test_an_aborted_attempt_ends_with_the_status_of_its_abort(changes, abort_status, reported, counted):
    assert attempt_after(*changes, abort_status=abort_status).final_status(reported) is counted


@pytest.mark.parametrize("status", AttemptStatus)
def test_a_prefill_never_counts_as_having_had_an_effect(status):
    attempt = attempt_after(WRITTEN, is_prefill=True)
    attempt.end(status)
    assert not attempt.may_have_run


@pytest.mark.parametrize("closed", [RequestState.CLOSED, RequestState.CLOSED_AFTER_START])
def test_a_closed_request_stays_closed(closed):
    assert all(closed not in REQUEST_TRANSITIONS[change] for change in RequestChange)
