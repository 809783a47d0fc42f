"""The exception that the routing policy raises."""

from __future__ import annotations

from collections.abc import Sequence

from llm_router.routing.actions import Action


class DecisionError(Exception):
    """A decision about an event failed with an internal error, which is the cause of this exception.

    `actions` are the policy's other decisions about the event. They must be performed all the same, because
    the policy has recorded them as done."""

    def __init__(self, actions: Sequence[Action]) -> None:
        super().__init__("a decision of the routing policy failed")
        self.actions = actions
