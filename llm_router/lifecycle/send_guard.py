"""The one place that decides, at the last moment, whether an attempt may be written now.

The decisions choose where a request goes. Between their choice and the first byte a connection has to come
up, and meanwhile clients leave, endpoints drain and time runs out. `check_write` is asked before the first
byte, and again once it is told as written, so that a path round it is counted rather than unseen."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

from llm_router.lifecycle.effects import OpenAttempt, Reserve
from llm_router.lifecycle.state import Attempt, Request, RouterState
from llm_router.routing.events import EndpointStatus
from llm_router.routing.settings import Idempotency

LATE_ANSWER = timedelta(milliseconds=500)  # after its time, a request that gets its answer is lost


class Denial(Enum):
    """Why an attempt may not be written."""

    CLIENT_GONE = "client_gone"  # or it has its answer, or the prefill that a place is for is over
    TIME_OVER = "time_over"
    REPEAT_WINDOW_OVER = "repeat_window_over"
    ENDPOINT_DRAINS = "endpoint_drains"  # or is listed no more
    ATTEMPTS_USED = "attempts_used"
    COPY_OUT = "copy_out"  # another attempt is out, and copies are not allowed
    MAY_HAVE_RUN = "may_have_run"  # an earlier attempt may have run, and the class may not be repeated


class Invariant(Enum):
    """A rule of the protocol that is checked at run time; broken ones are counted and told."""

    WRITTEN_AGAINST_RULE = "written_against_rule"
    ANSWERED_LATE = "answered_late"


def check_attempt(state: RouterState, now: timedelta, attempt: OpenAttempt) -> Denial | None:
    """Tell why an attempt whose connection is up may not be written now, None if it may. Changes nothing."""
    request = state.requests.get(attempt.request_id)
    return check_write(state, now, request, attempt.attempt, attempt.deadline, attempt.write_deadline)


def check_reserve(state: RouterState, reserve: Reserve) -> Denial | None:
    """Tell why a reservation may not be made now, None if it may. Changes nothing."""
    request = state.requests.get(reserve.request_id)
    return check_reservation(state, request, reserve.attempt, reserve.endpoint.name)


def check_write(
    state: RouterState,
    now: timedelta,
    request: Request | None,
    index: int,
    deadline: timedelta,
    not_after: timedelta | None = None,
) -> Denial | None:
    """Tell why an attempt may not be written now, None if it may. Changes nothing."""
    if request is None or request.closed or request.began:
        return Denial.CLIENT_GONE
    if now >= deadline:
        return Denial.TIME_OVER
    if not_after is not None and now >= not_after:
        return Denial.REPEAT_WINDOW_OVER
    attempt = request.attempts[index]
    listed = state.endpoints.get(attempt.server)
    if listed is None or listed.status is not EndpointStatus.READY:
        return Denial.ENDPOINT_DRAINS
    if state.settings.max_attempts and index >= state.settings.max_attempts:
        return Denial.ATTEMPTS_USED
    return check_others(state, request, attempt)


def check_reservation(state: RouterState, request: Request | None, index: int, name: str) -> Denial | None:
    """Tell why a decode server may not be asked for a place now, None if it may. Changes nothing."""
    if request is None or request.closed or request.attempts[index].over:
        return Denial.CLIENT_GONE
    listed = state.endpoints.get(state.numbers.get(name, -1))
    if listed is None or listed.status is not EndpointStatus.READY:
        return Denial.ENDPOINT_DRAINS
    return None


def check_others(state: RouterState, request: Request, attempt: Attempt) -> Denial | None:
    """Tell whether another attempt of the request forbids this one."""
    effect = state.effects[request.asked.class_name]
    others = [each for each in request.attempts if each is not attempt and each.sent]
    copies = state.settings.hedging and effect is Idempotency.SAFE
    if not copies and any(not each.over for each in others):
        return Denial.COPY_OUT
    if effect is Idempotency.NONE and any(each.may_have_run for each in others):
        return Denial.MAY_HAVE_RUN
    return None
