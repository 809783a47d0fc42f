"""Check that an endpoint in slow start gets no more calls than its budget."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import sqrt

from llm_router.emulator.oracle.oracle_clock import OracleClock
from llm_router.emulator.oracle.violations import Rule, ViolationLog

SMALL_BUDGET = 30  # calls: under so many, the budget allows more for chance


def slow_start_budget(allowed_calls: float) -> float:
    """Return how many calls an endpoint in slow start can take in the overload window.

    `allowed_calls` is the mean that the settings allow; the rest is what chance may add to it."""
    if allowed_calls < SMALL_BUDGET:
        return allowed_calls + 3 * sqrt(allowed_calls) + 3
    return allowed_calls + 2 * sqrt(allowed_calls) + 2


@dataclass(slots=True, frozen=True)
class SlowStart:
    """The slow start of one endpoint."""

    ends_at: float
    allowed_calls: float  # in one overload window
    overload_window: float  # seconds


class SlowStartCheck:
    """The check of one endpoint's calls against its budget."""

    def __init__(
        self, endpoint: str, slow_start: SlowStart, clock: OracleClock, violations: ViolationLog
    ) -> None:
        self._endpoint = endpoint
        self._slow_start = slow_start
        self._clock = clock
        self._violations = violations
        self._calls: deque[float] = deque()  # when calls of the last overload window came

    def call_received(self, request_id: str) -> None:
        """Check a call that arrives now; no check is made once slow start is over."""
        now = self._clock.now
        window = self._slow_start.overload_window
        if now > self._slow_start.ends_at:
            return
        self._calls.append(now)
        while self._calls[0] < now - window:
            self._calls.popleft()
        if len(self._calls) > slow_start_budget(self._slow_start.allowed_calls):
            detail = f"{len(self._calls)} calls in {window} s, last {request_id}"
            self._violations.add(Rule.SLOW_START, self._endpoint, detail)
            self._calls.clear()
