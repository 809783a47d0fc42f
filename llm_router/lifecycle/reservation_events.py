"""Handlers of the events about reservation calls and release calls."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.attempt import Arrival
from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.policy_actions import consult_policy
from llm_router.lifecycle.releases import record_release_answer
from llm_router.lifecycle.request import Request
from llm_router.lifecycle.request_completion import complete_request
from llm_router.lifecycle.send_guard import reservation_denial
from llm_router.lifecycle.state import RouterState
from llm_router.routing import events as routing_events

# Time limit for the answer of a prefill that a decode endpoint has twice reported as unknown.
# If the answer does not come within this time, the prefill counts as missing.
ARRIVAL_GRACE = timedelta(milliseconds=20)
# Whether a reservation was made, for the outcomes that show it. The policy gets only these outcomes.
RESERVATION_MADE = {
    ReservationOutcome.RESERVED: True,
    ReservationOutcome.REJECTED: False,
    ReservationOutcome.NOT_MADE: False,
}
# Only an endpoint that knows the prefill gives these outcomes, so they show that the prefill has arrived.
# NOT_MADE is not among them, because a call that was never written shows nothing.
PREFILL_KNOWN = frozenset({ReservationOutcome.RESERVED, ReservationOutcome.REJECTED})


def on_reservation_ended(
    state: RouterState, now: timedelta, event: events.ReservationEnded
) -> Iterator[effects.Effect]:
    """Record the outcome of a reservation call, and report it to the policy while the prefill runs.

    A reservation that is made after the prefill has ended is released."""
    request = state.requests.get(event.request_id)
    if request is None:
        return
    request.lease.reservation_ended(now, event.outcome)
    request.history.record(now, event.outcome.value)
    state.metrics.add(event.outcome.value)
    attempt = request.attempts[event.attempt]
    if event.outcome in PREFILL_KNOWN:
        attempt.arrival = Arrival.ARRIVED
    elif event.outcome is ReservationOutcome.UNKNOWN:
        yield from _check_arrival(state, now, request, event.attempt)
    if event.outcome in RESERVATION_MADE and attempt.is_running:
        made = RESERVATION_MADE[event.outcome]
        result = routing_events.ReservationResult(event.request_id, event.attempt, attempt.endpoint_id, made)
        yield from consult_policy(state, now, result)
    yield from complete_request(state, now, event.request_id)


def _check_arrival(
    state: RouterState, now: timedelta, request: Request, index: int
) -> Iterator[effects.Effect]:
    """Check whether a prefill has arrived, after a decode endpoint answered that the prefill is unknown.

    The first time, repeat the reservation call, because it may have overtaken the prefill. The second time,
    set a timer after which the prefill counts as missing unless it is answered."""
    attempt = request.attempts[index]
    if not attempt.is_running or attempt.arrival.is_known:
        return
    if attempt.arrival is Arrival.SUSPECTED_MISSING:
        arrival_timeout = events.ArrivalTimer(request.request_id, request.accepted_at, index)
        yield effects.ScheduleTimer(now + ARRIVAL_GRACE, arrival_timeout)
        return
    if request.reservation_endpoint_id is None:
        return
    endpoint = state.endpoints.get(request.reservation_endpoint_id)
    if endpoint is None or reservation_denial(state, request, index, endpoint.name) is not None:
        return
    attempt.arrival = Arrival.SUSPECTED_MISSING
    request.lease.reservation_sent(now, prefill_written=attempt.was_written)
    yield effects.Reserve(request.request_id, index, endpoint)


def on_release_call_ended(
    state: RouterState, now: timedelta, event: events.ReleaseCallEnded
) -> Iterator[effects.Effect]:
    """Record the result of a release call, unless it belongs to an earlier request with the same id."""
    request = state.requests.get(event.request_id)
    if request is not None and request.accepted_at == event.accepted_at:
        yield from record_release_answer(state, now, request, event)
        yield from complete_request(state, now, event.request_id)
