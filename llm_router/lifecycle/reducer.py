"""The single function through which all events change the state of a router."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.attempt_events import (
    on_attempt_ended,
    on_attempt_unacknowledged,
    on_attempt_written,
    on_response_started,
)
from llm_router.lifecycle.endpoint_events import on_endpoint_list_received, on_load_report_received
from llm_router.lifecycle.errors import EventError
from llm_router.lifecycle.request_events import on_client_disconnected, on_request_received
from llm_router.lifecycle.reservation_events import on_release_call_ended, on_reservation_ended
from llm_router.lifecycle.state import RouterState as RouterState  # re-exported for the callers of `reduce`
from llm_router.lifecycle.timer_events import on_timer_fired

HANDLERS: dict[type, Callable[[RouterState, timedelta, Any], Iterable[effects.Effect]]] = {
    events.RequestReceived: on_request_received,
    events.ClientDisconnected: on_client_disconnected,
    events.AttemptWritten: on_attempt_written,
    events.AttemptUnacknowledged: on_attempt_unacknowledged,
    events.ResponseStarted: on_response_started,
    events.AttemptEnded: on_attempt_ended,
    events.ReservationEnded: on_reservation_ended,
    events.ReleaseCallEnded: on_release_call_ended,
    events.TimerFired: on_timer_fired,
    events.EndpointListReceived: on_endpoint_list_received,
    events.LoadReportReceived: on_load_report_received,
}


def reduce(state: RouterState, now: timedelta, event: events.Event) -> list[effects.Effect]:
    """Apply one event to the state, and return the effects to perform, in order.

    Raise EventError after an internal error; its effects must be performed as well."""
    resulting: list[effects.Effect] = []
    try:
        # A comprehension or `extend` would lose the effects before an error.
        for effect in HANDLERS[type(event)](state, now, event):
            resulting.append(effect)  # noqa: PERF402
    except Exception as error:
        raise EventError(resulting, error) from error
    return resulting
