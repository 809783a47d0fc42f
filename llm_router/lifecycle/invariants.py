"""Rules of the protocol that are checked at run time, with the record of their violations."""

from __future__ import annotations

from enum import Enum

from llm_router.lifecycle import effects
from llm_router.lifecycle.state import RouterState


class Invariant(Enum):
    """A rule of the protocol; the value names it in the log and in the metrics."""

    WRITE_ALLOWED = "written_against_rule"  # an attempt is written only where the send guard allows it
    ANSWERED_IN_TIME = "answered_late"  # a final answer of the router's own comes before the client gives up


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
