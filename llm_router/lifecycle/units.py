"""Conversion between the `timedelta` values of the lifecycle and the integer nanoseconds of the policy."""

from __future__ import annotations

from datetime import timedelta

MICROSECOND = timedelta(microseconds=1)
NANOSECONDS_PER_MICROSECOND = 1000


def to_nanoseconds(span: timedelta) -> int:
    """Return a duration or clock time as integer nanoseconds."""
    return span // MICROSECOND * NANOSECONDS_PER_MICROSECOND


def to_timedelta(nanoseconds: int) -> timedelta:
    """Return integer nanoseconds as a `timedelta`, rounded up so that a timer never fires early."""
    return timedelta(microseconds=-(-nanoseconds // NANOSECONDS_PER_MICROSECOND))
