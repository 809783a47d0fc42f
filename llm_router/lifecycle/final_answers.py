"""The final answers that the router itself gives: rejections and failures."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from llm_router.lifecycle import effects
from llm_router.lifecycle.invariants import Invariant, record_violation
from llm_router.lifecycle.request import Request, RequestChange
from llm_router.lifecycle.state import RouterState
from llm_router.lifecycle.units import to_timedelta
from llm_router.routing import actions as routing_actions
from llm_router.routing.actions import AnswerReason

# A final answer this long after the deadline counts as late, because the client has given up by then.
MAX_ANSWER_DELAY = timedelta(milliseconds=500)
MILLISECOND = timedelta(milliseconds=1)


def reject_request(
    state: RouterState, now: timedelta, action: routing_actions.RejectRequest
) -> Iterator[effects.Effect]:
    """Answer a request with a rejection, unless it has another answer."""
    retry_after = to_timedelta(action.retry_after)
    answer = effects.SendRejection(action.request_id, retry_after, action.reason.value)
    yield from _answer(state, now, action, answer, metric="rejected", log_event="request_rejected")


def fail_request(
    state: RouterState, now: timedelta, action: routing_actions.FailRequest
) -> Iterator[effects.Effect]:
    """Answer a request with a failure, unless it has another answer."""
    answer = effects.SendFailure(action.request_id, action.reason.value)
    yield from _answer(state, now, action, answer, metric="failed", log_event="request_failed")


def _answer(
    state: RouterState,
    now: timedelta,
    action: routing_actions.RejectRequest | routing_actions.FailRequest,
    answer: effects.SendRejection | effects.SendFailure,
    *,
    metric: str,
    log_event: str,
) -> Iterator[effects.Effect]:
    """Close a request and send its final answer, and count and log it, unless it has another answer."""
    request = state.requests.get(action.request_id)
    if request is None or not request.is_pending:
        return
    request.change(RequestChange.CLOSED)
    state.metrics.add(metric, now - request.accepted_at)
    yield from _log_answer(state, now, request, log_event, action.reason)
    yield answer


def log_disconnect(state: RouterState, now: timedelta, request: Request) -> Iterator[effects.LogEvent]:
    """Log that the client of an open request has left, with the request's age and attempts, and count it."""
    age = now - request.accepted_at
    state.metrics.add("disconnected", age)
    fields: dict[str, object] = {
        "request": request.request_id,
        "state": request.state.name.lower(),
        "age_ms": round(age / MILLISECOND),
        "attempts": _outcomes(request),
    }
    yield effects.LogEvent("client_disconnected", fields, rate_limited=True)


def _outcomes(request: Request) -> list[str]:
    """Return the endpoint and the outcome of each attempt of a request, for the log."""
    return [f"{each.endpoint_name} {each.outcome}" for each in request.attempts]


def _log_answer(
    state: RouterState, now: timedelta, request: Request, log_event: str, reason: AnswerReason
) -> Iterator[effects.Effect]:
    """Log a final answer with its reason and the attempts of its request, and count the reason."""
    state.metrics.add(f"ended_{reason.value}")
    fields: dict[str, object] = {
        "request": request.request_id,
        "reason": reason.value,
        "attempts": _outcomes(request),
    }
    yield effects.LogEvent(log_event, fields, rate_limited=True)
    if now > request.deadline + MAX_ANSWER_DELAY:
        delay = str(now - request.deadline)
        yield record_violation(state, Invariant.ANSWERED_IN_TIME, request.request_id, delay)
