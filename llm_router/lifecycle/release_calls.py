"""The calls of one release, made in rounds until an endpoint acknowledges one."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from llm_router.lifecycle.endpoint import Endpoint

CALLS_PER_ROUND = (1, 2, 4, 4, 4)  # calls of each of the first rounds; each further round makes one
ROUND_INTERVAL = timedelta(milliseconds=70)  # after one of the first rounds, other endpoints are called too
LATER_ROUND_INTERVAL = timedelta(milliseconds=250)  # the same once the first rounds are over
MAX_FOLLOW_UPS = 8  # calls in a row within a round, each in place of one that has failed
MAX_ROUNDS = 25  # in all: some five seconds


@dataclass(slots=True, frozen=True)
class ReleaseCall:
    """A call that has not ended."""

    endpoint: Endpoint
    started_at: timedelta


@dataclass(slots=True)
class ReleaseCalls:
    """Which endpoints were called for a release, and which come next.

    Several are called as some may be silent, refuse connections, or be out of reach for a while."""

    next_round_at: timedelta
    rounds: int = 0
    remaining: deque[Endpoint] = field(default_factory=deque)  # not yet called in this pass
    running: dict[int, ReleaseCall] = field(default_factory=dict)  # by call number
    follow_ups_left: int = MAX_FOLLOW_UPS  # in this round

    @property
    def is_exhausted(self) -> bool:
        """Whether all rounds have been made."""
        return self.rounds >= MAX_ROUNDS

    def start_round(
        self, now: timedelta, order: Sequence[Endpoint], first_number: int
    ) -> dict[int, ReleaseCall]:
        """Start the calls of the next round and return them by number, counted up from `first_number`.

        `order` is the endpoints to call, used if all of the pass before were called."""
        is_early = self.rounds < len(CALLS_PER_ROUND)
        count = CALLS_PER_ROUND[self.rounds] if is_early else 1
        self.next_round_at = now + (ROUND_INTERVAL if is_early else LATER_ROUND_INTERVAL)
        self.rounds += 1
        self.follow_ups_left = MAX_FOLLOW_UPS
        if not self.remaining:
            self.remaining.extend(order)
        return self._start_calls(now, count, first_number)

    def follow_up(self, now: timedelta, number: int) -> dict[int, ReleaseCall]:
        """Start a call in place of one that has failed, and return it by its number; there may be none.

        There is none while another is running, nor beyond a limit in each round: it would be a flood of
        calls where all endpoints refuse, or no socket is left."""
        if self.running or not self.follow_ups_left:
            return {}
        self.follow_ups_left -= 1
        return self._start_calls(now, 1, number)

    def _start_calls(self, now: timedelta, count: int, first_number: int) -> dict[int, ReleaseCall]:
        """Start calls to the endpoints that come next in this pass."""
        started: dict[int, ReleaseCall] = {}
        for number in range(first_number, first_number + min(count, len(self.remaining))):
            started[number] = ReleaseCall(self.remaining.popleft(), now)
        self.running.update(started)
        return started
