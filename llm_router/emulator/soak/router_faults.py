"""Inject restarts, kills and faults of routers and of their logs."""

from __future__ import annotations

import asyncio
import random
import signal

from llm_router.emulator.soak.fault import Fault
from llm_router.emulator.soak.fleet import Fleet

MAX_SUSPENSION = 0.14  # seconds: less than the slack of the oracle's checks
RELOAD_COUNTS = (1, 1, 2)  # drawn evenly
SIGNAL_SERIES = (  # sent with the SIGTERM of a restart, drawn evenly
    (signal.SIGTERM,),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP),
)


class RouterFaults:
    """The faults of the routers of one fleet."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng

    @property
    def faults(self) -> tuple[Fault, ...]:
        """Return the faults that can be injected."""
        return (
            Fault("restart", self._restart),
            Fault("kill", self._kill),
            Fault("suspend", self._suspend),
            Fault("reload", self._reload),
            Fault("log stalls", self._stall_log),
            Fault("log closes", self._close_log),
        )

    async def _restart(self, _seconds: float) -> str | None:
        """Restart a router as planned, by signals in series, with other system calls that fail."""
        router = self._fleet.draw_router()
        if router is None:
            return None
        self._fleet.mark_faulty(router)
        await router.stop(self._rng.choice(SIGNAL_SERIES))
        self._fleet.draw_fault_plan(router)
        await router.start()
        self._fleet.mark_healthy(router)
        return router.name

    async def _kill(self, _seconds: float) -> str | None:
        """Kill a router and start it anew."""
        router = self._fleet.draw_router()
        if router is None:
            return None
        self._fleet.mark_faulty(router)
        await router.kill()
        await router.start()
        self._fleet.mark_healthy(router)
        return router.name

    async def _suspend(self, seconds: float) -> str | None:
        """Suspend a router's process for a short time."""
        router = self._fleet.draw_router()
        if router is None:
            return None
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(min(seconds, MAX_SUSPENSION))
        router.signal(signal.SIGCONT)
        return router.name

    async def _reload(self, _seconds: float) -> str | None:
        """Give a router a new configuration, which moves discovery, once or twice."""
        router = self._fleet.draw_router()
        if router is None:
            return None
        self._fleet.mark_faulty(router)
        for _ in range(self._rng.choice(RELOAD_COUNTS)):
            await router.reload()
        self._fleet.mark_healthy(router)
        return router.name

    async def _stall_log(self, seconds: float) -> str | None:
        """Leave a router's log unread for a time."""
        router = self._fleet.draw_router()
        if router is None:
            return None
        router.stop_reading_log()
        await asyncio.sleep(seconds)
        router.resume_reading_log()
        return router.name

    async def _close_log(self, _seconds: float) -> str | None:
        """Close the reading end of a router's log for good."""
        router = self._fleet.draw_router()
        if router is None:
            return None
        router.close_log()
        return router.name
