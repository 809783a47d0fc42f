"""Cancels attempts that have not returned a token."""

from __future__ import annotations

from collections.abc import Iterable

from llm_router.routing.actions import CancelAttempt
from llm_router.routing.context import PolicyContext
from llm_router.routing.tracked_request import Attempt


def cancel_attempts(context: PolicyContext, attempts: Iterable[Attempt]) -> None:
    """Cancel the attempts that still wait for their first token, if the settings allow cancellation."""
    if not context.settings.may_cancel:
        return
    for attempt in attempts:
        if attempt.is_waiting:
            context.emit(CancelAttempt(attempt.request.request_id, attempt.index))
