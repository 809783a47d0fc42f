"""The owner of what endpoints may hold for one request: its KV state, and reservations at decode servers.

It knows every call that may leave something behind, and ends only with a release that an endpoint has taken
after the last moment at which something can have come to be held."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, auto

from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.release_calls import ReleaseCalls
from llm_router.routing.events import AttemptStatus

MILLISECOND = timedelta(milliseconds=1)
RELEASE_MARGIN = 50 * MILLISECOND  # of the release time: for the release calls themselves
# The protocol gives 300 ms beyond the release time. Waits may use this much where that time is shorter: the
# first for a decode server, the second between two releases of what may still come.
TAKE_LEAST = AGAIN_LEAST = 100 * MILLISECOND
RELEASE_WITHIN = 500 * MILLISECOND  # between two releases where the settings name no release time
CONNECT_LEAST = 100 * MILLISECOND  # a connection over a busy link still comes up within this
SETTLE = 15 * MILLISECOND  # a release waits so long after an attempt was cut off: most closes go ahead
ON_ITS_WAY = 200 * MILLISECOND  # a close may take this long to its endpoint
CALL_ON_ITS_WAY = timedelta(seconds=3)  # a reservation with no answer may arrive so late, after a cut
READS_ON = timedelta(seconds=3)  # a server may go on for so long with a read whose connection broke

# After these a prefill may have ended well at its server, whatever its client saw, or may yet: for so long.
CUT_OFF = {
    AttemptStatus.ERROR: ON_ITS_WAY,
    AttemptStatus.TIMEOUT: ON_ITS_WAY,
    AttemptStatus.CANCELLED: ON_ITS_WAY,
    AttemptStatus.RESET: READS_ON,
}


class LeaseState(Enum):
    """What is known of a request's KV state and reservations."""

    NOTHING = auto()  # no call was made that could leave something, or all of it has gone
    READY = auto()  # a prefill's state waits for a decode attempt to take it in time
    LEFTOVER = auto()  # something may be held, or come to be, that no attempt will take


@dataclass(slots=True)
class KvLease:
    """State machine of what may be held for one request, and of when it must be released.

    The release time counts from the last outcome or reservation. An attempt whose connection never comes up
    is no outcome: the time runs on meanwhile."""

    release_within: timedelta | None
    holding: LeaseState = LeaseState.NOTHING
    release_at: timedelta | None = None  # when the next release is due, unless an attempt is out
    may_come_until: timedelta = timedelta()  # a release begun before this may miss something
    cleared_at: timedelta = timedelta()  # all that was held before this has gone
    left_at: timedelta = timedelta()  # when something was last left that no attempt will take
    reads_on_until: timedelta = timedelta()  # a read whose connection broke may end well until then
    reservations: int = 0  # reservation calls that are out
    calls: ReleaseCalls | None = None  # the release that is being asked for

    @property
    def done(self) -> bool:
        """Tell whether nothing is held, and nothing is out that could leave something."""
        return self.holding is LeaseState.NOTHING and not self.reservations

    @property
    def uncleared(self) -> bool:
        """Tell whether something may be held of which no endpoint has taken a release yet."""
        return self.holding is LeaseState.LEFTOVER and self.cleared_at <= self.left_at

    def connect_within(self, now: timedelta) -> timedelta | None:
        """Give how long a decode attempt may wait for its connection, None for no bound of ours.

        Half of what is left, so that a second server can be tried before the state must be released."""
        if self.holding is not LeaseState.READY or self.release_at is None:
            return None
        left = max(self.release_at - now, MILLISECOND)
        return min(left, max(left / 2, CONNECT_LEAST))

    def prefill_ended(self, now: timedelta, status: AttemptStatus) -> None:
        """Note the end of an attempt at a prefill server that was sent."""
        if status is AttemptStatus.PREFILLED:
            self.holding, self.calls = LeaseState.READY, None
            self.may_come_until = max(self.may_come_until, now)
            self.release_at = self.taken_by(now)
        elif status in CUT_OFF:
            self.leave_behind(now, now + CUT_OFF[status])
            if status is AttemptStatus.RESET:
                self.reads_on_until = now + READS_ON
            if self.holding is LeaseState.LEFTOVER:
                self.release_at = now + SETTLE  # the time counts anew from this outcome

    def decode_ended(self, now: timedelta, status: AttemptStatus) -> None:
        """Note the end of an attempt that was sent and was to take the state: it waits for another.

        The server may learn later that it was given up, and till then a release passes the state by."""
        if self.holding is not LeaseState.READY:
            return
        self.release_at = self.taken_by(now)
        if status in CUT_OFF:
            self.may_come_until = max(self.may_come_until, now + ON_ITS_WAY)

    def taken_by(self, now: timedelta) -> timedelta | None:
        """Give the time by which a decode attempt has to take a state that is there now."""
        if self.release_within is None:
            return None
        return now + max(self.release_within - RELEASE_MARGIN, self.release_within / 2, TAKE_LEAST)

    def reservation_sent(self) -> None:
        """Note that a reservation is being asked for."""
        self.reservations += 1

    def reservation_ended(self, now: timedelta, result: ReservationOutcome) -> None:
        """Note the end of a reservation call; what it may have left is released at the next occasion."""
        self.reservations -= 1
        if result is ReservationOutcome.REJECTED:
            self.settle()
        else:
            late = CALL_ON_ITS_WAY if result is ReservationOutcome.UNANSWERED else timedelta()
            self.leave_behind(now, now + late)

    def attempt_missing(self, now: timedelta) -> None:
        """Note that a prefill which is out has not come to its server: a place asked for it waits in vain."""
        if self.reservations:
            self.leave_behind(now, now)

    def leave_behind(self, release_at: timedelta, may_come_until: timedelta) -> None:
        """Note that something may be held, or come to be held until a time, which no attempt will take."""
        self.may_come_until = max(self.may_come_until, may_come_until)
        self.left_at = max(self.left_at, release_at)
        if self.holding is not LeaseState.READY:
            self.holding = LeaseState.LEFTOVER
            self.release_by(release_at)

    def release_by(self, moment: timedelta) -> None:
        """Bring the next release forward to a time, unless it comes earlier already."""
        self.release_at = moment if self.release_at is None else min(self.release_at, moment)

    def give_up(self, now: timedelta) -> None:
        """Note that no attempt will take what is held: a release is due."""
        if self.done:
            return
        self.holding, self.left_at = LeaseState.LEFTOVER, now
        if self.calls is None:
            self.release_by(now + SETTLE if now < self.may_come_until else now)

    def taken(self, now: timedelta) -> None:
        """Note that the answer's stream has begun: all that was held went with it.

        What came to be held a moment later, by a call that was still out, is left behind."""
        self.calls = None
        self.cleared(now)

    def begin_release(self, calls: ReleaseCalls) -> None:
        """Note that a release is being asked for."""
        self.holding, self.calls, self.release_at = LeaseState.LEFTOVER, calls, None

    def press(self, calls: ReleaseCalls) -> None:
        """Note that a release is asked for while a decode attempt is out that was to take the state.

        One that waits for the state keeps it; of one that never arrived the state must go in time."""
        self.calls, self.release_at = calls, None

    def release_heard(self, begun: timedelta) -> None:
        """Note that an endpoint has taken a release: all that was held before it began has gone."""
        self.calls = None
        if self.holding is LeaseState.READY:
            self.cleared_at = max(self.cleared_at, begun)
        else:
            self.cleared(begun)

    def release_unheard(self) -> None:
        """Give up: no endpoint has taken a release for long, and servers free by themselves what is left."""
        self.holding, self.calls, self.release_at = LeaseState.NOTHING, None, None

    def cleared(self, moment: timedelta) -> None:
        """Note that all that was held before a moment has gone; see to what may still come."""
        self.cleared_at = max(self.cleared_at, moment)
        self.holding = LeaseState.LEFTOVER
        within = RELEASE_WITHIN if self.release_within is None else self.release_within
        self.release_by(moment + max(within - RELEASE_MARGIN, AGAIN_LEAST))
        self.settle()

    def settle(self) -> None:
        """End the leftovers once nothing can have come after the last time that all was cleared."""
        if self.holding is not LeaseState.LEFTOVER or self.calls is not None or self.reservations:
            return
        if self.cleared_at >= self.may_come_until:
            self.holding, self.release_at = LeaseState.NOTHING, None
