"""Parses a stream of server-sent events piece by piece, without I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_EVENT_SIZE = 64 * 1024  # maximum bytes of one event, with the comments before it
LAST_EVENT = b"[DONE]"  # data of the event that ends a complete stream
LINES = re.compile(rb"(?:(?:(?:data|event|id|retry)?:[^\n]*|\r?)\n)*")
DATA_LINE = re.compile(rb"^data: ?([^\r\n]+)", re.MULTILINE)
LINE_STARTS = (b"data:", b"event:", b"id:", b"retry:", b":", b"\r")
BLOCK_ENDS = (b"\n\n", b"\n\r\n")


class EventStreamError(ValueError):
    """A stream of events is malformed or incomplete."""


@dataclass(slots=True, frozen=True)
class ParsedEvents:
    """The bytes that a piece of a stream completes: events, and the comments and empty lines between them."""

    data: bytes
    has_event: bool  # Whether the bytes contain an event.


class EventStreamParser:
    """Finds the complete events of a stream, and detects malformed lines before they are complete.

    An event has a `data` line that is not empty. Comments before the first event are kept until it comes.
    A wrong chunk size leads to lines that belong to no event; a huge one leads to such lines, or to an event
    over the size limit."""

    def __init__(self) -> None:
        self._lines = b""  # the complete lines of an incomplete event
        self._line = b""  # the received part of an incomplete line
        self._event_size = 0  # bytes of data in the complete lines of an incomplete event
        self._last_data = b""  # content of the last data line of the complete events

    @property
    def is_ended(self) -> bool:
        """Whether the latest event was LAST_EVENT, which ends a complete stream."""
        return self._last_data == LAST_EVENT

    @property
    def incomplete_size(self) -> int:
        """The received bytes of data of an incomplete event; comments and empty lines do not count."""
        return self._event_size + _data_size(self._line)

    def feed(self, piece: bytes) -> ParsedEvents:
        """Add a piece, and return the events that it completes; raise EventStreamError if it is malformed."""
        data = self._line + piece
        line_end = data.rfind(b"\n") + 1
        self._line = data[line_end:]
        events = self._add_lines(data[:line_end]) if line_end else ParsedEvents(b"", has_event=False)
        if not _may_become_valid(self._line):
            raise EventStreamError("stream contains a line that is not a valid server-sent event field")
        if len(self._lines) + len(self._line) > MAX_EVENT_SIZE:
            raise EventStreamError(f"event is over the limit of {MAX_EVENT_SIZE} bytes")
        return events

    def finish(self) -> ParsedEvents:
        """Return the last event at the stream's end, even if no empty line follows it.

        Raise EventStreamError if the stream is malformed or ends without its last event."""
        line_end = b"\n" if self._line else b""
        if not LINES.fullmatch(self._line + line_end):
            raise EventStreamError("stream ends with a line that is not a valid server-sent event field")
        remaining = self._lines + self._line
        has_event = self._record_events(remaining)
        if not self.is_ended:
            raise EventStreamError("stream ends without its last event")
        self._lines = self._line = b""
        return ParsedEvents(remaining, has_event)

    def _add_lines(self, lines: bytes) -> ParsedEvents:
        """Add complete lines, and return the events that they complete."""
        if not LINES.fullmatch(lines):
            raise EventStreamError("stream contains a line that is not a valid server-sent event field")
        lines = self._lines + lines
        end = max((lines.rfind(mark) + len(mark) for mark in BLOCK_ENDS if mark in lines), default=0)
        has_event = self._record_events(lines[:end])
        if not self._last_data:
            end = 0
        self._lines = lines[end:]
        self._event_size = _data_size(self._lines)
        return ParsedEvents(lines[:end], has_event)

    def _record_events(self, lines: bytes) -> bool:
        """Record the last data in the lines of complete events, and return whether there are events.

        Raise EventStreamError if an event follows the one that ends a stream."""
        found = DATA_LINE.findall(lines)
        if not found:
            return False
        if self.is_ended or LAST_EVENT in found[:-1]:
            raise EventStreamError("an event follows the last one of the stream")
        self._last_data = found[-1]
        return True


def _data_size(lines: bytes) -> int:
    """Return the number of bytes of data in some lines."""
    return sum(len(content) for content in DATA_LINE.findall(lines)) if lines else 0


def _may_become_valid(line: bytes) -> bool:
    """Return whether the received part of a line may be the start of a valid one."""
    return not line or any(line.startswith(start) or start.startswith(line) for start in LINE_STARTS)
