"""The last check, on an established connection, of whether an attempt or a reservation may be written.

The policy chooses the endpoint for a request. Before the first byte is written, a connection must be set up.
In the meantime the client may disconnect, the endpoint may drain, or the deadline may pass. The router calls
`write_denial` before the first byte and again when the attempt is reported as written, so that an attempt
that bypassed the check is counted as a violation. The functions of this module change no state."""

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
    """A reason why an attempt or a reservation call must not be written; its value is its name in the log."""

    # The request is closed or has a response, or the prefill of the reservation has ended.
    NOT_NEEDED = "client_gone"
    # The deadline of the attempt has passed.
    DEADLINE_EXCEEDED = "time_over"
    # The deduplication window is over, so endpoints would run a repeated request again.
    DEDUPLICATION_WINDOW_OVER = "repeat_window_over"
    # The endpoint is draining or not listed.
    ENDPOINT_NOT_READY = "endpoint_drains"
    # The request has used the maximum number of attempts.
    ATTEMPTS_EXHAUSTED = "attempts_used"
    # Another attempt of the request is running, and hedged requests are not allowed.
    ANOTHER_ATTEMPT_RUNNING = "copy_out"
    # A previous attempt may have run, and requests of the class must not be repeated.
    MAY_HAVE_RUN = "may_have_run"


def check_attempt(state: RouterState, now: timedelta, attempt: OpenAttempt) -> Denial | None:
    """Return why an attempt must not be written to its established connection now, or None if it may."""
    request = state.requests.get(attempt.request_id)
    return write_denial(state, now, request, attempt.attempt, attempt.deadline, attempt.write_deadline)


def check_reserve(state: RouterState, reserve: Reserve) -> Denial | None:
    """Return why a reservation call must not be written now, or None if it may."""
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
    """Return why the attempt with this index must not be written now, or None if it may."""
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
    """Return why no reservation may be made at the named endpoint now, or None if one may."""
    if request is None or request.is_closed or not request.attempts[index].is_running:
        return Denial.NOT_NEEDED
    if not _is_ready(state.endpoint_table.find(name)):
        return Denial.ENDPOINT_NOT_READY
    return None


def _is_ready(endpoint: Endpoint | None) -> bool:
    """Return whether an endpoint is listed with the status READY."""
    return endpoint is not None and endpoint.status is EndpointStatus.READY


def _repetition_denial(state: RouterState, request: Request, attempt: Attempt) -> Denial | None:
    """Return why the other attempts of a request forbid this attempt, or None if they allow it."""
    idempotency = state.idempotency_by_class[request.received.class_name]
    others = [each for each in request.attempts if each is not attempt and each.was_written]
    hedging_allowed = state.settings.hedging and idempotency is Idempotency.SAFE
    if not hedging_allowed and any(each.is_running for each in others):
        return Denial.ANOTHER_ATTEMPT_RUNNING
    if idempotency is Idempotency.NONE and any(each.may_have_run for each in others):
        return Denial.MAY_HAVE_RUN
    return None
