"""Rules of the protocol that are checked at run time, with the record of their violations."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta
from enum import Enum

from llm_router.lifecycle import effects
from llm_router.lifecycle.attempt import Arrival
from llm_router.lifecycle.kv_lease import LeaseState
from llm_router.lifecycle.request import Request
from llm_router.lifecycle.state import RouterState

MAX_RELEASE_DELAY = timedelta(milliseconds=300)  # that the protocol allows beyond the release time


class Invariant(Enum):
    """A rule of the protocol; the value names it in the log and in the metrics."""

    WRITE_ALLOWED = "written_against_rule"  # an attempt is written only where the send guard allows it
    ANSWERED_IN_TIME = "answered_late"  # a final answer of the router's own comes before the client gives up
    RELEASE_PLANNED = (
        "release_not_planned"  # what may be held has a release due, or an attempt that claims it
    )


def record_violation(
    state: RouterState, invariant: Invariant, request_id: str, detail: str
) -> effects.LogEvent:
    """Count a violation, and return the line of the log that reports it."""
    name = invariant.value
    state.violations[name] += 1
    state.metrics.add(f"violated_{name}")
    fields: dict[str, object] = {
        "rule": name,
        "request": request_id,
        "what": detail,
        "count": state.violations[name],
    }
    return effects.LogEvent("invariant_violated", fields)


def check_release_planned(state: RouterState, now: timedelta, request: Request) -> Iterator[effects.LogEvent]:
    """Check that a release of what may be held for a request is due in time; report a request once.

    An attempt that has reached its endpoint stops the release time: a decode attempt takes what is held, or
    its end makes a release due, and so does the end of a prefill that is known to have arrived."""
    if request.is_release_missing or is_release_planned(now, request):
        return
    request.is_release_missing = True
    detail = f"lease {request.lease.state.name.lower()}: no release is due in time"
    yield record_violation(state, Invariant.RELEASE_PLANNED, request.request_id, detail)
    yield lease_history(request)


def is_release_planned(now: timedelta, request: Request) -> bool:
    """Return whether what may be held for a request has a release due in time, or needs none."""
    lease, schedule = request.lease, request.lease.schedule
    if schedule.release_timeout is None or lease.is_finished or lease.claims or schedule.calls is not None:
        return True
    if any(prefill.arrival is Arrival.ARRIVED for prefill in request.running_prefills):
        return True
    if lease.state is LeaseState.EMPTY and schedule.overdue_at is None:
        return True  # the prefill of its reservations has not been written
    release_at = schedule.release_at if request.may_release(now) else schedule.overdue_at
    return release_at is not None and release_at <= now + schedule.release_timeout + MAX_RELEASE_DELAY


def lease_history(request: Request) -> effects.LogEvent:
    """Return the line of the log with what happened to a request's lease."""
    fields: dict[str, object] = {
        "request": request.request_id,
        "history": request.history.describe(request.accepted_at),
    }
    return effects.LogEvent("lease_history", fields, rate_limited=True)
