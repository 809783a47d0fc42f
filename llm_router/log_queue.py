"""Writes log lines to a descriptor from a thread of its own, so that no caller waits for the consumer."""

from __future__ import annotations

import errno
import os
import select
import sys
import threading
import time
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

MAX_QUEUED_BYTES = 256 * 1024  # of lines that wait for the consumer
RETRY_INTERVAL = timedelta(milliseconds=100)  # after a write that failed for a passing reason
UNDELIVERABLE = (errno.EPIPE, errno.EBADF, errno.ECONNRESET)  # nobody can get the line any more


class QueuedLine(NamedTuple):
    """A line, and how many lines are dropped if it is."""

    data: bytes
    line_count: int


class LogQueue:
    """A bounded queue of lines in front of a descriptor, written in order.

    It withstands a consumer that stalls or is gone, a full disk and partial writes. A line that does not fit
    or reaches nobody is counted as dropped; a line made by `dropped_line(count)` reports the count as soon as
    one fits. Thread-safe; no method raises OSError."""

    def __init__(self, descriptor: int, dropped_line: Callable[[int], bytes]) -> None:
        self.descriptor, self.dropped_line = descriptor, dropped_line
        self.dropped = 0  # lines that were dropped and are not reported yet
        self.queued_bytes = 0
        self._lines: deque[QueuedLine] = deque()
        self._delivered = True  # the line that was written last reached a consumer
        self._is_writing = False  # a line was taken from the queue and is not out yet
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None

    def put(self, line: bytes) -> None:
        """Queue a line, its line feed included; never blocks on the descriptor."""
        with self._changed:
            if self.queued_bytes + len(line) > MAX_QUEUED_BYTES:
                self.dropped += 1
                return
            self._append_dropped_line()
            self._append(QueuedLine(line, line_count=1))
            self._changed.notify_all()
            self._ensure_thread()

    def flush(self, timeout: timedelta) -> bool:
        """Wait until all lines are out, for a bounded time; return whether they are."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._lines and not self._is_writing, timeout=timeout.total_seconds()
            )

    def _append_dropped_line(self) -> None:
        """Queue the line that reports dropped ones, if there are any."""
        if self.dropped:
            self._append(QueuedLine(self.dropped_line(self.dropped), line_count=self.dropped))
            self.dropped = 0

    def _append(self, line: QueuedLine) -> None:
        self._lines.append(line)
        self.queued_bytes += len(line.data)

    def _ensure_thread(self) -> None:
        """Start the writing thread; where none can be had, the next line tries again.

        At the end of the interpreter, when finalizers may still log, a new thread would never run."""
        if sys.is_finalizing() or (self._thread is not None and self._thread.is_alive()):
            return
        thread = threading.Thread(target=self._run, name="log", daemon=True)
        try:
            thread.start()
        except RuntimeError:
            return
        self._thread = thread

    def _run(self) -> None:
        """Write what is queued, for ever."""
        while True:
            line = self._take()
            delivered = self._write(line.data)
            with self._changed:
                self._delivered = delivered
                if not delivered:
                    self.dropped += line.line_count
                self._is_writing = False
                self._changed.notify_all()

    def _take(self) -> QueuedLine:
        """Wait for the next line and take it from the queue."""
        with self._changed:
            # Not while nobody consumes: that line would be dropped in turn, and reported, without end.
            if not self._lines and self._delivered:
                self._append_dropped_line()
            while not self._lines:
                self._changed.wait()
            line = self._lines.popleft()
            self.queued_bytes -= len(line.data)
            self._is_writing = True
            return line

    def _write(self, line: bytes) -> bool:
        """Write a line to its end, however long that takes; return whether it could reach anybody."""
        remaining = memoryview(line)
        while remaining:
            try:
                remaining = remaining[os.write(self.descriptor, remaining) :]
            except BlockingIOError:
                self._wait_until_writable()
            except OSError as error:
                if error.errno in UNDELIVERABLE:
                    return False
                time.sleep(RETRY_INTERVAL.total_seconds())
        return True

    def _wait_until_writable(self) -> None:
        """Wait until a descriptor that somebody made non-blocking may take more, or for one interval."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        poll.poll(RETRY_INTERVAL // timedelta(milliseconds=1))
