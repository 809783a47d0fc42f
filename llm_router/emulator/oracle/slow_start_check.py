"""Check that an endpoint in slow start gets no more attempts than its budget."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import sqrt

from llm_router.emulator.oracle.oracle_clock import OracleClock
from llm_router.emulator.oracle.violations import Rule, ViolationLog

SMALL_BUDGET = 30  # attempts; a budget below this number has a larger tolerance for random variation


def slow_start_budget(allowed_attempts: float) -> float:
    """Return the maximum number of attempts in one overload window for an endpoint in slow start.

    The budget is `allowed_attempts`, the mean number that the settings allow, plus a tolerance for random
    variation."""
    if allowed_attempts < SMALL_BUDGET:
        return allowed_attempts + 3 * sqrt(allowed_attempts) + 3
    return allowed_attempts + 2 * sqrt(allowed_attempts) + 2


@dataclass(slots=True, frozen=True)
class SlowStart:
    """The slow start of one endpoint, with the limits that apply until its end."""

    ends_at: float
    allowed_attempts: float  # mean number of attempts in one overload window
    overload_window: float  # length of the overload window in seconds


class SlowStartCheck:
    """The check of one endpoint's attempts against its slow-start budget."""

    def __init__(
        self, endpoint: str, slow_start: SlowStart, clock: OracleClock, violations: ViolationLog
    ) -> None:
        self._endpoint = endpoint
        self._slow_start = slow_start
        self._clock = clock
        self._violations = violations
        self._attempts: deque[float] = deque()  # arrival times of the attempts in the last overload window

    def attempt_received(self, request_id: str) -> None:
        """Count an attempt that arrives now, and check the budget while slow start lasts."""
        now = self._clock.now
        window = self._slow_start.overload_window
        if now > self._slow_start.ends_at:
            return
        self._attempts.append(now)
        while self._attempts[0] < now - window:
            self._attempts.popleft()
        if len(self._attempts) > slow_start_budget(self._slow_start.allowed_attempts):
            detail = f"{len(self._attempts)} attempts in {window} s, the last for {request_id}"
            self._violations.add(Rule.SLOW_START, self._endpoint, detail)
            self._attempts.clear()
