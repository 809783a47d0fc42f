"""The subscription to the endpoint list."""

from __future__ import annotations

from llm_router.routing.actions import WatchEndpoints
from llm_router.routing.context import PolicyContext
from llm_router.routing.duration import SECOND

RESUBSCRIBE_DELAY = SECOND  # nanoseconds after a failed call, so that discovery can recover


class EndpointWatch:
    """Subscribes to the endpoint list where the settings demand it."""

    def __init__(self, context: PolicyContext) -> None:
        self.context = context
        self.is_subscribed = False

    def subscribe(self) -> None:
        """Subscribe, unless that was done."""
        if self.context.settings.must_subscribe and not self.is_subscribed:
            self.is_subscribed = True
            self.context.emit(WatchEndpoints())

    def resubscribe_later(self) -> None:
        """Subscribe anew after a failed call to discovery."""
        self.is_subscribed = False
        self.context.set_timer(RESUBSCRIBE_DELAY, self.subscribe)
