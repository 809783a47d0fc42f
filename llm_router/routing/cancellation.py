"""Cancels attempts."""

from __future__ import annotations

from collections.abc import Iterable

from llm_router.routing.actions import CancelAttempt
from llm_router.routing.context import PolicyContext
from llm_router.routing.tracked_request import Attempt


def cancel_attempts(context: PolicyContext, attempts: Iterable[Attempt]) -> None:
    """Cancel those attempts that wait for their first token, where the settings allow it."""
    if not context.settings.may_cancel:
        return
    for attempt in attempts:
        if attempt.is_waiting:
            context.emit(CancelAttempt(attempt.request.request_id, attempt.index))
