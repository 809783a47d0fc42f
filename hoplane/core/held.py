"""The owner of what endpoints may hold for one request: its KV state, and reservations at decode servers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, auto

from hoplane.decision.interface import Status

RELEASE_MARGIN = timedelta(milliseconds=50)  # of the release time: for the release call itself
CONNECT_LEAST = timedelta(milliseconds=100)  # a connection over a busy link still comes up within this

# After these an attempt never reached its server.
NEVER_SENT = (Status.CONNECT_FAILED, Status.MOOT)
# After these a prefill may have ended well at its server, whatever its client saw.
MAY_HOLD = (Status.MISS, Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)


class Holding(Enum):
    """What is known of a request's KV state and reservations."""

    NOTHING = auto()  # no call was made that could leave something, or the answer's stream has taken it
    HELD = auto()  # something may wait: a decode attempt has to take it in time, or a release
    RELEASED = auto()  # a release went out; what a late call leaves behind it needs another


@dataclass(slots=True)
class HeldState:
    """State machine of what may be held for one request, and the time that is left to release it.

    The release time counts from the last outcome or reservation. An attempt whose connection never comes up
    is no outcome: the time runs on meanwhile."""

    release_within: timedelta | None
    holding: Holding = Holding.NOTHING
    since: timedelta = timedelta()
    reservations: int = 0  # reservation calls that are out

    @property
    def due(self) -> timedelta | None:
        """Give the time at which a release has to go out if no attempt is out, None for no release."""
        if self.holding is not Holding.HELD or self.release_within is None:
            return None
        return self.since + max(self.release_within - RELEASE_MARGIN, self.release_within / 2)

    def connect_within(self, now: timedelta) -> timedelta | None:
        """Give how long a decode attempt may wait for its connection, None for no bound of ours.

        Half of what is left, so that a second server can be tried before the state must be released."""
        if self.due is None:
            return None
        left = max(self.due - now, timedelta(milliseconds=1))
        return min(left, max(left / 2, CONNECT_LEAST))

    def prefill_ended(self, now: timedelta, status: Status) -> None:
        """Note the end of an attempt at a prefill server."""
        if status in MAY_HOLD:
            self.holding, self.since = Holding.HELD, now

    def decode_ended(self, now: timedelta, status: Status) -> None:
        """Note the end of an attempt that was to take the state."""
        if status not in NEVER_SENT:
            self.since = now

    def reservation_sent(self) -> None:
        """Note that a reservation is being asked for."""
        self.reservations += 1

    def reservation_ended(self, now: timedelta, may_be_held: bool) -> bool:
        """Note the end of a reservation call; tell whether it may be left behind a release."""
        self.reservations -= 1
        if not may_be_held:
            return False
        late = self.holding is Holding.RELEASED
        self.holding, self.since = Holding.HELD, now
        return late

    def taken(self) -> None:
        """Note that the answer's stream has begun: all that was held went with it."""
        self.holding = Holding.NOTHING

    def released(self) -> None:
        """Note that a release goes out."""
        if self.holding is Holding.HELD:
            self.holding = Holding.RELEASED
