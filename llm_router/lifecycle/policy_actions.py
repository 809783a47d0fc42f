"""Conversion of the actions that the routing policy decides on into effects."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Generator, Iterable, Iterator, Sequence
from datetime import timedelta
from typing import Any

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.attempt import Attempt
from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.final_answers import fail_request, reject_request
from llm_router.lifecycle.releases import advance_release
from llm_router.lifecycle.request import Request
from llm_router.lifecycle.state import RouterState
from llm_router.lifecycle.units import to_nanoseconds, to_timedelta
from llm_router.routing import actions as routing_actions
from llm_router.routing import events as routing_events
from llm_router.routing.errors import DecisionError
from llm_router.routing.events import AttemptStatus
from llm_router.routing.settings import Role


def consult_policy(
    state: RouterState, now: timedelta, event: routing_events.Event
) -> Iterator[effects.Effect]:
    """Feed an event to the policy, and perform the actions that the policy decides on.

    An attempt that cannot be opened ends at once, and its end is fed to the policy as another event."""
    pending: deque[routing_events.Event] = deque([event])
    while pending:
        actions = yield from _decide(state, now, pending.popleft())
        for action in actions:
            if isinstance(action, routing_actions.StartAttempt):
                ended = yield from _start_attempt(state, now, action)
                if ended is not None:
                    pending.append(ended)
            elif handler := ACTIONS.get(type(action)):
                yield from handler(state, now, action)


def _decide(
    state: RouterState, now: timedelta, event: routing_events.Event
) -> Generator[effects.Effect, None, Sequence[routing_actions.Action]]:
    """Return the policy's actions for an event; log an internal error of a decision."""
    try:
        return state.policy.handle(to_nanoseconds(now), event)
    except DecisionError as failure:
        fields: dict[str, object] = {"decision": type(event).__name__, "error": repr(failure.__cause__)}
        yield effects.LogEvent("decision_failed", fields, rate_limited=True)
        return failure.actions


def _start_attempt(
    state: RouterState, now: timedelta, action: routing_actions.StartAttempt
) -> Generator[effects.Effect, None, routing_events.AttemptEnded | None]:
    """Open an attempt, or return the event of its end if it cannot be opened."""
    request = state.requests.get(action.request_id)
    if request is None:
        return None
    endpoint = state.endpoints.get(action.endpoint_id)
    is_prefill = endpoint is not None and state.endpoint_table.role(endpoint) is Role.PREFILL
    attempt = Attempt(action.endpoint_id, is_prefill, now, endpoint)
    request.attempts.append(attempt)
    if not _may_start_attempt(state, now, request):
        return _end_at_once(request, attempt, AttemptStatus.NOT_SENT)
    if endpoint is None:
        return _end_at_once(request, attempt, AttemptStatus.CONNECT_FAILED)
    yield from _open_attempt(now, request, endpoint, action)
    return None


def _may_start_attempt(state: RouterState, now: timedelta, request: Request) -> bool:
    """Return whether the deadline and the number of attempts allow a request's latest attempt."""
    max_attempts = state.settings.max_attempts
    if max_attempts and len(request.attempts) > max_attempts:
        return False
    return request.is_pending and now < request.deadline


def _end_at_once(request: Request, attempt: Attempt, status: AttemptStatus) -> routing_events.AttemptEnded:
    """End the latest attempt of a request, which was not opened, and return the event for the policy."""
    attempt.end(status)
    index = len(request.attempts) - 1
    return routing_events.AttemptEnded(
        request.request_id, index, attempt.endpoint_id, status, elapsed=0, request_closed=request.is_closed
    )


def _open_attempt(
    now: timedelta, request: Request, endpoint: Endpoint, action: routing_actions.StartAttempt
) -> Iterator[effects.Effect]:
    """Open the latest attempt of a request, and set a timer if the policy limits its duration."""
    index = len(request.attempts) - 1
    is_prefill = request.attempts[index].is_prefill
    deadline = request.deadline
    timeout_at = now + to_timedelta(action.timeout)
    if action.timeout and timeout_at < deadline:
        deadline = timeout_at
        timeout = events.AttemptTimeout(request.request_id, request.accepted_at, index)
        yield effects.ScheduleTimer(timeout_at, timeout)
    yield effects.OpenAttempt(
        request.request_id,
        index,
        endpoint,
        deadline,
        is_prefill,
        connect_timeout=None if is_prefill else request.lease.connect_timeout(now),
        write_deadline=None if action.write_deadline is None else to_timedelta(action.write_deadline),
        awaits_release=is_prefill and request.lease.is_release_unconfirmed,
    )


def _cancel_attempt(
    state: RouterState, _now: timedelta, action: routing_actions.CancelAttempt
) -> Iterator[effects.Effect]:
    """Abort an attempt, unless the response to it has started."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.attempts[action.attempt].is_responding:
        yield from request.abort_attempt(action.attempt, AttemptStatus.CANCELLED)


def _reserve(state: RouterState, now: timedelta, action: routing_actions.Reserve) -> Iterator[effects.Effect]:
    """Make a reservation for the latest attempt of a request while the attempt is running."""
    request = state.requests.get(action.request_id)
    endpoint = state.endpoints.get(action.endpoint_id)
    if request is None or endpoint is None:
        return
    if not request.attempts or not request.attempts[-1].is_running:
        return
    request.lease.reservation_sent(now, prefill_written=request.attempts[-1].was_written)
    request.reservation_endpoint_id = action.endpoint_id
    yield effects.Reserve(action.request_id, len(request.attempts) - 1, endpoint)


def _release(state: RouterState, now: timedelta, action: routing_actions.Release) -> Iterator[effects.Effect]:
    """Release the KV state and reservations of a request.

    If a response has started, do nothing, because the start of the response has already freed them."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.response_started:
        request.lease.abandon(now)
        yield from advance_release(state, now, request)


def _probe_load(
    state: RouterState, _now: timedelta, action: routing_actions.ProbeLoad
) -> Iterator[effects.Effect]:
    """Fetch the load report of an endpoint, if the endpoint is listed."""
    endpoint = state.endpoints.get(action.endpoint_id)
    if endpoint is not None:
        yield effects.FetchLoadReport(action.endpoint_id, endpoint)


def _set_timer(
    _state: RouterState, _now: timedelta, action: routing_actions.SetTimer
) -> Iterator[effects.Effect]:
    """Set a timer for the policy."""
    yield effects.ScheduleTimer(to_timedelta(action.at), action.timer_id)


def _log_line(
    _state: RouterState, _now: timedelta, action: routing_actions.LogLine
) -> Iterator[effects.Effect]:
    """Log a line for the policy."""
    yield effects.LogEvent("policy", {"text": action.text})


# The handlers by type of action. Only the simulator handles the other actions.
ACTIONS: dict[type, Callable[[RouterState, timedelta, Any], Iterable[effects.Effect]]] = {
    routing_actions.Reserve: _reserve,
    routing_actions.ProbeLoad: _probe_load,
    routing_actions.Release: _release,
    routing_actions.CancelAttempt: _cancel_attempt,
    routing_actions.RejectRequest: reject_request,
    routing_actions.FailRequest: fail_request,
    routing_actions.SetTimer: _set_timer,
    routing_actions.LogLine: _log_line,
}
