"""The release calls of one release, which are made in rounds until an endpoint acknowledges one."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from llm_router.lifecycle.endpoint import Endpoint

# Number of release calls in each of the first rounds. Each later round makes one call.
CALLS_PER_ROUND = (1, 2, 4, 4, 4)
# Time between the first rounds of a release. Each round calls other endpoints than the previous one.
ROUND_INTERVAL = timedelta(milliseconds=70)
# Time between the later rounds of a release, until it has stalled.
LATER_ROUND_INTERVAL = timedelta(milliseconds=250)
# After this many rounds, about five seconds, a release has stalled and its rounds become less frequent.
STALLED_ROUNDS = 25
# Time between the rounds of a stalled release.
STALLED_ROUND_INTERVAL = timedelta(milliseconds=500)
# Maximum number of calls in one round that replace failed calls.
MAX_REPLACEMENT_CALLS = 8
# A release ends after this time, which is longer than a network partition.
# By then, the endpoints free the remaining KV state and reservations on their own.
MAX_DURATION = timedelta(seconds=60)


@dataclass(slots=True, frozen=True)
class ReleaseCall:
    """A release call that has not ended."""

    endpoint: Endpoint
    started_at: timedelta


@dataclass(slots=True)
class ReleaseCalls:
    """The state of one release: the running calls, and the endpoints to call next.

    Several endpoints are called because some may not answer, refuse connections, or be unreachable."""

    started_at: timedelta
    next_round_at: timedelta
    rounds: int = 0
    # The endpoints that have not been called in the current pass over all endpoints.
    remaining: deque[Endpoint] = field(default_factory=deque)
    running: dict[int, ReleaseCall] = field(default_factory=dict)  # running calls by call number
    # The number of calls that may still replace failed calls in the current round.
    replacement_calls_left: int = MAX_REPLACEMENT_CALLS

    @classmethod
    def starting_at(cls, now: timedelta) -> ReleaseCalls:
        """Return a new release whose first round is due now."""
        return cls(now, now)

    @property
    def has_stalled(self) -> bool:
        """Whether the release has just stalled, so that its next rounds are less frequent."""
        return self.rounds == STALLED_ROUNDS

    def has_expired(self, now: timedelta) -> bool:
        """Return whether the release has exceeded its maximum duration without an acknowledgement."""
        return now - self.started_at > MAX_DURATION

    def restart(self, moment: timedelta) -> None:
        """Restart the release with its first round at `moment`; the calls so far may have come too early."""
        self.started_at = moment
        self.next_round_at = min(self.next_round_at, moment)
        self.rounds = 0

    def start_round(
        self, now: timedelta, order: Sequence[Endpoint], first_number: int
    ) -> dict[int, ReleaseCall]:
        """Start the release calls of the next round and return them by call number.

        The numbers count up from `first_number`. If the current pass has called all of its endpoints, a new
        pass over the endpoints in `order` begins."""
        count = CALLS_PER_ROUND[self.rounds] if self.rounds < len(CALLS_PER_ROUND) else 1
        self.next_round_at = now + self._round_interval()
        self.rounds += 1
        self.replacement_calls_left = MAX_REPLACEMENT_CALLS
        if not self.remaining:
            self.remaining.extend(order)
        return self._start_calls(now, count, first_number)

    def start_replacement_call(self, now: timedelta, number: int) -> dict[int, ReleaseCall]:
        """Start a release call that replaces a failed one, and return it by its call number.

        Return an empty dict while another call runs, or when the limit of the round is used up. Without the
        limit, calls would flood the network if all endpoints refuse them or no socket is free."""
        if self.running or not self.replacement_calls_left:
            return {}
        self.replacement_calls_left -= 1
        return self._start_calls(now, 1, number)

    def _round_interval(self) -> timedelta:
        """Return the time from the round that starts now to the next round."""
        if self.rounds < len(CALLS_PER_ROUND):
            return ROUND_INTERVAL
        return LATER_ROUND_INTERVAL if self.rounds < STALLED_ROUNDS else STALLED_ROUND_INTERVAL

    def _start_calls(self, now: timedelta, count: int, first_number: int) -> dict[int, ReleaseCall]:
        """Start release calls to the next endpoints of the current pass, at most `count`."""
        started: dict[int, ReleaseCall] = {}
        for number in range(first_number, first_number + min(count, len(self.remaining))):
            started[number] = ReleaseCall(self.remaining.popleft(), now)
        self.running.update(started)
        return started
