"""Inject faults into routers: restarts, kills, suspensions, reloads and log failures."""

from __future__ import annotations

import asyncio
import random
import signal

from llm_router.emulator.soak.fault import Fault
from llm_router.emulator.soak.fleet import Fleet

# Maximum seconds of a suspension. It is below the slack of the oracle's checks, so it alone violates no rule.
MAX_SUSPENSION = 0.14
RELOAD_COUNTS = (1, 1, 2)  # number of reloads in one fault, drawn uniformly from these values
# A restart stops its router by one of these series of signals, drawn uniformly.
SIGNAL_SERIES = (
    (signal.SIGTERM,),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP),
)


class RouterFaults:
    """The faults that a soak injects into the routers of one fleet."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng

    @property
    def faults(self) -> tuple[Fault, ...]:
        """Return the router faults from which the schedule draws."""
        return (
            Fault("restart", self._restart),
            Fault("kill", self._kill),
            Fault("suspend", self._suspend),
            Fault("reload", self._reload),
            Fault("log stalls", self._stall_log),
            Fault("log closes", self._close_log),
        )

    async def _restart(self, _seconds: float) -> str | None:
        """Stop a router by a randomly drawn series of signals, and start it with a new fault plan."""
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
        """Kill a router with SIGKILL and start it again."""
        router = self._fleet.draw_router()
        if router is None:
            return None
        self._fleet.mark_faulty(router)
        await router.kill()
        await router.start()
        self._fleet.mark_healthy(router)
        return router.name

    async def _suspend(self, seconds: float) -> str | None:
        """Suspend a router's process for at most MAX_SUSPENSION seconds."""
        router = self._fleet.draw_router()
        if router is None:
            return None
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(min(seconds, MAX_SUSPENSION))
        router.signal(signal.SIGCONT)
        return router.name

    async def _reload(self, _seconds: float) -> str | None:
        """Reload a router's configuration once or twice, each time with a new discovery address."""
        router = self._fleet.draw_router()
        if router is None:
            return None
        self._fleet.mark_faulty(router)
        for _ in range(self._rng.choice(RELOAD_COUNTS)):
            await router.reload()
        self._fleet.mark_healthy(router)
        return router.name

    async def _stall_log(self, seconds: float) -> str | None:
        """Stop reading a router's log for some seconds, so that its pipe can fill up."""
        router = self._fleet.draw_router()
        if router is None:
            return None
        router.stop_reading_log()
        await asyncio.sleep(seconds)
        router.resume_reading_log()
        return router.name

    async def _close_log(self, _seconds: float) -> str | None:
        """Close the reading end of a router's log pipe, so that the router cannot write to it."""
        router = self._fleet.draw_router()
        if router is None:
            return None
        router.close_log()
        return router.name
