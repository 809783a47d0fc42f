"""What happened to the KV lease of one request, kept in memory for the log line of one that ends badly."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

MAX_ENTRIES = 32  # the last ones are kept


@dataclass(slots=True, frozen=True)
class HistoryEntry:
    """One thing that happened: when, on the router's clock, what, and to which endpoint or attempt."""

    at: timedelta
    what: str
    subject: str


@dataclass(slots=True)
class LeaseHistory:
    """The last entries of one request."""

    entries: deque[HistoryEntry] = field(default_factory=lambda: deque(maxlen=MAX_ENTRIES))

    def record(self, at: timedelta, what: str, subject: object = "") -> None:
        """Add an entry."""
        self.entries.append(HistoryEntry(at, what, str(subject)))

    def describe(self, since: timedelta) -> list[str]:
        """Return the entries as text, with their times in seconds since a moment."""
        return [
            f"{(entry.at - since).total_seconds():+.3f} {entry.what} {entry.subject}".rstrip()
            for entry in self.entries
        ]
