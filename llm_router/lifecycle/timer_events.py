"""Handler of the event that a timer has fired."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.attempt_events import mark_attempt_missing
from llm_router.lifecycle.policy_actions import consult_policy
from llm_router.lifecycle.request_completion import complete_request
from llm_router.lifecycle.request_events import fail_overdue_request
from llm_router.lifecycle.state import RouterState
from llm_router.routing import events as routing_events
from llm_router.routing.events import AttemptStatus


def on_timer_fired(state: RouterState, now: timedelta, event: events.TimerFired) -> Iterator[effects.Effect]:
    """Handle a timer of the policy, which is a number, or a timer of the lifecycle."""
    if isinstance(event.timer, int):
        yield from consult_policy(state, now, routing_events.TimerFired(event.timer))
    else:
        yield from _fire_lifecycle_timer(state, now, event.timer)


def _fire_lifecycle_timer(
    state: RouterState, now: timedelta, timer: events.LifecycleTimer
) -> Iterator[effects.Effect]:
    """Handle a timer of a request, unless the timer belongs to an earlier request with the same id."""
    request = state.requests.get(timer.request_id)
    if request is None or request.accepted_at != timer.accepted_at:
        return
    match timer:
        case events.ReleaseTimer():
            request.release_timer_at = None  # `complete_request` starts the release or its next round.
        case events.ArrivalTimer():
            yield from mark_attempt_missing(state, now, request, timer.attempt)
        case _ if request.response_started:
            return  # The deadline and the time limit of an attempt end when a response starts.
        case events.AttemptTimeout():
            yield from request.abort_attempt(timer.attempt, AttemptStatus.TIMEOUT)
        case events.RequestDeadline():
            yield from fail_overdue_request(state, now, request)
    yield from complete_request(state, now, timer.request_id)
