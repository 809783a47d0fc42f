"""The times at which the KV state and reservations of one request are due for release."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from llm_router.lifecycle.release_calls import ReleaseCalls

MILLISECOND = timedelta(milliseconds=1)
# The part of the release time that is kept for the release calls themselves.
RELEASE_MARGIN = 50 * MILLISECOND

# The protocol allows 300 ms beyond the release time.
# The waits below use part of these 300 ms if the release time is too short for them.

# Minimum time for a decode attempt to claim KV state.
MIN_CLAIM_TIME = 100 * MILLISECOND
# Minimum time between two releases while KV state or reservations may still appear.
MIN_RELEASE_INTERVAL = 100 * MILLISECOND
# Time between two releases while KV state or reservations may still appear.
# This default is used if the settings give no release time.
DEFAULT_RELEASE_INTERVAL = 500 * MILLISECOND
# A running prefill of unconfirmed arrival delays a release for at most this long after the release time.
UNCONFIRMED_PREFILL_TIME = 100 * MILLISECOND


@dataclass(slots=True)
class ReleaseSchedule:
    """The release times of one KV lease on the router's clock, and the calls of a release that is running."""

    # The release time from the settings, or None for no limit.
    release_timeout: timedelta | None
    # The time at which the next release is due; a running prefill may delay it.
    release_at: timedelta | None = None
    # From this time on, only a prefill that is known to have arrived delays a release.
    overdue_at: timedelta | None = None
    # The calls of the running release, or None if no release is running.
    calls: ReleaseCalls | None = None

    @property
    def next_at(self) -> timedelta | None:
        """The time of the next release, or of the next round of a running one; None if neither is planned."""
        return self.release_at if self.calls is None else self.calls.next_round_at

    def is_overdue(self, now: timedelta) -> bool:
        """Return whether a release is overdue, so that only a prefill known to have arrived may delay it."""
        return self.overdue_at is not None and now >= self.overdue_at

    def claim_deadline(self, now: timedelta) -> timedelta | None:
        """Return the time by which a decode attempt must claim KV state that is available from now on."""
        if self.release_timeout is None:
            return None
        return now + max(self.release_timeout - RELEASE_MARGIN, self.release_timeout / 2, MIN_CLAIM_TIME)

    def release_by(self, moment: timedelta) -> None:
        """Move the next release forward to a given time, unless it is due earlier.

        A running release restarts at that time, because its previous calls may have come too early to free
        the KV state and reservations."""
        if self.calls is not None:
            self.calls.restart(moment)
        else:
            self.release_at = moment if self.release_at is None else min(self.release_at, moment)

    def advance_overdue_at(self, held_since: timedelta) -> None:
        """Move the overdue time forward for KV state or reservations that may exist since `held_since`."""
        if self.release_timeout is None:
            return
        overdue_at = held_since + self.release_timeout + UNCONFIRMED_PREFILL_TIME
        self.overdue_at = overdue_at if self.overdue_at is None else min(self.overdue_at, overdue_at)

    def plan_overdue_release(self, held_since: timedelta) -> None:
        """Plan a release at the overdue time of resources that may exist since `held_since`."""
        self.advance_overdue_at(held_since)
        if self.overdue_at is not None:
            self.release_by(self.overdue_at)

    def start(self, calls: ReleaseCalls) -> None:
        """Record that a release with these calls is running."""
        self.calls = calls
        self.release_at = None

    def plan_after(self, moment: timedelta) -> None:
        """Plan another release for resources that may appear after the release that started at `moment`."""
        self.overdue_at = None
        self.advance_overdue_at(moment)
        interval = DEFAULT_RELEASE_INTERVAL if self.release_timeout is None else self.release_timeout
        self.release_by(moment + max(interval - RELEASE_MARGIN, MIN_RELEASE_INTERVAL))

    def clear(self) -> None:
        """Cancel the planned release and its overdue time."""
        self.release_at = self.overdue_at = None
