"""The exception that the reducer raises."""

from __future__ import annotations

from collections.abc import Sequence

from llm_router.lifecycle.effects import Effect


class EventError(RuntimeError):
    """The handler of an event failed with an internal error, which is the cause of this exception.

    `effects` are those that the handler returned before. They must be performed all the same, because the
    state has recorded them as done."""

    def __init__(self, effects: Sequence[Effect], cause: Exception) -> None:
        super().__init__(f"the handler of an event failed: {cause!r}")
        self.effects = effects
