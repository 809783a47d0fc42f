"""What all parts of the policy share while an event is handled."""

from __future__ import annotations

from random import Random

from llm_router.routing.actions import Action, SetTimer
from llm_router.routing.settings import Settings
from llm_router.routing.timers import TimerCallback, Timers


class PolicyContext:
    """The settings, the clock, the random generator, the pending timers and the actions of the current event.

    This is state of the policy, which every part may read. `now` is in nanoseconds; `actions` keeps the order
    in which the parts called for them. The order of random draws is part of the behaviour: the same events
    with the same seed lead to the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.timers = Timers()

    def start_event(self, now: int) -> None:
        """Set the clock and start an empty list of actions."""
        self.now = now
        self.actions = []

    def emit(self, action: Action) -> None:
        """Append an action to those of the current event."""
        self.actions.append(action)

    def set_timer(self, delay: int, callback: TimerCallback) -> None:
        """Call back in `delay` nanoseconds; the request that the callback returns is then advanced."""
        self.emit(SetTimer(self.now + delay, self.timers.add(callback)))
