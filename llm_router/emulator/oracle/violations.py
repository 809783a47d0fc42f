"""Define the rules of the protocol, and record their violations."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from llm_router.emulator.oracle.oracle_clock import OracleClock


class Rule(Enum):
    """A rule of the protocol; its value is its name in the soak's reports."""

    LOST = "lost"  # An accepted request got no final answer, or got it too late.
    DUPLICATE = "duplicate"  # A request that must not run twice was sent again after it may have run.
    CONCURRENT = "concurrent"  # Two attempts of a request were in flight at the same time.
    DISCONNECTED = "disconnected"  # An attempt started after its client had disconnected.
    DRAIN = "drain"  # An attempt started at a draining endpoint after the drain grace period.
    DEADLINE = "deadline"  # An attempt's time remaining was longer than the client's.
    LEASE = "lease"  # A resource stayed leased beyond the release timeout without an attempt.
    SLOW_START = "slow start"  # An endpoint in slow start got more attempts than its budget.
    EVENT = "event"  # A stream event reached its client too late.
    CRASH = "crash"  # A router process exited unexpectedly, or was not ready in time.
    FAULT = "fault"  # A router process logged an internal error or a malformed log line.


@dataclass(slots=True, frozen=True)
class Violation:
    """One violation of a rule, with the details of the observation."""

    rule: Rule
    observed_at: float
    subject: str  # name of the router or endpoint that the violation is about
    detail: str
    began_at: float


class ViolationLog:
    """The list of all violations found so far."""

    def __init__(self, clock: OracleClock) -> None:
        self._clock = clock
        self.violations: list[Violation] = []

    def add(self, rule: Rule, subject: str, detail: str, began_at: float | None = None) -> None:
        """Record a violation that is observed now; `began_at` defaults to the current time."""
        now = self._clock.now
        detail = f"{detail} (scheduling delay {self._clock.scheduling_delay:.3f} s)"
        self.violations.append(Violation(rule, now, subject, detail, now if began_at is None else began_at))
