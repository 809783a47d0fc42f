"""The subscription to the endpoint list."""

from __future__ import annotations

from llm_router.routing.actions import WatchEndpoints
from llm_router.routing.context import PolicyContext
from llm_router.routing.duration import SECOND

RESUBSCRIBE_DELAY = SECOND  # nanoseconds after a failed discovery call, so that discovery can recover


class EndpointWatch:
    """The subscription to the endpoint list, used if the settings require one."""

    def __init__(self, context: PolicyContext) -> None:
        self.context = context
        self.is_subscribed = False

    def subscribe(self) -> None:
        """Start the watch of the endpoint list, unless it is already running or the settings need none."""
        if self.context.settings.must_subscribe and not self.is_subscribed:
            self.is_subscribed = True
            self.context.emit(WatchEndpoints())

    def resubscribe_later(self) -> None:
        """Set a timer that repeats the subscription after a failed call to discovery."""
        self.is_subscribed = False
        self.context.set_timer(RESUBSCRIBE_DELAY, self.subscribe)
