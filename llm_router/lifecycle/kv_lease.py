"""The KV state and the reservations that endpoints may hold for one request.

The lease knows every call that may leave something at an endpoint. It ends only with a release that an
endpoint has acknowledged after the last moment at which something can have come to be held."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum, auto

from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.release_calls import ReleaseCalls
from llm_router.lifecycle.release_schedule import MILLISECOND, ReleaseSchedule
from llm_router.routing.events import AttemptStatus

MIN_CONNECT_TIME = 100 * MILLISECOND  # a connection over a busy link still comes up within this
CLOSE_SETTLE_TIME = 15 * MILLISECOND  # a release waits so long after an abort: most closes arrive before it
MAX_CLOSE_DELAY = 200 * MILLISECOND  # a close may take this long to its endpoint
MAX_CLOSE_DELAY_AFTER_SILENCE = timedelta(seconds=3)  # the same to one that seems cut off
MAX_RESERVATION_DELAY = timedelta(seconds=3)  # an unanswered reservation may arrive so late, after a cut
MAX_PREFILL_RUN_ON = timedelta(seconds=3)  # a prefill whose connection broke may run on for so long

# After these a prefill may have ended well at its endpoint, whatever its client saw, or may yet: for so long.
LATE_PREFILL_WINDOWS = {
    AttemptStatus.ERROR: MAX_CLOSE_DELAY,
    AttemptStatus.TIMEOUT: MAX_CLOSE_DELAY,
    AttemptStatus.CANCELLED: MAX_CLOSE_DELAY,
    AttemptStatus.RESET: MAX_PREFILL_RUN_ON,
}

NEVER_ARRIVED = frozenset({AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT})


class LeaseState(Enum):
    """What is known of a request's KV state and reservations."""

    EMPTY = auto()  # no call was made that could leave something, or all of it is released
    AVAILABLE = auto()  # a prefill's KV state waits for a decode attempt to claim it in time
    ORPHANED = auto()  # something may be held, or come to be, that no attempt will claim


class LeaseChange(Enum):
    """What happens to a lease."""

    PREFILLED = auto()  # a prefill has left its KV state
    LEFT_BEHIND = auto()  # a call may have left something that no attempt will claim
    ABANDONED = auto()  # no attempt will claim what is held
    PARTLY_RELEASED = auto()  # all that was held before some moment has gone
    FULLY_RELEASED = auto()  # nothing can have come to be held since
    EXPIRED = auto()  # no endpoint acknowledged a release; endpoints free by themselves what is left


# A state that a change does not list stays as it is.
LEASE_TRANSITIONS: dict[LeaseChange, dict[LeaseState, LeaseState]] = {
    LeaseChange.PREFILLED: {
        LeaseState.EMPTY: LeaseState.AVAILABLE,
        LeaseState.ORPHANED: LeaseState.AVAILABLE,
    },
    LeaseChange.LEFT_BEHIND: {
        LeaseState.EMPTY: LeaseState.ORPHANED,
    },
    LeaseChange.ABANDONED: {
        LeaseState.EMPTY: LeaseState.ORPHANED,
        LeaseState.AVAILABLE: LeaseState.ORPHANED,
    },
    LeaseChange.PARTLY_RELEASED: {
        LeaseState.EMPTY: LeaseState.ORPHANED,
        LeaseState.AVAILABLE: LeaseState.ORPHANED,
    },
    LeaseChange.FULLY_RELEASED: {
        LeaseState.ORPHANED: LeaseState.EMPTY,
    },
    LeaseChange.EXPIRED: {
        LeaseState.ORPHANED: LeaseState.EMPTY,
    },
}


@dataclass(slots=True)
class KvLease:
    """State machine of what may be held for one request, which says when a release is due.

    The release time counts from the last outcome or reservation. An attempt whose connection never comes up
    is no outcome: the time runs on meanwhile. All times are on the router's clock."""

    schedule: ReleaseSchedule
    state: LeaseState = LeaseState.EMPTY
    may_arrive_until: timedelta = timedelta()  # a release that started before this may miss something
    released_before: timedelta = timedelta()  # all that was held before this has gone
    orphaned_at: timedelta = timedelta()  # when something was last left that no attempt will claim
    prefill_may_run_until: timedelta = timedelta()  # until then a prefill whose connection broke may end well
    pending_reservations: int = 0  # reservation calls that have not ended
    claims: set[int] = field(default_factory=set)  # running decode attempts: what they wait for stays

    @property
    def is_finished(self) -> bool:
        """Whether nothing is held, and no call is out that could leave something."""
        return self.state is LeaseState.EMPTY and not self.pending_reservations

    @property
    def is_release_unconfirmed(self) -> bool:
        """Whether something may be held of which no endpoint has acknowledged a release yet."""
        return self.state is LeaseState.ORPHANED and self.released_before <= self.orphaned_at

    def connect_timeout(self, now: timedelta) -> timedelta | None:
        """Return how long a decode attempt may wait for its connection, None for no limit by the lease.

        It is half of the time that is left, so that a second endpoint can be tried before the KV state must
        be released."""
        release_at = self.schedule.release_at
        if self.state is not LeaseState.AVAILABLE or release_at is None:
            return None
        remaining = max(release_at - now, MILLISECOND)
        return min(remaining, max(remaining / 2, MIN_CONNECT_TIME))

    def prefill_written(self, now: timedelta) -> None:
        """Record that a prefill may have reached its endpoint: reservations for it are made from now on."""
        if self.pending_reservations:
            self.schedule.release_once_overdue(now)

    def prefill_ended(self, now: timedelta, status: AttemptStatus, *, after_silence: bool = False) -> None:
        """Record the end of a prefill attempt that was written; `after_silence` as in `decode_ended`."""
        if status is AttemptStatus.PREFILLED:
            self._change(LeaseChange.PREFILLED)
            self.schedule.calls = None
            self.schedule.overdue_at = None
            self.may_arrive_until = max(self.may_arrive_until, now)
            self.schedule.release_at = self.schedule.claim_deadline(now)
        elif status in LATE_PREFILL_WINDOWS:
            window = MAX_CLOSE_DELAY_AFTER_SILENCE if after_silence else LATE_PREFILL_WINDOWS[status]
            self._leave_behind(now, now + window)
            if status is AttemptStatus.RESET:
                self.prefill_may_run_until = now + MAX_PREFILL_RUN_ON
            if self.state is LeaseState.ORPHANED:
                self.schedule.release_at = now + CLOSE_SETTLE_TIME  # the time counts anew from this outcome

    def decode_ended(
        self, attempt: int, now: timedelta, status: AttemptStatus, *, after_silence: bool = False
    ) -> None:
        """Record the end of a written decode attempt that has not claimed the KV state.

        The KV state waits for another attempt, or it must be released now. The endpoint may learn later that
        the attempt was aborted, and till then a release passes the KV state by. `after_silence`: it was
        aborted, and nothing has come from the endpoint since the attempt began: it may be cut off."""
        self.claims.discard(attempt)
        if status in NEVER_ARRIVED:
            self._finish_if_released()  # it waited for nothing
            return
        if self.is_finished:
            return
        close_delay = MAX_CLOSE_DELAY_AFTER_SILENCE if after_silence else MAX_CLOSE_DELAY
        closed_by = now + close_delay if status in LATE_PREFILL_WINDOWS else now
        if self.state is LeaseState.AVAILABLE:
            self.schedule.calls = None  # it would take the KV state from the next attempt
            self.schedule.release_at = self.schedule.claim_deadline(now)
            self.may_arrive_until = max(self.may_arrive_until, closed_by)
        else:
            self._leave_behind(now + CLOSE_SETTLE_TIME, closed_by)

    def reservation_sent(self, now: timedelta, *, prefill_written: bool) -> None:
        """Record that a reservation call has started; it is made once its prefill is written."""
        self.pending_reservations += 1
        if prefill_written:
            self.schedule.release_once_overdue(now)

    def reservation_ended(self, now: timedelta, outcome: ReservationOutcome) -> None:
        """Record the end of a reservation call; what it may have left is released at the next occasion."""
        self.pending_reservations -= 1
        if outcome in (ReservationOutcome.REJECTED, ReservationOutcome.NOT_MADE):
            self._finish_if_released()
            if self.is_finished:
                self.schedule.clear()
        else:
            unanswered = outcome is ReservationOutcome.UNANSWERED
            self._leave_behind(now, now + (MAX_RESERVATION_DELAY if unanswered else timedelta()))

    def attempt_missing(self, now: timedelta) -> None:
        """Record that a running prefill has not arrived: a reservation for it waits in vain."""
        if self.pending_reservations:
            self._leave_behind(now, now)

    def abandon(self, now: timedelta) -> None:
        """Record that no attempt will claim what is held: a release is due."""
        if self.is_finished:
            return
        self._change(LeaseChange.ABANDONED)
        self.orphaned_at = now
        self.schedule.overdue_from(now)
        self.schedule.release_by(now + CLOSE_SETTLE_TIME if now < self.may_arrive_until else now)

    def response_started(self, now: timedelta) -> None:
        """Record that the response has started: all that was held went with it.

        What came to be held a moment later, by a call that was still out, is left behind."""
        self.schedule.calls = None
        self.claims.clear()
        self._released(now)

    def release_started(self, calls: ReleaseCalls) -> None:
        """Record that a release is being made of all that is held."""
        self._change(LeaseChange.ABANDONED)
        self.schedule.start(calls)

    def release_acknowledged(self, started_at: timedelta) -> None:
        """Record that an endpoint has acknowledged a release: all that was held before its start has gone."""
        self.schedule.calls = None
        if self.state is LeaseState.AVAILABLE:
            self.released_before = max(self.released_before, started_at)
            self._plan_next_release(started_at)
        else:
            self._released(started_at)

    def release_expired(self) -> None:
        """Give up: no endpoint has acknowledged a release for long; they free by themselves what is left."""
        self._change(LeaseChange.EXPIRED)
        self.schedule.calls = None
        self.schedule.clear()

    def _change(self, change: LeaseChange) -> None:
        """Enter the state that follows a change."""
        self.state = LEASE_TRANSITIONS[change].get(self.state, self.state)

    def _leave_behind(self, release_at: timedelta, may_arrive_until: timedelta) -> None:
        """Record that something may be held, or come to be held until a time, that no attempt will claim."""
        self.may_arrive_until = max(self.may_arrive_until, may_arrive_until)
        self.orphaned_at = max(self.orphaned_at, release_at)
        self.schedule.overdue_from(release_at)
        if self.state is not LeaseState.AVAILABLE:
            self._change(LeaseChange.LEFT_BEHIND)
            self.schedule.release_by(release_at)

    def _released(self, moment: timedelta) -> None:
        """Record that all that was held before a moment has gone; plan for what may still come."""
        self.released_before = max(self.released_before, moment)
        self._change(LeaseChange.PARTLY_RELEASED)
        self._plan_next_release(moment)
        self._finish_if_released()

    def _plan_next_release(self, moment: timedelta) -> None:
        """Plan the release after one that started at a moment, for what may still come to be held.

        None is due for what a decode attempt waits for, before its end."""
        if self._more_may_arrive:
            self.schedule.plan_after(moment)
        else:
            self.schedule.clear()

    @property
    def _more_may_arrive(self) -> bool:
        """Whether something may have come to be held since the last release, or may yet."""
        return bool(self.pending_reservations) or self.released_before < self.may_arrive_until

    def _finish_if_released(self) -> None:
        """Empty an orphaned lease once a release has freed all that can have come to be held.

        A release frees nothing that a decode attempt waits for: its acknowledgement proves nothing while one
        runs."""
        if self.state is not LeaseState.ORPHANED or self.schedule.calls is not None or self.claims:
            return
        if not self._more_may_arrive:
            self._change(LeaseChange.FULLY_RELEASED)
            self.schedule.clear()
