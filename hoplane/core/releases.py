"""Begins the releases of held state when they are due, and asks on until an endpoint has taken one."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from hoplane.core import events as ev
from hoplane.core.held import Holding
from hoplane.core.release_calls import ReleaseCall, ReleaseCalls
from hoplane.core.release_order import release_order
from hoplane.core.state import Conductor, Request, abandon
from hoplane.decision.interface import Status


def go_on_releasing(state: Conductor, now: timedelta, request: Request) -> Iterator[ev.Effect]:
    """Begin a release that is due, or ask further endpoints for one that is out, if releases may go out."""
    held = request.held
    if not request.may_release(now):
        return
    if held.calls is None and held.release_at is not None and now >= held.release_at:
        if held.holding is Holding.READY and request.decoding:
            held.press(ReleaseCalls(now))
        else:
            yield from abandon_unsent(request)
            held.begin_release(ReleaseCalls(now))
    if (calls := held.calls) is not None and now >= calls.next_try:
        if calls.exhausted:
            yield ev.Say("release_unheard", {"request": request.asked.id, "tries": calls.tries}, seldom=True)
            held.release_unheard()
            yield ev.StopReleases(request.asked.id)
        else:
            order = release_order(state, request)
            yield from begin_calls(request, calls.try_again(now, order, request.release_calls))
    yield from wake_for_release(request)


def abandon_unsent(request: Request) -> Iterator[ev.Effect]:
    """Give up the attempts that were to take a state, whose connections have not come up in time."""
    if request.held.holding is Holding.READY:
        for index in range(len(request.attempts)):
            yield from abandon(request, index, Status.CONNECT_FAILED)


def begin_calls(request: Request, calls: dict[int, ReleaseCall]) -> Iterator[ev.Effect]:
    """Make release calls."""
    request.release_calls += len(calls)
    for number, call in calls.items():
        yield ev.Release(request.asked.id, request.taken, number, call.endpoint)


def stop_releases(request: Request) -> Iterator[ev.Effect]:
    """Give up the calls of a release that is no longer asked for."""
    if request.release_calls and request.held.calls is None:
        yield ev.StopReleases(request.asked.id)


def wake_for_release(request: Request) -> Iterator[ev.Effect]:
    """Ask for a timer at the next release or release call, unless one comes earlier."""
    held = request.held
    at = held.release_at if held.calls is None else held.calls.next_try
    if at is not None and (request.woken_at is None or at < request.woken_at):
        request.woken_at = at
        yield ev.Wake(at, ev.ReleaseDue(request.asked.id, request.taken))


def note_answer(
    state: Conductor, now: timedelta, request: Request, event: ev.ReleaseAnswered
) -> Iterator[ev.Effect]:
    """Take in what came of a release call; where the endpoint did not take it, the next is asked."""
    calls = request.held.calls
    call = None if calls is None else calls.out.pop(event.number, None)
    if call is None:
        return
    if (server := state.numbers.get(call.endpoint.name)) in state.fleet:
        state.signs[server] = event.heard, now
    if event.heard:
        request.held.release_heard(call.begun)
        yield from stop_releases(request)
    elif request.may_release(now):
        yield from begin_calls(request, calls.ask_next(now, request.release_calls))
