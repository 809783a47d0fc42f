"""Decides whether the size that an endpoint declares for a chunk or a body of a stream is credible.

An endpoint may declare a size that it never fills, and go on with events inside it. Such a stream is
malformed from the declaration on. A large size may be true. The two differ in the time that the rest takes at
the rate so far."""

from __future__ import annotations

from dataclasses import dataclass

from llm_router.routing.duration import MILLISECOND, SECOND

MAX_DECLARED_SIZE = 64 * 1024 * 1024  # bytes; longer than any answer
# Time within which a frame may be filled at any rate.
# A client must not be left waiting for 5 s after its stream became malformed.
GRACE_PERIOD = 4_500 * MILLISECOND
# Maximum time that the rest of a frame may take at the rate so far, once the grace period is over.
MAX_REMAINING_TIME = 15 * SECOND
# Time for the rest of a frame after the last event of its stream, if the grace period is over.
END_PERIOD = 500 * MILLISECOND


@dataclass(slots=True, frozen=True)
class IncompleteFrame:
    """A chunk or body that is not complete; its sizes are in bytes, and its start time is in nanoseconds."""

    declared_size: int
    received_size: int
    began_at: int


def credible_until(frame: IncompleteFrame, ended_at: int | None) -> int:
    """Return the time in nanoseconds until which the declared size of a frame is credible.

    `ended_at` is the time of the last event of the stream, or None if it has not come. Otherwise the result
    grows with each received byte."""
    if frame.declared_size > MAX_DECLARED_SIZE:
        return frame.began_at
    grace_end = frame.began_at + GRACE_PERIOD
    if ended_at is not None:
        return max(grace_end, ended_at + END_PERIOD)
    # After the time t the rate is received / t, so that the rest takes remaining * t / received.
    remaining_size = frame.declared_size - frame.received_size
    return max(grace_end, frame.began_at + MAX_REMAINING_TIME * frame.received_size // remaining_size)
