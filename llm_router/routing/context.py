"""The state that all parts of the routing policy share."""

from __future__ import annotations

from random import Random

from llm_router.routing.actions import Action, SetTimer
from llm_router.routing.settings import Settings
from llm_router.routing.timers import TimerCallback, Timers


class PolicyContext:
    """The settings, the clock, the random generator, the pending timers and the actions of the current event.

    Every part of the policy may read this state. `now` is in nanoseconds. `actions` keeps the order in which
    the parts emit them. The order of random draws is part of the behaviour, so that the same events with the
    same seed lead to the same actions. `first_error` is the first internal error during the current event."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.first_error: Exception | None = None
        self.timers = Timers()

    def start_event(self, now: int) -> None:
        """Set the clock to `now`, and clear the list of actions and the error."""
        self.now = now
        self.actions = []
        self.first_error = None

    def record_error(self, error: Exception) -> None:
        """Record an internal error of a decision; the decisions about other requests continue."""
        self.first_error = self.first_error or error

    def emit(self, action: Action) -> None:
        """Append an action to the actions of the current event."""
        self.actions.append(action)

    def set_timer(self, delay: int, callback: TimerCallback) -> None:
        """Run a callback in `delay` nanoseconds and then advance the request that it returns, if any."""
        self.emit(SetTimer(self.now + delay, self.timers.add(callback)))
