"""Handlers of the events that start or end a request."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.final_answers import fail_request, log_disconnect
from llm_router.lifecycle.kv_lease import KvLease
from llm_router.lifecycle.policy_actions import consult_policy
from llm_router.lifecycle.release_schedule import ReleaseSchedule
from llm_router.lifecycle.request import Request, RequestChange
from llm_router.lifecycle.request_completion import complete_request
from llm_router.lifecycle.state import RouterState
from llm_router.lifecycle.units import to_nanoseconds, to_timedelta
from llm_router.routing import actions as routing_actions
from llm_router.routing import events as routing_events
from llm_router.routing.actions import AnswerReason
from llm_router.routing.events import AttemptStatus

# Retry-After time for a request that is rejected because its id or a registry entry is not free yet.
RETRY_AFTER = timedelta(seconds=1)
# Time after the deadline at which the router fails a request that the policy has not ended at the deadline.
BACKSTOP_DELAY = timedelta(milliseconds=5)


def on_request_received(
    state: RouterState, now: timedelta, event: events.RequestReceived
) -> Iterator[effects.Effect]:
    """Accept a request, or answer it at once if its id is in use or its key may have run."""
    immediate_answer = _immediate_answer(state, now, event)
    if immediate_answer is not None:
        state.metrics.add("id_conflict")
        yield _log_conflict(state, event)
        yield immediate_answer
        return
    if event.idempotency_key:
        state.idempotency_registry.start(event.idempotency_key)
    state.requests[event.request_id] = _accepted_request(state, now, event)
    state.metrics.add("received")
    yield effects.ScheduleTimer(
        now + event.time_remaining + BACKSTOP_DELAY, events.RequestDeadline(event.request_id, now)
    )
    yield from consult_policy(state, now, _policy_event(event))
    yield from complete_request(state, now, event.request_id)


def _immediate_answer(
    state: RouterState, now: timedelta, event: events.RequestReceived
) -> effects.SendRejection | effects.SendFailure | None:
    """Return the answer to a request that cannot be accepted, or None if it can."""
    existing = state.requests.get(event.request_id)
    key, registry = event.idempotency_key, state.idempotency_registry
    is_running = existing is not None and not existing.only_lease_remains
    # This comes first, because a rejection states that the request had no effect.
    if is_running or (key and registry.conflicts(key, now)):
        return effects.SendFailure(
            event.request_id, "a request with this id is running or may have run", id_conflict=True
        )
    if existing is not None:
        # Release calls for the earlier request with this id would free the KV state of this one.
        reason = "the KV state of an earlier request with this id is still being released"
        return effects.SendRejection(event.request_id, RETRY_AFTER, reason)
    if key and registry.is_full:
        return effects.SendRejection(
            event.request_id, RETRY_AFTER, "the registry of idempotency keys is full"
        )
    return None


def _log_conflict(state: RouterState, event: events.RequestReceived) -> effects.LogEvent:
    """Return the log line about a request that is answered at once, with the state of the earlier one."""
    existing = state.requests.get(event.request_id)
    earlier = "ended" if existing is None else existing.state.name.lower()
    fields: dict[str, object] = {"request": event.request_id, "earlier": earlier}
    return effects.LogEvent("request_id_conflict", fields, rate_limited=True)


def _accepted_request(state: RouterState, now: timedelta, event: events.RequestReceived) -> Request:
    """Return a new Request for a request that is accepted now."""
    release_timeout = state.settings.release_timeout
    schedule = ReleaseSchedule(None if release_timeout is None else to_timedelta(release_timeout))
    lease = KvLease(schedule)
    return Request(event, now, now + event.time_remaining, lease)


def _policy_event(event: events.RequestReceived) -> routing_events.RequestReceived:
    """Return the event that reports a received request to the policy."""
    return routing_events.RequestReceived(
        request_id=event.request_id,
        class_name=event.class_name,
        prompt_tokens=event.prompt_tokens,
        max_output_tokens=event.max_output_tokens,
        time_remaining=to_nanoseconds(event.time_remaining),
        session=event.session,
        prefix=event.prefix,
        prefix_tokens=event.prefix_tokens,
        tenant=event.tenant,
        is_retry=event.is_retry,
        resumed=event.resumed,
    )


def on_client_disconnected(
    state: RouterState, now: timedelta, event: events.ClientDisconnected
) -> Iterator[effects.Effect]:
    """Close a request whose client has disconnected, and abort its attempts, even one that is responding."""
    request = state.requests.get(event.request_id)
    if request is None:
        return
    was_closed = request.is_closed
    if not was_closed:
        yield from log_disconnect(state, now, request)
    request.change(RequestChange.CLOSED)
    if not was_closed:
        yield from consult_policy(state, now, routing_events.ClientDisconnected(event.request_id))
    yield from request.abort_all_attempts(AttemptStatus.CANCELLED)
    yield from complete_request(state, now, event.request_id)


def fail_overdue_request(state: RouterState, now: timedelta, request: Request) -> Iterator[effects.Effect]:
    """Abort all attempts of a request whose deadline has passed, and fail the request.

    This covers a request that the policy lost track of, and an attempt that hangs and that the policy is not
    allowed to cancel."""
    yield from request.abort_all_attempts(AttemptStatus.TIMEOUT)
    failure = routing_actions.FailRequest(request.request_id, AnswerReason.DEADLINE_EXCEEDED)
    yield from fail_request(state, now, failure)
