"""Checks which declared sizes are credible, and until when."""

import pytest

from llm_router.routing.declared_size import END_PERIOD, GRACE_PERIOD, IncompleteFrame, credible_until
from llm_router.routing.duration import SECOND

BEGAN_AT = 7 * SECOND
CLIENT_WAIT = 5 * SECOND  # A client's connection must end this long after its stream became malformed.


def time_of_doubt(declared_size, bytes_per_second, duration):
    """Return when the size of a frame that is filled at a steady rate is in doubt, or None if it never is."""
    for elapsed in range(0, duration, SECOND // 20):
        received_size = min(declared_size - 1, bytes_per_second * elapsed // SECOND)
        frame = IncompleteFrame(declared_size, received_size, BEGAN_AT)
        if credible_until(frame, None) <= BEGAN_AT + elapsed:
            return elapsed
    return None


@pytest.mark.parametrize(
    ("declared_size", "bytes_per_second"),
    [
        (3 << 30, 350),
        (3 << 30, 1 << 30),
        (1 << 33, 0),
        (60 << 20, 1 << 20),
        (300_000, 350),
        (64 << 10, 800),
        (100, 0),
    ],
)
def test_a_size_that_is_not_filled_is_in_doubt_before_the_client_has_waited_too_long(
    declared_size, bytes_per_second
):
    assert time_of_doubt(declared_size, bytes_per_second, 20 * SECOND) < CLIENT_WAIT


@pytest.mark.parametrize(
    ("declared_size", "duration"),
    [(200_000, 9), (6000, 17), (1_000_000, 2), (20 << 20, 4), (100, 4), (1_000_000, 19)],
)
def test_a_size_that_is_filled_is_credible_throughout(declared_size, duration):
    assert time_of_doubt(declared_size, declared_size // duration, duration * SECOND) is None


def test_little_may_follow_the_last_event_of_a_stream():
    frame = IncompleteFrame(10_000, 9_000, BEGAN_AT)
    assert credible_until(frame, BEGAN_AT + SECOND) == BEGAN_AT + GRACE_PERIOD
    late = BEGAN_AT + 9 * SECOND
    assert credible_until(frame, late) == late + END_PERIOD
