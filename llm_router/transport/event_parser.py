"""Parses a stream of server-sent events piece by piece, without I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_EVENT_SIZE = (
    256 * 1024
)  # maximum bytes of one event, with the comments before it; the page's limit of a body
LAST_EVENT = b"[DONE]"  # data of the event that ends a complete stream
LINES = re.compile(rb"(?:(?:(?:data|event|id|retry)?:[^\n]*|\r?)\n)*")
DATA_FIELD = b"data:"
DATA_LINE = re.compile(rb"^data: ?([^\r\n]+)", re.MULTILINE)
LINE_STARTS = (b"data:", b"event:", b"id:", b"retry:", b":", b"\r")
MAX_LINE_START_SIZE = max(len(start) for start in LINE_STARTS)
BLOCK_ENDS = (b"\n\n", b"\n\r\n")


class EventStreamError(ValueError):
    """A stream of events is malformed or incomplete."""


@dataclass(slots=True, frozen=True)
class ParsedEvents:
    """The bytes that a piece of a stream completes: events, and the comments and empty lines between them."""

    data: bytes
    has_event: bool  # Whether the bytes contain an event.


NO_EVENTS = ParsedEvents(b"", has_event=False)


class EventStreamParser:
    """Finds the complete events of a stream, and detects malformed lines before they are complete.

    An event has a `data` line that is not empty. Comments before the first event are kept until it comes.
    A wrong chunk size leads to lines that belong to no event; a huge one leads to such lines, or to an event
    over the size limit."""

    def __init__(self) -> None:
        # The lines of an incomplete event, and the received part of the next line.
        self._pending = bytearray()
        self._line_start = 0  # the position of the incomplete line in the pending bytes
        self._event_size = 0  # bytes of data in the complete lines of an incomplete event
        self._last_data = b""  # content of the last data line of the complete events

    @property
    def is_ended(self) -> bool:
        """Whether the latest event was LAST_EVENT, which ends a complete stream."""
        return self._last_data == LAST_EVENT

    @property
    def incomplete_size(self) -> int:
        """The received bytes of data of an incomplete event; comments and empty lines do not count."""
        if not self._pending:
            return 0
        is_data = self._pending.startswith(DATA_FIELD, self._line_start)
        line_size = len(self._pending) - self._line_start - len(DATA_FIELD) if is_data else 0
        return self._event_size + line_size

    @property
    def buffered_size(self) -> int:
        """The bytes that are kept until the event that they belong to is complete."""
        return len(self._pending)

    def feed(self, piece: bytes) -> ParsedEvents:
        """Add a piece, and return the events that it completes; raise EventStreamError if it is malformed."""
        received_before = len(self._pending)
        self._pending += piece
        lines_end = self._pending.rfind(b"\n", received_before) + 1
        events = self._take_events(lines_end) if lines_end else NO_EVENTS
        if self._line_start < len(self._pending) and not self._line_may_become_valid():
            raise EventStreamError("stream contains a line that is not a valid server-sent event field")
        if len(self._pending) > MAX_EVENT_SIZE:
            raise EventStreamError(f"event is over the limit of {MAX_EVENT_SIZE} bytes")
        return events

    def finish(self) -> ParsedEvents:
        """Return the last event at the stream's end, even if no empty line follows it.

        Raise EventStreamError if the stream is malformed or ends without its last event."""
        remaining = bytes(self._pending)
        line = remaining[self._line_start :]
        if line and not LINES.fullmatch(line + b"\n"):
            raise EventStreamError("stream ends with a line that is not a valid server-sent event field")
        has_event = self._record_events(remaining)
        if not self.is_ended:
            raise EventStreamError("stream ends without its last event")
        self._pending.clear()
        self._line_start = 0
        return ParsedEvents(remaining, has_event)

    def _take_events(self, lines_end: int) -> ParsedEvents:
        """Check the pending lines up to a position, and return the events that they complete."""
        if not LINES.fullmatch(self._pending, self._line_start, lines_end):
            raise EventStreamError("stream contains a line that is not a valid server-sent event field")
        end = self._find_block_end(lines_end)
        events = bytes(self._pending[:end])
        has_event = self._record_events(events)
        if not self._last_data:
            self._event_size += _data_size(self._pending, max(end, self._line_start), lines_end)
            self._line_start = lines_end
            return NO_EVENTS
        if end:
            del self._pending[:end]
            self._event_size = 0
        new_lines = 0 if end else self._line_start
        self._line_start = lines_end - end
        self._event_size += _data_size(self._pending, new_lines, self._line_start)
        return ParsedEvents(events, has_event)

    def _find_block_end(self, lines_end: int) -> int:
        """Return the end of the last empty line among the new pending lines, or 0 if there is none."""
        if self._pending.endswith(BLOCK_ENDS, 0, lines_end):
            return lines_end
        start = max(0, self._line_start - 1)
        found = ((self._pending.rfind(mark, start, lines_end), mark) for mark in BLOCK_ENDS)
        return max((at + len(mark) for at, mark in found if at >= 0), default=0)

    def _record_events(self, lines: bytes) -> bool:
        """Record the last data in the lines of complete events, and return whether there are events.

        Raise EventStreamError if an event follows the last one of a stream."""
        found = DATA_LINE.findall(lines)
        if not found:
            return False
        if self.is_ended or LAST_EVENT in found[:-1]:
            raise EventStreamError("an event follows the last one of the stream")
        self._last_data = found[-1]
        return True

    def _line_may_become_valid(self) -> bool:
        """Return whether the incomplete line may be the start of a valid one."""
        start = bytes(self._pending[self._line_start : self._line_start + MAX_LINE_START_SIZE])
        return any(start.startswith(each) or each.startswith(start) for each in LINE_STARTS)


def _data_size(lines: bytearray, start: int, end: int) -> int:
    """Return the number of bytes of data in the lines between two positions."""
    return sum(len(content) for content in DATA_LINE.findall(lines, start, end)) if start < end else 0
