"""Tell the oracle the time, with how late its own event loop runs."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

DELAY_WINDOW = 3.0  # seconds for which a scheduling delay of the oracle's own loop excuses late observations
PROXY_TURNS = 3  # of the event loop, from bytes on a new connection to their report: accept, connect, read
SAMPLE_INTERVAL = 0.01  # seconds between two measurements of the scheduling delay


@dataclass(slots=True, frozen=True)
class DelaySample:
    """One measurement of the event loop's scheduling delay, in seconds."""

    measured_at: float
    delay: float


class OracleClock:
    """The time, and the recent scheduling delay of the event loop in which the oracle runs.

    A busy loop observes everything late. Each check adds the delay to its limit, so that a router is not
    blamed for the oracle's own slowness."""

    def __init__(self, time: Callable[[], float]) -> None:
        self._time = time
        self._samples: deque[DelaySample] = deque()

    @property
    def now(self) -> float:
        """Return the time in seconds."""
        return self._time()

    @property
    def scheduling_delay(self) -> float:
        """Return the longest recent scheduling delay in seconds, 0 without a measurement."""
        return max((sample.delay for sample in self._samples), default=0.0)

    @property
    def proxy_delay(self) -> float:
        """Return how late, in seconds, a proxy may report bytes that came on a new connection."""
        return PROXY_TURNS * self.scheduling_delay

    def record_delay(self, delay: float) -> None:
        """Record a scheduling delay in seconds, and forget the ones outside the window."""
        self._samples.append(DelaySample(self.now, delay))
        while self._samples[0].measured_at < self.now - DELAY_WINDOW:
            self._samples.popleft()

    async def measure_delay(self) -> None:
        """Measure the scheduling delay until cancelled."""
        while True:
            expected = self.now + SAMPLE_INTERVAL
            await asyncio.sleep(SAMPLE_INTERVAL)
            self.record_delay(self.now - expected)
