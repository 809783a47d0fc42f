"""Checks how long a stream may wait for its endpoint."""

from llm_router.routing.duration import SECOND
from llm_router.routing.stream_timeout import (
    EVENT_TIMEOUT,
    MAX_EVENT_EXTENSION,
    MIN_EVENT_RATE,
    StreamTimeout,
)


def test_only_a_growing_event_extends_the_time():
    timeout = StreamTimeout(0)
    timeout.event_grew(4 * SECOND, MIN_EVENT_RATE)
    assert timeout.expires_at == EVENT_TIMEOUT + SECOND
    timeout.event_grew(5 * SECOND, MIN_EVENT_RATE)
    assert timeout.expires_at == EVENT_TIMEOUT + SECOND
    timeout.event_completed(6 * SECOND)
    assert timeout.expires_at == EVENT_TIMEOUT + 6 * SECOND


# Guards against a client that waits for an hour for the end of one event.
def test_one_event_extends_the_time_by_a_limit():
    timeout = StreamTimeout(0)
    for seconds in range(100):
        timeout.event_grew(seconds * SECOND, 1000 * seconds)
    assert timeout.expires_at == EVENT_TIMEOUT + MAX_EVENT_EXTENSION
