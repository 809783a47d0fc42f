"""Logs each event as one JSON line on standard error.

No function here raises or blocks on the log's consumer. `docs/on-call.md` lists the events."""

from __future__ import annotations

import os
import time
from contextlib import suppress
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

import orjson

from llm_router.log_queue import LogQueue

STANDARD_ERROR = 2
# Time limit for writing the last lines at exit, in case the consumer stalls.
FLUSH_TIMEOUT = timedelta(milliseconds=500)
RATE_LIMIT_INTERVAL = timedelta(seconds=1)  # the interval for which a limit on the lines of one event holds


@dataclass(slots=True)
class RateLimitState:
    """The lines of one event in the interval that began at a monotonic time in seconds."""

    began_at: float = float("-inf")
    logged: int = 0
    suppressed: int = 0


def encode(event: str, fields: dict[str, object]) -> bytes:
    """Return an event as a JSON line; a value that JSON cannot represent is written as its `str()`."""
    line = {"at": datetime.now(UTC), "event": event, **fields}
    try:
        return orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
    except (TypeError, ValueError):
        line = {"at": datetime.now(UTC), "event": event, "facts": ascii(fields)}
        return orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE)


_queue = LogQueue(STANDARD_ERROR, lambda count: encode("log_lines_dropped", {"lines": count}))
_rate_limits: dict[str, RateLimitState] = {}  # rate limit states by event name


def emit(event: str, **fields: object) -> None:
    """Log an event with its fields."""
    _queue.put(encode(event, fields))


def emit_rate_limited(event: str, max_lines: int = 1, /, **fields: object) -> None:
    """Log an event, but at most `max_lines` times in a RATE_LIMIT_INTERVAL.

    The field `more` of a line is the number of lines suppressed since the previous logged line.
    Without the limit, a flood of events would fill the log and take up the router's only core."""
    state = _rate_limits.setdefault(event, RateLimitState())
    now = time.monotonic()
    if now - state.began_at >= RATE_LIMIT_INTERVAL.total_seconds():
        state.began_at = now
        state.logged = 0
    if state.logged >= max_lines:
        state.suppressed += 1
        return
    if state.suppressed:
        fields["more"] = state.suppressed
    state.logged += 1
    state.suppressed = 0
    emit(event, **fields)


def flush() -> None:
    """Wait until all lines are written, but for at most FLUSH_TIMEOUT."""
    _queue.flush(FLUSH_TIMEOUT)


def occupy_standard_streams() -> None:
    """Open the null device in place of standard streams that were closed before the start.

    Otherwise the first socket would get the descriptor of standard error, and log lines would go to its peer.
    """
    with suppress(OSError):
        while (opened := os.open(os.devnull, os.O_RDWR)) <= STANDARD_ERROR:
            pass
        os.close(opened)
