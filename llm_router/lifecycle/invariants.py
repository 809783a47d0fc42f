"""Protocol rules that are checked at run time, and the logging of their violations."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta
from enum import Enum

from llm_router.lifecycle import effects
from llm_router.lifecycle.attempt import Arrival
from llm_router.lifecycle.kv_lease import LeaseState
from llm_router.lifecycle.request import Request
from llm_router.lifecycle.state import RouterState

# The protocol allows KV state and reservations to stay unclaimed this long beyond the release time.
MAX_RELEASE_DELAY = timedelta(milliseconds=300)


class Invariant(Enum):
    """A rule of the protocol; its value names violations of the rule in the log and in the metrics."""

    # An attempt is written only if the send guard allows it.
    WRITE_ALLOWED = "written_against_rule"
    # The router rejects or fails a request in time, before its client gives up.
    ANSWERED_IN_TIME = "answered_late"
    # KV state and reservations have a planned release, or a running attempt that claims them.
    RELEASE_PLANNED = "release_not_planned"


def record_violation(
    state: RouterState, invariant: Invariant, request_id: str, detail: str
) -> effects.LogEvent:
    """Count a violation, and return the log event that reports it."""
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
    """Check that the KV state and reservations of a request are released in time.

    At most one violation is reported for each request.

    An attempt that has reached its endpoint stops the release time. A decode attempt consumes the KV state,
    or a release becomes due when the attempt ends. A release also becomes due when a prefill ends that is
    known to have arrived."""
    if request.is_release_missing or is_release_planned(now, request):
        return
    request.is_release_missing = True
    detail = f"lease {request.lease.state.name.lower()}: no release is due within the release time"
    yield record_violation(state, Invariant.RELEASE_PLANNED, request.request_id, detail)
    yield lease_history(request)


def is_release_planned(now: timedelta, request: Request) -> bool:
    """Return whether a release of a request's resources is due in time or is not needed now."""
    lease, schedule = request.lease, request.lease.schedule
    if schedule.release_timeout is None or lease.is_finished or lease.claims or schedule.calls is not None:
        return True
    if any(prefill.arrival is Arrival.ARRIVED for prefill in request.running_prefills):
        return True
    if lease.state is LeaseState.EMPTY and schedule.overdue_at is None:
        return True  # Reservation calls wait until their prefill is written.
    release_at = schedule.release_at if request.may_release(now) else schedule.overdue_at
    return release_at is not None and release_at <= now + schedule.release_timeout + MAX_RELEASE_DELAY


def lease_history(request: Request) -> effects.LogEvent:
    """Return the log event with the history of a request's KV lease."""
    fields: dict[str, object] = {
        "request": request.request_id,
        "history": request.history.describe(request.accepted_at),
    }
    return effects.LogEvent("lease_history", fields, rate_limited=True)
