"""The record of the KV state and the reservations that endpoints may hold for one request.

The lease tracks every call that may create KV state or a reservation at an endpoint. It normally ends when
an endpoint acknowledges a release that started after the last such call can have arrived."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum, auto

from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.release_calls import ReleaseCalls
from llm_router.lifecycle.release_schedule import MILLISECOND, ReleaseSchedule
from llm_router.lifecycle.unconfirmed_closes import UnconfirmedCloses
from llm_router.routing.events import AttemptStatus

# A decode attempt may wait at least this long for its connection, unless a release is due earlier.
# Connecting over a busy link takes about this time.
MIN_CONNECT_TIME = 100 * MILLISECOND
# A release waits this long after an abort, because most connection closes reach their endpoint by then.
CLOSE_SETTLE_TIME = 15 * MILLISECOND
# The close of a connection reaches a reachable endpoint within this time.
MAX_CLOSE_DELAY = 200 * MILLISECOND
# An unanswered reservation call may arrive this late, after a network partition.
MAX_RESERVATION_DELAY = timedelta(seconds=3)
# A prefill may continue at its endpoint for this long after its connection was reset.
MAX_PREFILL_TIME_AFTER_RESET = timedelta(seconds=3)

# A prefill that ended with one of these statuses may still complete at its endpoint and leave KV state there.
# Each value is the maximum time from the end of the attempt to the completion of the prefill.
LATE_PREFILL_WINDOWS = {
    AttemptStatus.ERROR: MAX_CLOSE_DELAY,
    AttemptStatus.TIMEOUT: MAX_CLOSE_DELAY,
    AttemptStatus.CANCELLED: MAX_CLOSE_DELAY,
    AttemptStatus.RESET: MAX_PREFILL_TIME_AFTER_RESET,
}

NEVER_ARRIVED = frozenset({AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT})


class LeaseState(Enum):
    """The router's knowledge about the KV state and reservations of one request."""

    EMPTY = auto()  # Endpoints hold no KV state and no reservation that the router knows of.
    AVAILABLE = auto()  # The KV state of a prefill waits for a decode attempt to claim it.
    ORPHANED = auto()  # Endpoints may hold KV state or reservations that no attempt will claim.


class LeaseChange(Enum):
    """A change that moves a lease from one state to another."""

    PREFILLED = auto()  # A prefill has completed, and its KV state waits at the endpoint.
    RESOURCE_ORPHANED = auto()  # A call may have left KV state or a reservation that no attempt will claim.
    ABANDONED = auto()  # No attempt will claim the KV state and reservations of the request.
    PARTLY_RELEASED = auto()  # A release freed the resources from before its start; later ones may exist.
    FULLY_RELEASED = auto()  # A release freed all resources, and no running call can create more.
    EXPIRED = auto()  # No endpoint acknowledged the release calls, and the router stops making them.


# The next state by change and current state. A change that does not list the current state has no effect.
LEASE_TRANSITIONS: dict[LeaseChange, dict[LeaseState, LeaseState]] = {
    LeaseChange.PREFILLED: {
        LeaseState.EMPTY: LeaseState.AVAILABLE,
        LeaseState.ORPHANED: LeaseState.AVAILABLE,
    },
    LeaseChange.RESOURCE_ORPHANED: {
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
    """State machine for the KV state and reservations of one request; it decides when a release is due.

    The release time starts again at each attempt outcome and each reservation. A failed connect does not
    restart it. All times are on the router's clock."""

    schedule: ReleaseSchedule
    state: LeaseState = LeaseState.EMPTY
    # KV state or reservations may appear until this time, so a release that starts earlier may miss some.
    may_arrive_until: timedelta = timedelta()
    # Until these closes have reached their endpoints, KV state may appear there as well.
    unconfirmed_closes: UnconfirmedCloses = field(default_factory=UnconfirmedCloses)
    # All KV state and reservations from before this time are freed.
    released_before: timedelta = timedelta()
    # The last time at which KV state or reservations were left that no attempt will claim.
    orphaned_at: timedelta = timedelta()
    # A prefill whose connection was reset may complete until this time.
    prefill_may_run_until: timedelta = timedelta()
    # The number of reservation calls that have not ended.
    pending_reservations: int = 0
    # The indexes of running decode attempts; a release does not free the KV state that they wait for.
    claims: set[int] = field(default_factory=set)

    @property
    def is_finished(self) -> bool:
        """Whether endpoints hold no KV state and no reservation, and no reservation call is running."""
        return self.state is LeaseState.EMPTY and not self.pending_reservations

    @property
    def is_release_unconfirmed(self) -> bool:
        """Whether orphaned KV state or reservations may exist that no acknowledged release has freed."""
        return self.state is LeaseState.ORPHANED and self.released_before <= self.orphaned_at

    def connect_timeout(self, now: timedelta) -> timedelta | None:
        """Return how long a decode attempt may wait for its connection, or None if the lease sets no limit.

        The limit is half of the time until the KV state must be released, so that a second endpoint can be
        tried after the first."""
        release_at = self.schedule.release_at
        if self.state is not LeaseState.AVAILABLE or release_at is None:
            return None
        remaining = max(release_at - now, MILLISECOND)
        return min(remaining, max(remaining / 2, MIN_CONNECT_TIME))

    def prefill_written(self, now: timedelta) -> None:
        """Record that a prefill attempt was written, so that its reservation calls may be written too."""
        if self.pending_reservations:
            self.schedule.plan_overdue_release(now)

    def prefill_ended(
        self, now: timedelta, status: AttemptStatus, *, silent_endpoint: int | None = None
    ) -> None:
        """Record the end of a prefill attempt that was written.

        `silent_endpoint` has the same meaning as in `decode_ended`."""
        if status is AttemptStatus.PREFILLED:
            self._change(LeaseChange.PREFILLED)
            self.schedule.calls = None
            self.schedule.overdue_at = None
            self.may_arrive_until = max(self.may_arrive_until, now)
            self.schedule.release_at = self.schedule.claim_deadline(now)
        elif status in LATE_PREFILL_WINDOWS:
            if silent_endpoint is not None:
                self.unconfirmed_closes.record_abort(silent_endpoint, now)
            self._record_orphaned_resources(now, now + LATE_PREFILL_WINDOWS[status])
            if status is AttemptStatus.RESET:
                self.prefill_may_run_until = now + MAX_PREFILL_TIME_AFTER_RESET
            if self.state is LeaseState.ORPHANED:
                # The release time restarts at the end of the prefill.
                self.schedule.release_at = now + CLOSE_SETTLE_TIME

    def decode_ended(
        self, attempt: int, now: timedelta, status: AttemptStatus, *, silent_endpoint: int | None = None
    ) -> None:
        """Record the end of a decode attempt that was written and produced no response.

        Available KV state is kept for another attempt; otherwise a release is planned. An endpoint that has
        not yet seen the abort still protects the KV state from release calls. `silent_endpoint` is the number
        of the attempt's endpoint if the attempt was aborted and the endpoint has answered no call since it
        began. Such an endpoint may be unreachable."""
        self.claims.discard(attempt)
        if status in NEVER_ARRIVED:
            # The attempt did not reach its endpoint, so its claim no longer keeps the lease open.
            self._finish_if_released()
            return
        if self.is_finished:
            return
        if silent_endpoint is not None:
            self.unconfirmed_closes.record_abort(silent_endpoint, now)
        closed_by = now + MAX_CLOSE_DELAY if status in LATE_PREFILL_WINDOWS else now
        if self.state is LeaseState.AVAILABLE:
            # A running release would free the KV state that the next attempt needs.
            self.schedule.calls = None
            self.schedule.release_at = self.schedule.claim_deadline(now)
            self.may_arrive_until = max(self.may_arrive_until, closed_by)
        else:
            self._record_orphaned_resources(now + CLOSE_SETTLE_TIME, closed_by)

    def reservation_sent(self, now: timedelta, *, prefill_written: bool) -> None:
        """Record that a reservation call has started; the call is written only after its prefill."""
        self.pending_reservations += 1
        if prefill_written:
            self.schedule.plan_overdue_release(now)

    def reservation_ended(self, now: timedelta, outcome: ReservationOutcome) -> None:
        """Record the end of a reservation call, and plan a release if it may have made a reservation."""
        self.pending_reservations -= 1
        if outcome in (ReservationOutcome.REJECTED, ReservationOutcome.NOT_MADE):
            self._finish_if_released()
            if self.is_finished:
                self.schedule.clear()
        else:
            unanswered = outcome is ReservationOutcome.UNANSWERED
            self._record_orphaned_resources(now, now + (MAX_RESERVATION_DELAY if unanswered else timedelta()))

    def attempt_missing(self, now: timedelta) -> None:
        """Record that a running prefill has not arrived, so that no attempt will claim its reservations."""
        if self.pending_reservations:
            self._record_orphaned_resources(now, now)

    def abandon(self, now: timedelta) -> None:
        """Record that no attempt will claim the KV state and reservations, and plan their release."""
        if self.is_finished:
            return
        self._change(LeaseChange.ABANDONED)
        self.orphaned_at = now
        self.schedule.advance_overdue_at(now)
        self.schedule.release_by(now + CLOSE_SETTLE_TIME if now < self.may_arrive_until else now)

    def response_started(self, now: timedelta) -> None:
        """Record that a response has started, which frees the KV state and reservations of its request.

        Reservation calls that are still running may make reservations afterwards; a release frees those."""
        self.schedule.calls = None
        self.claims.clear()
        self._released(now)

    def release_started(self, calls: ReleaseCalls) -> None:
        """Record that a release of all KV state and reservations has started."""
        self._change(LeaseChange.ABANDONED)
        self.schedule.start(calls)

    def release_acknowledged(self, started_at: timedelta) -> None:
        """Record that an endpoint acknowledged a release, which freed all resources from before its start."""
        self.schedule.calls = None
        if self.state is LeaseState.AVAILABLE:
            self.released_before = max(self.released_before, started_at)
            self._plan_next_release(started_at)
        else:
            self._released(started_at)

    def release_expired(self) -> None:
        """End the lease although no endpoint acknowledged a release.

        By now the endpoints have freed the remaining KV state and reservations on their own."""
        self._change(LeaseChange.EXPIRED)
        self.schedule.calls = None
        self.schedule.clear()

    def _change(self, change: LeaseChange) -> None:
        """Move the lease to the state that LEASE_TRANSITIONS gives for a change."""
        self.state = LEASE_TRANSITIONS[change].get(self.state, self.state)

    def _record_orphaned_resources(self, release_at: timedelta, may_arrive_until: timedelta) -> None:
        """Record that KV state or reservations may exist, or may appear later, that no attempt will claim.

        Resources may appear until `may_arrive_until`. Plan a release at `release_at`, unless KV state is
        available to a decode attempt."""
        self.may_arrive_until = max(self.may_arrive_until, may_arrive_until)
        self.orphaned_at = max(self.orphaned_at, release_at)
        self.schedule.advance_overdue_at(release_at)
        if self.state is not LeaseState.AVAILABLE:
            self._change(LeaseChange.RESOURCE_ORPHANED)
            self.schedule.release_by(release_at)

    def _released(self, moment: timedelta) -> None:
        """Record that resources older than `moment` are freed, and plan a release of later ones."""
        self.released_before = max(self.released_before, moment)
        self._change(LeaseChange.PARTLY_RELEASED)
        self._plan_next_release(moment)
        self._finish_if_released()

    def _plan_next_release(self, moment: timedelta) -> None:
        """Plan another release if resources may appear after the release that started at `moment`.

        Otherwise cancel the planned release. KV state that a decode attempt has claimed is released only
        after that attempt ends."""
        if self._resources_may_appear:
            self.schedule.plan_after(moment)
        else:
            self.schedule.clear()

    @property
    def _resources_may_appear(self) -> bool:
        """Whether KV state or reservations may have appeared since the last release, or may still appear."""
        may_arrive_until = max(self.may_arrive_until, self.unconfirmed_closes.expected_until)
        return bool(self.pending_reservations) or self.released_before < may_arrive_until

    def _finish_if_released(self) -> None:
        """Set an orphaned lease to empty once a release has freed every resource that can exist.

        While a decode attempt has a claim, the lease stays orphaned. A release does not free claimed KV
        state, so its acknowledgement does not prove that the KV state is gone."""
        if self.state is not LeaseState.ORPHANED or self.schedule.calls is not None or self.claims:
            return
        if not self._resources_may_appear:
            self._change(LeaseChange.FULLY_RELEASED)
            self.schedule.clear()
