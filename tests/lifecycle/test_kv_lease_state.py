"""Tests of the KV lease state machine without the reducer."""

from datetime import timedelta

import pytest
from reducer_harness import MILLISECOND, SECOND

from llm_router.lifecycle.kv_lease import MAX_PREFILL_TIME_AFTER_RESET, KvLease, LeaseState
from llm_router.lifecycle.release_calls import ReleaseCalls
from llm_router.lifecycle.release_schedule import ReleaseSchedule
from llm_router.routing.events import AttemptStatus

RELEASE_TIMEOUT = timedelta(milliseconds=300)


@pytest.fixture
def lease():
    return KvLease(ReleaseSchedule(RELEASE_TIMEOUT))


def test_two_decode_endpoints_share_the_connect_time_within_the_release_time(lease):
    assert lease.connect_timeout(SECOND) is None, "no KV state is available"
    lease.prefill_ended(SECOND, AttemptStatus.PREFILLED)
    first = lease.connect_timeout(SECOND)
    second = lease.connect_timeout(SECOND + first)
    assert timedelta() < second and first + second <= RELEASE_TIMEOUT - 25 * MILLISECOND
    assert timedelta() < lease.connect_timeout(SECOND + RELEASE_TIMEOUT) <= MILLISECOND


@pytest.mark.parametrize(
    ("status", "state"),
    [
        (AttemptStatus.PREFILLED, LeaseState.AVAILABLE),
        (AttemptStatus.ERROR, LeaseState.ORPHANED),
        (AttemptStatus.TIMEOUT, LeaseState.ORPHANED),
        (AttemptStatus.RESET, LeaseState.ORPHANED),
        (AttemptStatus.CANCELLED, LeaseState.ORPHANED),
    ],
)
def test_a_prefill_that_may_have_succeeded_must_be_released(lease, status, state):
    lease.prefill_ended(SECOND, status)
    assert lease.state is state
    lease.release_started(ReleaseCalls.starting_at(SECOND))
    assert not lease.is_finished and lease.schedule.release_at is None
    lease.release_acknowledged(SECOND)
    assert lease.is_finished is (status is AttemptStatus.PREFILLED), (
        "an aborted prefill may leave KV state after the release"
    )
    lease.release_started(ReleaseCalls.starting_at(SECOND))
    lease.release_acknowledged(SECOND + MAX_PREFILL_TIME_AFTER_RESET)
    assert lease.is_finished


@pytest.mark.parametrize(
    "status", [AttemptStatus.CONNECT_FAILED, AttemptStatus.OVERLOADED, AttemptStatus.NOT_SENT]
)
def test_a_prefill_that_never_ran_leaves_nothing_to_release(lease, status):
    lease.prefill_ended(SECOND, status)
    assert lease.is_finished and lease.schedule.release_at is None


def test_a_response_that_starts_ends_the_lease(lease):
    lease.prefill_ended(SECOND, AttemptStatus.PREFILLED)
    lease.response_started(SECOND)
    lease.abandon(SECOND)
    assert lease.is_finished and lease.schedule.release_at is None
