"""The log: one JSON line for each event, on standard error.

No call here blocks on the log's consumer or raises. `docs/on-call.md` lists the events."""

from __future__ import annotations

import os
import time
from contextlib import suppress
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

import orjson

from llm_router.log_queue import LogQueue

STANDARD_ERROR = 2
FLUSH_TIMEOUT = timedelta(milliseconds=500)  # for the last lines at the end, if the consumer stalls
RATE_LIMIT_INTERVAL = timedelta(seconds=1)  # between two lines of an event that is rate-limited


@dataclass(slots=True)
class RateLimitState:
    """When an event was logged last, in monotonic seconds, and how many were suppressed since."""

    logged_at: float = float("-inf")
    suppressed: int = 0


def encode(event: str, fields: dict[str, object]) -> bytes:
    """Return a line; a field that JSON has no form for is written as Python's text of it."""
    line = {"at": datetime.now(UTC), "event": event, **fields}
    try:
        return orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
    except (TypeError, ValueError):
        line = {"at": datetime.now(UTC), "event": event, "facts": ascii(fields)}
        return orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE)


_queue = LogQueue(STANDARD_ERROR, lambda count: encode("log_lines_dropped", {"lines": count}))
_rate_limits: dict[str, RateLimitState] = {}  # by event


def emit(event: str, **fields: object) -> None:
    """Log an event."""
    _queue.put(encode(event, fields))


def emit_rate_limited(event: str, **fields: object) -> None:
    """Log an event at most once a second; the field `more` counts those that were suppressed before it.

    A flood of events would fill the log, and keep the one core busy with it."""
    state = _rate_limits.setdefault(event, RateLimitState())
    now = time.monotonic()
    if now - state.logged_at < RATE_LIMIT_INTERVAL.total_seconds():
        state.suppressed += 1
        return
    if state.suppressed:
        fields["more"] = state.suppressed
    _rate_limits[event] = RateLimitState(logged_at=now)
    emit(event, **fields)


def flush() -> None:
    """Wait for the last lines to leave, for a bounded time."""
    _queue.flush(FLUSH_TIMEOUT)


def occupy_standard_streams() -> None:
    """Open the null device in place of standard streams that were closed before the start.

    Otherwise the first socket would get standard error's number, and the log would go into its stream."""
    with suppress(OSError):
        while (opened := os.open(os.devnull, os.O_RDWR)) <= STANDARD_ERROR:
            pass
        os.close(opened)
