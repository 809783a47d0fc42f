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
    same seed lead to the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.timers = Timers()

    def start_event(self, now: int) -> None:
        """Set the clock to `now` and clear the list of actions."""
        self.now = now
        self.actions = []

    def emit(self, action: Action) -> None:
        """Append an action to the actions of the current event."""
        self.actions.append(action)

    def set_timer(self, delay: int, callback: TimerCallback) -> None:
        """Run a callback in `delay` nanoseconds and then advance the request that it returns, if any."""
        self.emit(SetTimer(self.now + delay, self.timers.add(callback)))
