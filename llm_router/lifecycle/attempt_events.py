"""Handlers of the events about an attempt, from its first byte to its end."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.attempt import Arrival, Attempt, AttemptChange
from llm_router.lifecycle.invariants import Invariant, record_violation
from llm_router.lifecycle.policy_actions import consult_policy
from llm_router.lifecycle.releases import cancel_release_calls, schedule_release
from llm_router.lifecycle.request import Request, RequestChange
from llm_router.lifecycle.request_completion import complete_request
from llm_router.lifecycle.send_guard import write_denial
from llm_router.lifecycle.state import RouterState
from llm_router.lifecycle.units import to_nanoseconds
from llm_router.routing import events as routing_events
from llm_router.routing.events import AttemptStatus, ConnectionFault

# Whether the final status of an attempt shows that its endpoint answers requests.
# A status that is not listed shows neither that the endpoint answers nor that it does not.
ENDPOINT_ANSWERED = {
    AttemptStatus.OK: True,
    AttemptStatus.PREFILLED: True,
    AttemptStatus.OVERLOADED: True,
    AttemptStatus.ERROR: True,
    AttemptStatus.CONNECT_FAILED: False,
    AttemptStatus.RESET: False,
    AttemptStatus.TIMEOUT: False,
}
ABORTED = frozenset({AttemptStatus.CANCELLED, AttemptStatus.TIMEOUT})
# Only an attempt that was written ends with one of these statuses.
STATUSES_AFTER_WRITE = frozenset(
    {
        AttemptStatus.OK,
        AttemptStatus.PREFILLED,
        AttemptStatus.OVERLOADED,
        AttemptStatus.ERROR,
        AttemptStatus.RESET,
    }
)


def on_attempt_written(
    state: RouterState, now: timedelta, event: events.AttemptWritten
) -> Iterator[effects.Effect]:
    """Record that an attempt is being written and may reach its endpoint from now on."""
    request = state.requests.get(event.request_id)
    if request is None:
        return
    denial = write_denial(state, now, request, event.attempt, request.deadline)
    attempt = request.attempts[event.attempt]
    attempt.change(AttemptChange.WRITTEN)
    request.history.record(now, "written", attempt.endpoint_name)
    if attempt.is_running and attempt.is_prefill:
        request.lease.prefill_written(now)
    elif attempt.is_running:
        request.lease.claims.add(event.attempt)
    if denial is not None:
        yield record_violation(state, Invariant.WRITE_ALLOWED, event.request_id, denial.value)
    yield from schedule_release(now, request)


def on_attempt_unacknowledged(
    state: RouterState, now: timedelta, event: events.AttemptUnacknowledged
) -> Iterator[effects.Effect]:
    """Mark an attempt as missing if the host of its endpoint has not acknowledged its last byte."""
    request = state.requests.get(event.request_id)
    if request is not None:
        yield from mark_attempt_missing(state, now, request, event.attempt)


def mark_attempt_missing(
    state: RouterState, now: timedelta, request: Request, index: int
) -> Iterator[effects.Effect]:
    """Mark an attempt as missing, so that it does not delay a release.

    Do nothing if the attempt has ended, is responding, or is already known to be missing or arrived."""
    attempt = request.attempts[index]
    if not attempt.is_running or attempt.is_responding or attempt.arrival.is_known:
        return
    attempt.arrival = Arrival.MISSING
    request.history.record(now, "missing", attempt.endpoint_name)
    state.endpoint_table.record_contact(attempt.endpoint_id, now, answered=False)
    state.metrics.add("attempt_missing")
    if attempt.is_prefill:
        request.lease.attempt_missing(now)
    yield from complete_request(state, now, request.request_id)


def on_response_started(
    state: RouterState, now: timedelta, event: events.ResponseStarted
) -> Iterator[effects.Effect]:
    """Record that the response to a request has started, after which the deadline does not apply."""
    request = state.requests.get(event.request_id)
    if request is None or request.is_closed:
        return
    attempt = request.attempts[event.attempt]
    attempt.change(AttemptChange.RESPONSE_STARTED)
    request.change(RequestChange.RESPONSE_STARTED)
    request.lease.response_started(now)
    yield from cancel_release_calls(request)
    state.endpoint_table.record_contact(attempt.endpoint_id, now, answered=True)
    elapsed = now - attempt.opened_at
    follows_prefill = any(each.is_prefill for each in request.attempts[: event.attempt])
    state.metrics.add("first_token" if follows_prefill else "first_token_append_prefill", elapsed)
    first_token = routing_events.FirstToken(
        event.request_id, event.attempt, attempt.endpoint_id, to_nanoseconds(elapsed)
    )
    yield from consult_policy(state, now, first_token)


def on_attempt_ended(
    state: RouterState, now: timedelta, event: events.AttemptEnded
) -> Iterator[effects.Effect]:
    """Record the end of an attempt, and report it to the policy."""
    request = state.requests.get(event.request_id)
    if request is None or not request.attempts[event.attempt].is_running:
        return
    attempt = request.attempts[event.attempt]
    had_response = attempt.is_responding
    status = attempt.final_status(event.status)
    attempt.end(status)
    request.history.record(now, status.value, attempt.endpoint_name)
    yield from _record_metrics(state, now, attempt, status)
    if had_response or status is AttemptStatus.OK:
        request.change(RequestChange.CLOSED)
    if attempt.was_written or status in STATUSES_AFTER_WRITE:
        is_silent = status in ABORTED and _is_silent(state, attempt)
        silent_endpoint = attempt.endpoint_id if is_silent else None
        if attempt.is_prefill:
            request.lease.prefill_ended(now, status, silent_endpoint=silent_endpoint)
        elif not had_response:
            request.lease.decode_ended(event.attempt, now, status, silent_endpoint=silent_endpoint)
        yield from cancel_release_calls(request)
    _record_contact(state, now, attempt, status, event.connection_fault)
    yield from consult_policy(state, now, _policy_event(event, now, request, attempt, status))
    yield from complete_request(state, now, event.request_id)


def _is_silent(state: RouterState, attempt: Attempt) -> bool:
    """Return whether an endpoint has answered no call since an attempt to it began."""
    contact = state.endpoint_table.last_contacts.get(attempt.endpoint_id)
    return contact is None or not contact.answered or contact.at < attempt.opened_at


def _record_metrics(
    state: RouterState, now: timedelta, attempt: Attempt, status: AttemptStatus
) -> Iterator[effects.Effect]:
    """Count the end of an attempt, and log the metrics of an interval that has ended."""
    phase = "prefill" if attempt.is_prefill else "decode"
    state.metrics.add(f"{phase}_{status.value}", now - attempt.opened_at)
    fields = state.metrics.end_interval(now)
    if fields is not None:
        yield effects.LogEvent("interval_metrics", fields)


def _record_contact(
    state: RouterState, now: timedelta, attempt: Attempt, status: AttemptStatus, fault: ConnectionFault
) -> None:
    """Record whether an endpoint answered, if the final status of its attempt shows that.

    A connect that failed on the router's own host shows nothing about the endpoint."""
    failed_locally = status is AttemptStatus.CONNECT_FAILED and fault is ConnectionFault.LOCAL
    if status in ENDPOINT_ANSWERED and not failed_locally:
        state.endpoint_table.record_contact(attempt.endpoint_id, now, answered=ENDPOINT_ANSWERED[status])


def _policy_event(
    event: events.AttemptEnded, now: timedelta, request: Request, attempt: Attempt, status: AttemptStatus
) -> routing_events.AttemptEnded:
    """Return the event that reports the end of an attempt to the policy."""
    return routing_events.AttemptEnded(
        request_id=event.request_id,
        attempt=event.attempt,
        endpoint_id=attempt.endpoint_id,
        status=status,
        elapsed=to_nanoseconds(now - attempt.opened_at),
        request_closed=request.is_closed,
        cached_tokens=event.cached_tokens,
        state_missing=event.state_missing,
        connection_fault=event.connection_fault,
        load_report=event.load_report,
    )
