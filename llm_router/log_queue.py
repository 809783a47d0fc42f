"""Writes log lines to a descriptor in a separate thread, so that no caller waits for the consumer."""

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

MAX_QUEUED_BYTES = 256 * 1024  # maximum size of all queued lines together
RETRY_INTERVAL = timedelta(milliseconds=100)  # pause after a write that failed with a temporary error
# Errors after which no consumer can receive the line.
UNDELIVERABLE = (errno.EPIPE, errno.EBADF, errno.ECONNRESET)


class QueuedLine(NamedTuple):
    """A log line, and the number of lines to count as dropped if it cannot be delivered."""

    data: bytes
    line_count: int


class LogQueue:
    """A bounded queue of lines that are written to a descriptor in order.

    It tolerates a consumer that stalls or has closed the descriptor, a full disk and partial writes. Lines
    that do not fit or cannot be delivered are counted as dropped. When there is space again, a line from
    `dropped_line(count)` reports them. The class is thread-safe, and no method raises OSError."""

    def __init__(self, descriptor: int, dropped_line: Callable[[int], bytes]) -> None:
        self.descriptor, self.dropped_line = descriptor, dropped_line
        self.dropped = 0  # number of dropped lines that are not reported yet
        self.queued_bytes = 0
        self._lines: deque[QueuedLine] = deque()
        self._delivered = True  # Whether the last line could be delivered.
        self._is_writing = False  # Whether a line from the queue is being written.
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None

    def put(self, line: bytes) -> None:
        """Queue a line that ends in a line feed, without blocking on the descriptor."""
        with self._changed:
            if self.queued_bytes + len(line) > MAX_QUEUED_BYTES:
                self.dropped += 1
                return
            self._append_dropped_line()
            self._append(QueuedLine(line, line_count=1))
            self._changed.notify_all()
            self._ensure_thread()

    def flush(self, timeout: timedelta) -> bool:
        """Wait until all lines are written; return False if this takes longer than `timeout`."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._lines and not self._is_writing, timeout=timeout.total_seconds()
            )

    def _append_dropped_line(self) -> None:
        """Queue a line that reports the number of dropped lines, if there are any."""
        if self.dropped:
            self._append(QueuedLine(self.dropped_line(self.dropped), line_count=self.dropped))
            self.dropped = 0

    def _append(self, line: QueuedLine) -> None:
        self._lines.append(line)
        self.queued_bytes += len(line.data)

    def _ensure_thread(self) -> None:
        """Start the writing thread if it is not running; if that fails, the next line tries again.

        Finalizers may log while the interpreter shuts down, when a new thread would never run."""
        if sys.is_finalizing() or (self._thread is not None and self._thread.is_alive()):
            return
        thread = threading.Thread(target=self._run, name="log", daemon=True)
        try:
            thread.start()
        except RuntimeError:
            return
        self._thread = thread

    def _run(self) -> None:
        """Write queued lines in an endless loop."""
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
            # Without a consumer, each report of dropped lines would be dropped and cause another report.
            if not self._lines and self._delivered:
                self._append_dropped_line()
            while not self._lines:
                self._changed.wait()
            line = self._lines.popleft()
            self.queued_bytes -= len(line.data)
            self._is_writing = True
            return line

    def _write(self, line: bytes) -> bool:
        """Write a whole line, without a time limit; return False if it is undeliverable."""
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
        """Wait until a non-blocking descriptor is writable, but for at most RETRY_INTERVAL."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        poll.poll(RETRY_INTERVAL // timedelta(milliseconds=1))
