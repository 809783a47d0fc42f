"""Follows the framing of a response's body: the size that each chunk or the body declares, and its progress.

aiohttp's parser knows the declared sizes, but does not report them."""

from __future__ import annotations

import re
from dataclasses import dataclass

SIZE_LINE = re.compile(rb"[ \t]*([0-9a-fA-F]+)")
PLAIN_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,16})\r\n")  # the usual form, which one piece contains whole
LINE_END = b"\r\n"
MAX_SIZE_DIGITS = 16  # maximum significant digits of a chunk's size; aiohttp's parser rejects longer ones


@dataclass(slots=True)
class Frame:
    """A chunk, or a body with a Content-Length, that is not complete; its sizes are in bytes."""

    declared_size: int
    # Event loop time in seconds at which the frame began; pauses of the router's reading are added.
    began_at: float
    received_size: int = 0


class BodyFraming:
    """The frames of one body. `frame` is the incomplete frame, or None between two frames.

    A body with a Content-Length is one frame, and each chunk of a chunked body is one. `feed` gets the bytes
    that aiohttp's parser has accepted, so it checks nothing."""

    def __init__(self, now: float, content_length: int | None = None) -> None:
        self.frame = Frame(content_length, now) if content_length else None
        self._line = b""  # the received part of a line between two chunks
        self._is_ended = False

    def feed(self, data: bytes, now: float) -> None:
        """Follow the next bytes of the body, which were received at the loop time `now` in seconds."""
        position = 0
        while position < len(data) and not self._is_ended:
            if self.frame is not None:
                position = self._read_frame(self.frame, data, position)
            elif not self._line and (size_line := PLAIN_SIZE_LINE.match(data, position)):
                self._begin_chunk(int(size_line[1], 16), now)
                position = size_line.end()
            else:
                position = self._read_line(data, position, now)

    def exclude(self, seconds: float) -> None:
        """Record that the router read nothing for some seconds, which are not the endpoint's time."""
        if self.frame is not None:
            self.frame.began_at += seconds

    def _read_frame(self, frame: Frame, data: bytes, position: int) -> int:
        """Count bytes of the frame, and return the position after them, and after the line end of a chunk."""
        remaining_size = frame.declared_size - frame.received_size
        end = position + remaining_size
        if end > len(data):
            frame.received_size += len(data) - position
            return len(data)
        self.frame = None
        return end + len(LINE_END) if data.startswith(LINE_END, end) else end

    def _read_line(self, data: bytes, position: int, now: float) -> int:
        """Read a line between two chunks, and return the position after it.

        The line is the empty one behind a chunk, or the size of the next chunk with its extensions."""
        end = data.find(b"\n", position)
        self._line = _shorten(self._line + data[position : end if end >= 0 else len(data)])
        if end < 0:
            return len(data)
        size_line = SIZE_LINE.match(self._line)
        self._line = b""
        if size_line is not None:
            self._begin_chunk(int(size_line[1], 16), now)
        return end + 1

    def _begin_chunk(self, size: int, now: float) -> None:
        """Begin a chunk, or end the body at a chunk of no bytes, which only trailers follow."""
        if size:
            self.frame = Frame(size, now)
        else:
            self._is_ended = True


def _shorten(line: bytes) -> bytes:
    """Return a size line without most of its leading zeros, and without most of its extensions."""
    if len(line) <= MAX_SIZE_DIGITS:
        return line
    digits = line.lstrip(b" \t").lstrip(b"0")
    return b"0" + digits[:MAX_SIZE_DIGITS]
