"""Writes log lines to a descriptor from a thread of its own, so that no caller ever waits for a reader."""

from __future__ import annotations

import errno
import os
import select
import threading
import time
from collections import deque
from collections.abc import Callable
from datetime import timedelta

BUFFER_MOST = 256 * 1024  # bytes of lines that wait for the reader
RETRY = timedelta(milliseconds=100)  # until a write that failed for a while is tried again
NO_READER = (errno.EPIPE, errno.EBADF, errno.ECONNRESET)  # the line can reach nobody


class LogWriter:
    """A bounded queue of lines in front of a descriptor, written in order.

    Guards against a reader that stands still or has gone, a full disk, and half writes. A line that does not
    fit is counted, and a line made by `lost_line(count)` tells of it as soon as there is room. Thread-safe;
    no method raises OSError."""

    def __init__(self, descriptor: int, lost_line: Callable[[int], bytes]) -> None:
        self.descriptor, self.lost_line = descriptor, lost_line
        self.lines: deque[tuple[bytes, int]] = deque()  # each with how many lines are lost with it
        self.size = 0  # bytes in `lines`
        self.lost = 0  # lines that were dropped and have not been told of
        self.reached = True  # the last line that was written reached a reader
        self.writing = False  # a line was taken from `lines` and is not out yet
        self.changed = threading.Condition()
        self.thread: threading.Thread | None = None

    def put(self, line: bytes) -> None:
        """Queue a line, its line feed included; never blocks on the descriptor."""
        with self.changed:
            if self.size + len(line) > BUFFER_MOST:
                self.lost += 1
                return
            self.append_lost_line()
            self.append(line, stands_for=1)
            self.changed.notify_all()
            self.ensure_thread()

    def append_lost_line(self) -> None:
        """Queue the line that tells of dropped ones, if there were any."""
        if self.lost:
            self.append(self.lost_line(self.lost), stands_for=self.lost)
            self.lost = 0

    def append(self, line: bytes, stands_for: int) -> None:
        self.lines.append((line, stands_for))
        self.size += len(line)

    def ensure_thread(self) -> None:
        """Start the writing thread; where none can be had, the next line tries again."""
        if self.thread is not None and self.thread.is_alive():
            return
        thread = threading.Thread(target=self.run, name="log", daemon=True)
        try:
            thread.start()
        except RuntimeError:
            return
        self.thread = thread

    def run(self) -> None:
        """Write what is queued, for ever."""
        while True:
            with self.changed:
                # Not where nobody reads: that line would be lost in turn, and told of, without end.
                if not self.lines and self.reached:
                    self.append_lost_line()
                while not self.lines:
                    self.changed.wait()
                line, stands_for = self.lines.popleft()
                self.size -= len(line)
                self.writing = True
            delivered = self.write(line)
            with self.changed:
                self.reached = delivered
                self.lost += 0 if delivered else stands_for
                self.writing = False
                self.changed.notify_all()

    def write(self, line: bytes) -> bool:
        """Write a line to its end and tell whether it could reach anybody; waits as long as that takes."""
        rest = memoryview(line)
        while rest:
            try:
                rest = rest[os.write(self.descriptor, rest) :]
            except BlockingIOError:
                self.wait_for_room()
            except OSError as error:
                if error.errno in NO_READER:
                    return False
                time.sleep(RETRY.total_seconds())
        return True

    def wait_for_room(self) -> None:
        """Wait until a descriptor that somebody made non-blocking may take more."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        poll.poll(RETRY // timedelta(milliseconds=1))

    def flush(self, within: timedelta) -> bool:
        """Wait until all lines are out, for a bounded time; tell whether they are."""
        with self.changed:
            return self.changed.wait_for(
                lambda: not self.lines and not self.writing, timeout=within.total_seconds()
            )
