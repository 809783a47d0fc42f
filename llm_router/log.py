"""The log: one JSON line an event, on standard error. No call here blocks on the reader or raises."""

from __future__ import annotations

import logging
import os
import time
from contextlib import suppress
from datetime import UTC, datetime, timedelta

import orjson

from llm_router.log_writer import LogWriter

STANDARD_ERROR = 2
FLUSH_WITHIN = timedelta(milliseconds=500)  # for the last lines at the end, if the reader stands still
EVERY = timedelta(seconds=1)  # between two lines of an event that is told seldom


def encode(event: str, facts: dict[str, object]) -> bytes:
    """Give a line; facts that JSON has no form for are given as Python writes them."""
    line = {"at": datetime.now(UTC), "event": event, **facts}
    try:
        return orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
    except (TypeError, ValueError):
        line = {"at": datetime.now(UTC), "event": event, "facts": ascii(facts)}
        return orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE)


writer = LogWriter(STANDARD_ERROR, lambda lost: encode("log_lines_dropped", {"lines": lost}))


def occupy_standard_streams() -> None:
    """Open the null device in place of standard streams that were closed before the start.

    Guards against the first socket getting the number of standard error, and the log in its stream."""
    with suppress(OSError):
        while (opened := os.open(os.devnull, os.O_RDWR)) <= STANDARD_ERROR:
            pass
        os.close(opened)


def emit(event: str, **facts: object) -> None:
    """Write a line; the page docs/on-call.md tells what each event means."""
    writer.put(encode(event, facts))


lately: dict[str, tuple[float, int]] = {}  # by event: when it was said last, and how many came since


def emit_rate_limited(event: str, **facts: object) -> None:
    """Write a line at most once a second; `more` tells how many others of its kind went unsaid before it.

    Guards against floods that would fill the log, and keep the one core at work with it."""
    said, more = lately.get(event, (float("-inf"), 0))
    if time.monotonic() - said < EVERY.total_seconds():
        lately[event] = said, more + 1
        return
    lately[event] = time.monotonic(), 0
    emit(event, **facts, **({"more": more} if more else {}))


def flush() -> None:
    """Wait for the last lines to leave, for a bounded time."""
    writer.flush(FLUSH_WITHIN)


class Lines(logging.Handler):
    """Writes what the libraries log as lines of the same kind."""

    def emit(self, record: logging.LogRecord) -> None:
        try:
            text = record.getMessage()
        except (TypeError, ValueError):  # a library's format and its arguments do not fit
            text = str(record.msg)
        error = record.exc_info and repr(record.exc_info[1])
        emit("library", logger=record.name, level=record.levelname, text=text, error=error)
