"""The final answers of the router's own: rejection or failure."""

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

MAX_ANSWER_DELAY = timedelta(milliseconds=500)  # a request answered so long after its deadline is lost


def reject_request(
    state: RouterState, now: timedelta, action: routing_actions.RejectRequest
) -> Iterator[effects.Effect]:
    """Give a request the final answer that it is rejected, unless it is closed."""
    retry_after = to_timedelta(action.retry_after)
    answer = effects.SendRejection(action.request_id, retry_after, action.reason.value)
    yield from _answer(state, now, action, answer, metric="rejected", log_event="request_rejected")


def fail_request(
    state: RouterState, now: timedelta, action: routing_actions.FailRequest
) -> Iterator[effects.Effect]:
    """Give a request the final answer that it failed, unless it is closed."""
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
    """Close a request with a final answer, unless it is closed; count and log it."""
    request = state.requests.get(action.request_id)
    if request is None or request.is_closed:
        return
    request.change(RequestChange.CLOSED)
    state.metrics.add(metric, now - request.accepted_at)
    yield from _log_answer(state, now, request, log_event, action.reason)
    yield answer


def _log_answer(
    state: RouterState, now: timedelta, request: Request, log_event: str, reason: AnswerReason
) -> Iterator[effects.Effect]:
    """Log and count the reason of an answer, with the attempts before it."""
    state.metrics.add(f"ended_{reason.value}")
    attempts = [f"{each.endpoint_name} {each.outcome}" for each in request.attempts]
    fields: dict[str, object] = {"request": request.request_id, "reason": reason.value, "attempts": attempts}
    yield effects.LogEvent(log_event, fields, rate_limited=True)
    if now > request.deadline + MAX_ANSWER_DELAY:
        delay = str(now - request.deadline)
        yield record_violation(state, Invariant.ANSWERED_IN_TIME, request.request_id, delay)
