"""The calls of one release: endpoints are asked, more of them with each try, until one takes it."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from llm_router.lifecycle.endpoint import Endpoint

RELEASE_TRY = timedelta(milliseconds=70)  # then others are asked as well
SLOW_TRY = timedelta(milliseconds=250)  # the same once the first tries are over
ASKED_AT_ONCE = (1, 2, 4, 4, 4)  # endpoints asked with each of the first tries, one with each further try
NEXT_MOST = 8  # endpoints asked in a row within a try, each as the one before has refused
TRIES_MOST = 25  # in all: some five seconds


@dataclass(slots=True, frozen=True)
class ReleaseCall:
    """A call that is out."""

    endpoint: Endpoint
    begun: timedelta


@dataclass(slots=True)
class ReleaseCalls:
    """Which endpoints were asked for a release, and which come next.

    Guards against endpoints that are silent, refuse connections, or cannot be reached for a while."""

    next_try: timedelta
    tries: int = 0
    waiting: deque[Endpoint] = field(default_factory=deque)  # not yet asked in this pass
    out: dict[int, ReleaseCall] = field(default_factory=dict)
    next_left: int = NEXT_MOST

    @property
    def exhausted(self) -> bool:
        """Tell whether there were tries enough."""
        return self.tries >= TRIES_MOST

    def try_again(
        self, now: timedelta, order: Sequence[Endpoint], first_number: int
    ) -> dict[int, ReleaseCall]:
        """Begin the calls of another try, numbered from a number on; `order` is for a new pass."""
        count = ASKED_AT_ONCE[self.tries] if self.tries < len(ASKED_AT_ONCE) else 1
        self.next_try = now + (RELEASE_TRY if self.tries < len(ASKED_AT_ONCE) else SLOW_TRY)
        self.tries += 1
        self.next_left = NEXT_MOST
        if not self.waiting:
            self.waiting.extend(order)
        return self.begin(now, count, first_number)

    def ask_next(self, now: timedelta, number: int) -> dict[int, ReleaseCall]:
        """Begin a call in place of one that has failed, if none is out and this try allows another.

        Guards against a flood of calls where all endpoints refuse, or no socket is left."""
        if self.out or not self.next_left:
            return {}
        self.next_left -= 1
        return self.begin(now, 1, number)

    def begin(self, now: timedelta, count: int, first_number: int) -> dict[int, ReleaseCall]:
        """Begin calls to the endpoints that come next in this pass."""
        count = min(count, len(self.waiting))
        begun = {first_number + n: ReleaseCall(self.waiting.popleft(), now) for n in range(count)}
        self.out.update(begun)
        return begun
