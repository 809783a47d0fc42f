"""Provide the oracle's clock, and measure the scheduling delay of its event loop."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

DELAY_WINDOW = 3.0  # seconds for which a measured scheduling delay extends the limits of the checks
# The proxy needs three event loop iterations to report the bytes of a new connection: accept, connect, read.
PROXY_LOOP_ITERATIONS = 3
SAMPLE_INTERVAL = 0.01  # seconds between two measurements of the scheduling delay


@dataclass(slots=True, frozen=True)
class DelaySample:
    """One measurement of the event loop's scheduling delay in seconds."""

    measured_at: float
    delay: float


class OracleClock:
    """A clock with the recent scheduling delay of the event loop in which the oracle runs.

    A busy event loop makes all observations late. Each check adds the scheduling delay to its limit, so that
    the oracle's own slowness is not reported as a violation."""

    def __init__(self, time: Callable[[], float]) -> None:
        self._time = time
        self._samples: deque[DelaySample] = deque()

    @property
    def now(self) -> float:
        """Return the time in seconds."""
        return self._time()

    @property
    def scheduling_delay(self) -> float:
        """Return the longest recent scheduling delay in seconds, or 0 without a measurement."""
        return max((sample.delay for sample in self._samples), default=0.0)

    @property
    def proxy_delay(self) -> float:
        """Return the maximum delay in seconds with which a proxy reports the bytes of a new connection."""
        return PROXY_LOOP_ITERATIONS * self.scheduling_delay

    def record_delay(self, delay: float) -> None:
        """Record a scheduling delay in seconds, and drop samples that are older than DELAY_WINDOW."""
        self._samples.append(DelaySample(self.now, delay))
        while self._samples[0].measured_at < self.now - DELAY_WINDOW:
            self._samples.popleft()

    async def measure_delay(self) -> None:
        """Measure the scheduling delay repeatedly until cancelled."""
        while True:
            expected = self.now + SAMPLE_INTERVAL
            await asyncio.sleep(SAMPLE_INTERVAL)
            self.record_delay(self.now - expected)
