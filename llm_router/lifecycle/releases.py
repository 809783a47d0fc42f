"""Begins the releases of held state when they are due, and asks on until an endpoint has taken one."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.kv_lease import LeaseState
from llm_router.lifecycle.release_calls import ReleaseCall, ReleaseCalls
from llm_router.lifecycle.release_order import release_order
from llm_router.lifecycle.state import Request, RouterState, abandon
from llm_router.routing.events import AttemptStatus


def go_on_releasing(state: RouterState, now: timedelta, request: Request) -> Iterator[effects.Effect]:
    """Begin a release that is due, or ask further endpoints for one that is out, if releases may go out."""
    held = request.held
    if not request.may_release(now):
        return
    if held.calls is None and held.release_at is not None and now >= held.release_at:
        if held.holding is LeaseState.READY and request.decoding:
            held.press(ReleaseCalls(now))
        else:
            yield from abandon_unsent(request)
            held.begin_release(ReleaseCalls(now))
    if (calls := held.calls) is not None and now >= calls.next_try:
        if calls.exhausted:
            yield effects.LogEvent(
                "release_unacknowledged",
                {"request": request.asked.request_id, "tries": calls.tries},
                rate_limited=True,
            )
            held.release_unheard()
            yield effects.CancelReleases(request.asked.request_id)
        else:
            order = release_order(state, request)
            yield from begin_calls(request, calls.try_again(now, order, request.release_calls))
    yield from wake_for_release(request)


def abandon_unsent(request: Request) -> Iterator[effects.Effect]:
    """Give up the attempts that were to take a state, whose connections have not come up in time."""
    if request.held.holding is LeaseState.READY:
        for index in range(len(request.attempts)):
            yield from abandon(request, index, AttemptStatus.CONNECT_FAILED)


def begin_calls(request: Request, calls: dict[int, ReleaseCall]) -> Iterator[effects.Effect]:
    """Make release calls."""
    request.release_calls += len(calls)
    for number, call in calls.items():
        yield effects.Release(request.asked.request_id, request.taken, number, call.endpoint)


def stop_releases(request: Request) -> Iterator[effects.Effect]:
    """Give up the calls of a release that is no longer asked for."""
    if request.release_calls and request.held.calls is None:
        yield effects.CancelReleases(request.asked.request_id)


def wake_for_release(request: Request) -> Iterator[effects.Effect]:
    """Ask for a timer at the next release or release call, unless one comes earlier."""
    held = request.held
    at = held.release_at if held.calls is None else held.calls.next_try
    if at is not None and (request.woken_at is None or at < request.woken_at):
        request.woken_at = at
        yield effects.ScheduleTimer(at, events.ReleaseDue(request.asked.request_id, request.taken))


def note_answer(
    state: RouterState, now: timedelta, request: Request, event: events.ReleaseCallEnded
) -> Iterator[effects.Effect]:
    """Take in what came of a release call; where the endpoint did not take it, the next is asked."""
    calls = request.held.calls
    call = None if calls is None else calls.out.pop(event.call_number, None)
    if call is None:
        return
    if (server := state.numbers.get(call.endpoint.name)) in state.endpoints:
        state.signs[server] = event.acknowledged, now
    if event.acknowledged:
        request.held.release_heard(call.begun)
        yield from stop_releases(request)
    elif request.may_release(now):
        yield from begin_calls(request, calls.ask_next(now, request.release_calls))
