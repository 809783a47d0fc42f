"""The recent events of one request's KV lease, which are logged if the lease ends in an error."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

MAX_ENTRIES = 32  # number of latest entries that are kept for one request


@dataclass(slots=True, frozen=True)
class HistoryEntry:
    """One event in the history of a KV lease: its time, its kind, and the endpoint that it concerns."""

    at: timedelta  # time of the event on the router's clock
    what: str
    subject: str


@dataclass(slots=True)
class LeaseHistory:
    """The latest entries in the history of one request's KV lease."""

    entries: deque[HistoryEntry] = field(default_factory=lambda: deque(maxlen=MAX_ENTRIES))

    def record(self, at: timedelta, what: str, subject: object = "") -> None:
        """Add an entry; if the history is full, drop the oldest."""
        self.entries.append(HistoryEntry(at, what, str(subject)))

    def describe(self, since: timedelta) -> list[str]:
        """Return one line of text for each entry, with its time in seconds after `since`."""
        return [
            f"{(entry.at - since).total_seconds():+.3f} {entry.what} {entry.subject}".rstrip()
            for entry in self.entries
        ]
