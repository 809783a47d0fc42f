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
STALLED_ROUNDS = 25  # after these, some five seconds, endpoints are called less often
STALLED_ROUND_INTERVAL = timedelta(milliseconds=500)
MAX_FOLLOW_UPS = 8  # calls in a row within a round, each in place of one that has failed
MAX_DURATION = timedelta(seconds=60)  # longer than a machine is cut off: endpoints free what is left by then


@dataclass(slots=True, frozen=True)
class ReleaseCall:
    """A call that has not ended."""

    endpoint: Endpoint
    started_at: timedelta


@dataclass(slots=True)
class ReleaseCalls:
    """Which endpoints were called for a release, and which come next.

    Several are called as some may be silent, refuse connections, or be out of reach for a while."""

    started_at: timedelta
    next_round_at: timedelta
    rounds: int = 0
    remaining: deque[Endpoint] = field(default_factory=deque)  # not yet called in this pass
    running: dict[int, ReleaseCall] = field(default_factory=dict)  # by call number
    follow_ups_left: int = MAX_FOLLOW_UPS  # in this round

    @classmethod
    def beginning(cls, now: timedelta) -> ReleaseCalls:
        """Return a release whose first round is due now."""
        return cls(now, now)

    @property
    def has_stalled(self) -> bool:
        """Whether nobody has acknowledged the release for so long that the rounds become rare from now on."""
        return self.rounds == STALLED_ROUNDS

    def has_expired(self, now: timedelta) -> bool:
        """Return whether nobody has acknowledged the release for so long that it is in vain."""
        return now - self.started_at > MAX_DURATION

    def restart(self, moment: timedelta) -> None:
        """Begin anew with the first round, at a time: the calls before may have come too early to succeed."""
        self.started_at = moment
        self.next_round_at = min(self.next_round_at, moment)
        self.rounds = 0

    def start_round(
        self, now: timedelta, order: Sequence[Endpoint], first_number: int
    ) -> dict[int, ReleaseCall]:
        """Start the calls of the next round and return them by number, counted up from `first_number`.

        `order` is the endpoints to call, used if all of the pass before were called."""
        count = CALLS_PER_ROUND[self.rounds] if self.rounds < len(CALLS_PER_ROUND) else 1
        self.next_round_at = now + self._round_interval()
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

    def _round_interval(self) -> timedelta:
        """Return how long after the round that starts now the next one follows."""
        if self.rounds < len(CALLS_PER_ROUND):
            return ROUND_INTERVAL
        return LATER_ROUND_INTERVAL if self.rounds < STALLED_ROUNDS else STALLED_ROUND_INTERVAL

    def _start_calls(self, now: timedelta, count: int, first_number: int) -> dict[int, ReleaseCall]:
        """Start calls to the endpoints that come next in this pass."""
        started: dict[int, ReleaseCall] = {}
        for number in range(first_number, first_number + min(count, len(self.remaining))):
            started[number] = ReleaseCall(self.remaining.popleft(), now)
        self.running.update(started)
        return started
