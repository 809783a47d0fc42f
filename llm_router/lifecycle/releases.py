"""Release the KV state and reservations of a request with calls until an endpoint acknowledges one."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.invariants import lease_history
from llm_router.lifecycle.kv_lease import LeaseState
from llm_router.lifecycle.release_calls import ReleaseCall, ReleaseCalls
from llm_router.lifecycle.release_order import release_order
from llm_router.lifecycle.request import Request
from llm_router.lifecycle.state import RouterState
from llm_router.routing.events import AttemptStatus


def advance_release(state: RouterState, now: timedelta, request: Request) -> Iterator[effects.Effect]:
    """Start a release that is due, or the next round of a running one, unless a running prefill delays it."""
    if not request.may_release(now):
        yield from schedule_release(now, request)
        return
    schedule = request.lease.schedule
    if schedule.calls is None and schedule.release_at is not None and now >= schedule.release_at:
        yield from _start_release(now, request)
    if schedule.calls is not None and now >= schedule.calls.next_round_at:
        yield from _start_round(state, now, request, schedule.calls)
    yield from schedule_release(now, request)


def _start_release(now: timedelta, request: Request) -> Iterator[effects.Effect]:
    """Start a release of the KV state and reservations of a request.

    Decode attempts that are still connecting are aborted, because the release frees the KV state. If a decode
    attempt was written, it keeps its claim: the release frees the KV state only if the attempt never arrived
    at its endpoint."""
    lease = request.lease
    if lease.state is LeaseState.AVAILABLE and request.has_running_decode:
        lease.schedule.start(ReleaseCalls.starting_at(now))
        return
    if lease.state is LeaseState.AVAILABLE:
        yield from request.abort_all_attempts(AttemptStatus.CONNECT_FAILED)
    lease.release_started(ReleaseCalls.starting_at(now))


def _start_round(
    state: RouterState, now: timedelta, request: Request, calls: ReleaseCalls
) -> Iterator[effects.Effect]:
    """Start the next round of release calls, or end the release if it has expired."""
    fields: dict[str, object] = {"request": request.request_id, "rounds": calls.rounds}
    if calls.has_expired(now) and not request.has_running_attempt:
        yield effects.LogEvent("release_expired", fields, rate_limited=True)
        yield lease_history(request)
        request.lease.release_expired()
        yield effects.CancelReleases(request.request_id)
        return
    if calls.has_stalled:
        yield effects.LogEvent("release_unacknowledged", fields, rate_limited=True)
        yield lease_history(request)
    order = release_order(state, request)
    yield from _release_effects(now, request, calls.start_round(now, order, request.release_call_count))


def _release_effects(
    now: timedelta, request: Request, calls: dict[int, ReleaseCall]
) -> Iterator[effects.Effect]:
    """Yield the effects that make the given release calls, and number and record the calls."""
    request.release_call_count += len(calls)
    for number, call in calls.items():
        request.history.record(now, "release", call.endpoint.name)
        yield effects.Release(request.request_id, request.accepted_at, number, call.endpoint)


def cancel_release_calls(request: Request) -> Iterator[effects.Effect]:
    """Cancel the release calls of a request whose release has ended."""
    if request.release_call_count and request.lease.schedule.calls is None:
        yield effects.CancelReleases(request.request_id)


def schedule_release(now: timedelta, request: Request) -> Iterator[effects.Effect]:
    """Set a timer for the next release or round, unless a timer that fires as early is set.

    If a running prefill delays the release, the timer fires when the release is overdue."""
    fires_at = request.lease.schedule.next_at
    if fires_at is not None and not request.may_release(now):
        overdue_at = request.lease.schedule.overdue_at
        fires_at = overdue_at if overdue_at is not None and overdue_at > now else None
    if fires_at is None:
        return
    if request.release_timer_at is None or fires_at < request.release_timer_at:
        request.release_timer_at = fires_at
        yield effects.ScheduleTimer(fires_at, events.ReleaseTimer(request.request_id, request.accepted_at))


def record_release_answer(
    state: RouterState, now: timedelta, request: Request, event: events.ReleaseCallEnded
) -> Iterator[effects.Effect]:
    """Record the result of a release call; if the call was not acknowledged, call the next endpoint."""
    calls = request.lease.schedule.calls
    call = None if calls is None else calls.running.pop(event.call_number, None)
    if calls is None or call is None:
        return
    number = state.numbers.get(call.endpoint.name)
    if number is not None and number in state.endpoints and not event.failed_locally:
        state.endpoint_table.record_contact(number, now, answered=event.acknowledged)
    request.history.record(
        now, "acknowledged" if event.acknowledged else "not acknowledged", call.endpoint.name
    )
    if event.acknowledged:
        if number is not None:
            request.lease.unconfirmed_closes.confirm(number)
        request.lease.release_acknowledged(call.started_at)
        yield from cancel_release_calls(request)
    elif request.may_release(now) and not event.failed_locally:
        yield from _release_effects(
            now, request, calls.start_replacement_call(now, request.release_call_count)
        )
