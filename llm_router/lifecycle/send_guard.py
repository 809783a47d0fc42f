"""The last check, once a connection is up, of whether an attempt or a reservation may be written.

The policy chooses where a request goes. Between its choice and the first byte a connection has to come up,
and meanwhile clients disconnect, endpoints drain and time runs out. `write_denial` is evaluated before the
first byte, and once more when the attempt is reported as written, so that a way round it is counted rather
than unseen. Nothing here changes any state."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

from llm_router.lifecycle.attempt import Attempt
from llm_router.lifecycle.effects import OpenAttempt, Reserve
from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.request import Request
from llm_router.lifecycle.state import RouterState
from llm_router.routing.events import EndpointStatus
from llm_router.routing.settings import Idempotency


class Denial(Enum):
    """Why an attempt or a reservation may not be written; the value names it in the log."""

    NOT_NEEDED = "client_gone"  # or the client has its answer, or the prefill of a reservation has ended
    DEADLINE_EXCEEDED = "time_over"
    DEDUPLICATION_WINDOW_OVER = "repeat_window_over"
    ENDPOINT_NOT_READY = "endpoint_drains"  # or no longer listed
    ATTEMPTS_EXHAUSTED = "attempts_used"
    ANOTHER_ATTEMPT_RUNNING = "copy_out"  # and hedged requests are not allowed
    MAY_HAVE_RUN = "may_have_run"  # an earlier attempt may have run, and the class may not be repeated


def check_attempt(state: RouterState, now: timedelta, attempt: OpenAttempt) -> Denial | None:
    """Return why an attempt whose connection is up may not be written now, None if it may."""
    request = state.requests.get(attempt.request_id)
    return write_denial(state, now, request, attempt.attempt, attempt.deadline, attempt.write_deadline)


def check_reserve(state: RouterState, reserve: Reserve) -> Denial | None:
    """Return why a reservation call may not be written now, None if it may."""
    request = state.requests.get(reserve.request_id)
    return reservation_denial(state, request, reserve.attempt, reserve.endpoint.name)


def write_denial(
    state: RouterState,
    now: timedelta,
    request: Request | None,
    index: int,
    deadline: timedelta,
    write_deadline: timedelta | None = None,
) -> Denial | None:
    """Return why a request's attempt of this index may not be written now, None if it may."""
    if request is None or not request.is_pending:
        return Denial.NOT_NEEDED
    if now >= deadline:
        return Denial.DEADLINE_EXCEEDED
    if write_deadline is not None and now >= write_deadline:
        return Denial.DEDUPLICATION_WINDOW_OVER
    attempt = request.attempts[index]
    if not _is_ready(state.endpoints.get(attempt.endpoint_id)):
        return Denial.ENDPOINT_NOT_READY
    if state.settings.max_attempts and index >= state.settings.max_attempts:
        return Denial.ATTEMPTS_EXHAUSTED
    return _repetition_denial(state, request, attempt)


def reservation_denial(state: RouterState, request: Request | None, index: int, name: str) -> Denial | None:
    """Return why a reservation for a prefill may not be made at the named endpoint now, None if it may."""
    if request is None or request.is_closed or not request.attempts[index].is_running:
        return Denial.NOT_NEEDED
    if not _is_ready(state.endpoint_table.find(name)):
        return Denial.ENDPOINT_NOT_READY
    return None


def _is_ready(endpoint: Endpoint | None) -> bool:
    """Return whether an endpoint is listed as ready."""
    return endpoint is not None and endpoint.status is EndpointStatus.READY


def _repetition_denial(state: RouterState, request: Request, attempt: Attempt) -> Denial | None:
    """Return why the other attempts of the request forbid this one, None if they do not."""
    idempotency = state.idempotency_by_class[request.received.class_name]
    others = [each for each in request.attempts if each is not attempt and each.was_written]
    hedging_allowed = state.settings.hedging and idempotency is Idempotency.SAFE
    if not hedging_allowed and any(each.is_running for each in others):
        return Denial.ANOTHER_ATTEMPT_RUNNING
    if idempotency is Idempotency.NONE and any(each.may_have_run for each in others):
        return Denial.MAY_HAVE_RUN
    return None
