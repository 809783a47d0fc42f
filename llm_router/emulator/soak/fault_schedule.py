"""Inject overlapping faults at random times, and record when each fault started and ended."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

from llm_router.emulator.background_tasks import BackgroundTasks
from llm_router.emulator.oracle.oracle_clock import OracleClock
from llm_router.emulator.soak.fault import Fault

INTERVAL = (0.2, 1.2)  # range of seconds between the starts of two faults, drawn uniformly
DURATION = (0.1, 2.5)  # range of seconds that a fault lasts, drawn uniformly
REPORT_WINDOW = 4.0  # seconds before a violation; its report names the faults that were active in this time


@dataclass(slots=True)
class InjectedFault:
    """The record of one injected fault. Its end and its target are unknown while the fault lasts."""

    name: str
    began_at: float
    ended_at: float = float("inf")
    target: str | None = None

    def describe(self, at: float) -> str:
        """Return the fault, its target, and its start and end in seconds relative to the time `at`."""
        label = f"{self.name} {self.target}" if self.target else self.name
        return f"{label} {self.began_at - at:+.2f}..{self.ended_at - at:+.2f}"


class FaultSchedule:
    """The schedule that draws the faults of one soak and records the injected ones."""

    def __init__(self, faults: Sequence[Fault], rng: random.Random, clock: OracleClock) -> None:
        self._faults = faults
        self._rng = rng
        self._clock = clock
        self._history: list[InjectedFault] = []
        self._tasks = BackgroundTasks()

    async def inject_next(self) -> None:
        """Wait for a random interval, then start a randomly drawn fault in the background."""
        await asyncio.sleep(self._rng.uniform(*INTERVAL))
        fault = self._rng.choice(self._faults)
        self._tasks.spawn(self._inject(fault, self._rng.uniform(*DURATION)))

    @property
    def is_active(self) -> bool:
        """Return whether any injected fault has not ended yet."""
        return any(fault.ended_at == float("inf") for fault in self._history)

    def cancel(self) -> None:
        """Cancel the tasks of all faults that have not ended."""
        self._tasks.cancel()

    def describe_around(self, at: float) -> str:
        """Describe the faults that were active at the time `at` or up to REPORT_WINDOW seconds before it."""
        recent = (
            fault for fault in self._history if fault.began_at <= at and fault.ended_at >= at - REPORT_WINDOW
        )
        return ", ".join(fault.describe(at) for fault in recent)

    async def _inject(self, fault: Fault, seconds: float) -> None:
        """Inject one fault and record its start and end. Delete the record if no target was available."""
        injected = InjectedFault(fault.name, self._clock.now)
        self._history.append(injected)
        injected.target = await fault.inject(seconds)
        injected.ended_at = self._clock.now
        if injected.target is None:
            self._history.remove(injected)
