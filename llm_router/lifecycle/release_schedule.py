"""When a release of what endpoints may hold for one request is due."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from llm_router.lifecycle.release_calls import ReleaseCalls

MILLISECOND = timedelta(milliseconds=1)
RELEASE_MARGIN = 50 * MILLISECOND  # of the release time, for the release calls themselves
# The protocol gives 300 ms beyond the release time. Where that time is shorter, waits may use this much.
MIN_CLAIM_TIME = 100 * MILLISECOND  # for a decode attempt to claim a KV state
MIN_RELEASE_INTERVAL = 100 * MILLISECOND  # between two releases of what may still come to be held
DEFAULT_RELEASE_INTERVAL = 500 * MILLISECOND  # the same where the settings name no release time
UNCONFIRMED_PREFILL_TIME = 100 * MILLISECOND  # for a prefill to show that it arrived, past the release time


@dataclass(slots=True)
class ReleaseSchedule:
    """The times of one lease's releases on the router's clock, and the calls of the one being made."""

    release_timeout: timedelta | None  # the release time of the settings, None for no limit
    release_at: timedelta | None = None  # when the next release is due, unless an attempt is running
    overdue_at: timedelta | None = None  # from then on a prefill of which nothing shows delays no release
    calls: ReleaseCalls | None = None  # the calls of the release that is being made

    @property
    def next_at(self) -> timedelta | None:
        """When the next release, or the next round of calls of one, is due; None where none is."""
        return self.release_at if self.calls is None else self.calls.next_round_at

    def is_overdue(self, now: timedelta) -> bool:
        """Return whether what may be held must go, unless a running prefill is known to have arrived."""
        return self.overdue_at is not None and now >= self.overdue_at

    def claim_deadline(self, now: timedelta) -> timedelta | None:
        """Return the time by which a decode attempt has to claim a KV state that is there now."""
        if self.release_timeout is None:
            return None
        return now + max(self.release_timeout - RELEASE_MARGIN, self.release_timeout / 2, MIN_CLAIM_TIME)

    def release_by(self, moment: timedelta) -> None:
        """Bring the next release forward to a time, unless it is due earlier.

        One that is being made begins anew: its calls may have been spent while they could free nothing."""
        if self.calls is not None:
            self.calls.restart(moment)
        else:
            self.release_at = moment if self.release_at is None else min(self.release_at, moment)

    def overdue_from(self, left_at: timedelta) -> None:
        """Bring forward from when on a release must be made of what may be held since a time."""
        if self.release_timeout is None:
            return
        overdue_at = left_at + self.release_timeout + UNCONFIRMED_PREFILL_TIME
        self.overdue_at = overdue_at if self.overdue_at is None else min(self.overdue_at, overdue_at)

    def release_once_overdue(self, left_at: timedelta) -> None:
        """Plan a release for when what may be held since a time is overdue, whatever is heard of it."""
        self.overdue_from(left_at)
        if self.overdue_at is not None:
            self.release_by(self.overdue_at)

    def start(self, calls: ReleaseCalls) -> None:
        """Note that a release is being made."""
        self.calls = calls
        self.release_at = None

    def plan_after(self, moment: timedelta) -> None:
        """Plan the release after one that started at a moment, for what may still come to be held."""
        self.overdue_at = None
        self.overdue_from(moment)
        interval = DEFAULT_RELEASE_INTERVAL if self.release_timeout is None else self.release_timeout
        self.release_by(moment + max(interval - RELEASE_MARGIN, MIN_RELEASE_INTERVAL))

    def clear(self) -> None:
        """Plan no release."""
        self.release_at = self.overdue_at = None
