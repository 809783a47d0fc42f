"""Inject faults that overlap at random times, and remember when each was."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

from llm_router.emulator.background_tasks import BackgroundTasks
from llm_router.emulator.oracle.oracle_clock import OracleClock
from llm_router.emulator.soak.fault import Fault

INTERVAL = (0.2, 1.2)  # seconds between the beginnings of two faults, drawn evenly
DURATION = (0.1, 2.5)  # seconds that a fault lasts, drawn evenly
REPORT_WINDOW = 4.0  # seconds before a violation whose faults are reported with it


@dataclass(slots=True)
class InjectedFault:
    """One fault that was injected; its end and its target are not known while it lasts."""

    name: str
    began_at: float
    ended_at: float = float("inf")
    target: str | None = None

    def describe(self, at: float) -> str:
        """Return what was hit, and when it began and ended in seconds from a moment."""
        label = f"{self.name} {self.target}" if self.target else self.name
        return f"{label} {self.began_at - at:+.2f}..{self.ended_at - at:+.2f}"


class FaultSchedule:
    """The faults of one soak."""

    def __init__(self, faults: Sequence[Fault], rng: random.Random, clock: OracleClock) -> None:
        self._faults = faults
        self._rng = rng
        self._clock = clock
        self._history: list[InjectedFault] = []
        self._tasks = BackgroundTasks()

    async def inject_next(self) -> None:
        """Wait for the time of the next fault, and begin it in the background."""
        await asyncio.sleep(self._rng.uniform(*INTERVAL))
        fault = self._rng.choice(self._faults)
        self._tasks.spawn(self._inject(fault, self._rng.uniform(*DURATION)))

    @property
    def is_active(self) -> bool:
        """Return whether a fault lasts."""
        return any(fault.ended_at == float("inf") for fault in self._history)

    def cancel(self) -> None:
        """Cancel the faults that are not over."""
        self._tasks.cancel()

    def describe_around(self, at: float) -> str:
        """Describe the faults at a moment and shortly before it."""
        recent = (
            fault for fault in self._history if fault.began_at <= at and fault.ended_at >= at - REPORT_WINDOW
        )
        return ", ".join(fault.describe(at) for fault in recent)

    async def _inject(self, fault: Fault, seconds: float) -> None:
        """Inject one fault and record when it began and ended; forget it where it found nothing to hit."""
        injected = InjectedFault(fault.name, self._clock.now)
        self._history.append(injected)
        injected.target = await fault.inject(seconds)
        injected.ended_at = self._clock.now
        if injected.target is None:
            self._history.remove(injected)
