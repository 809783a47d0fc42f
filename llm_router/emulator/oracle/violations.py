"""Record violations of the protocol's rules."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from llm_router.emulator.oracle.oracle_clock import OracleClock


class Rule(Enum):
    """A rule that a router can violate."""

    LOST = "lost"  # an accepted request got no final answer, or got it too late
    DUPLICATE = "duplicate"  # a request that must not run twice was sent again after it may have run
    CONCURRENT = "concurrent"  # two attempts of a request were in flight at once
    DISCONNECTED = "disconnected"  # an attempt began after its client had disconnected
    DRAIN = "drain"  # an attempt began at an endpoint that was announced as draining
    DEADLINE = "deadline"  # an endpoint was told more time than the client had left
    LEASE = "lease"  # KV state or a reservation outlived the release timeout with no attempt in flight
    SLOW_START = "slow start"  # an endpoint in slow start got more than its budget
    EVENT = "event"  # an event of a stream was delayed
    CRASH = "crash"  # a process ended by itself, or was not ready in time
    FAULT = "fault"  # a process logged an internal error


@dataclass(slots=True, frozen=True)
class Violation:
    """One violation, with what was observed."""

    rule: Rule
    observed_at: float
    subject: str  # the router or endpoint concerned
    detail: str
    began_at: float


class ViolationLog:
    """All violations found so far."""

    def __init__(self, clock: OracleClock) -> None:
        self._clock = clock
        self.violations: list[Violation] = []

    def add(self, rule: Rule, subject: str, detail: str, began_at: float | None = None) -> None:
        """Record a violation that began at a time, now where none is given."""
        now = self._clock.now
        detail = f"{detail} (scheduling delay {self._clock.scheduling_delay:.3f} s)"
        self.violations.append(Violation(rule, now, subject, detail, now if began_at is None else began_at))
