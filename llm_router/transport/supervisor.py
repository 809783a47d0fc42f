"""Keeps long-lived work going: what ends unexpectedly is logged, counted and started anew."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta

from llm_router import log

FIRST_PAUSE = timedelta(milliseconds=20)  # before a restart; doubled with each failure in a row
LONGEST_PAUSE = timedelta(milliseconds=500)
STEADY_AFTER = timedelta(seconds=5)  # work that ran for so long has not failed in a row


class Supervisor:
    """Owns one piece of work that is to run until it is stopped."""

    def __init__(self, name: str, work: Callable[[], Coroutine]) -> None:
        self.name, self.work = name, work
        self.restarts = 0  # how often the work has ended by itself
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Run the work again and again."""
        loop = asyncio.get_running_loop()
        pause = FIRST_PAUSE
        while True:
            begun, error = loop.time(), None
            try:
                await self.work()
            except Exception as raised:
                error = raised
            self.restarts += 1
            log.emit("task_restarted", task=self.name, restarts=self.restarts, error=repr(error))
            steady = loop.time() - begun > STEADY_AFTER.total_seconds()
            pause = FIRST_PAUSE if steady else min(2 * pause, LONGEST_PAUSE)
            await asyncio.sleep(pause.total_seconds())

    def stop(self) -> None:
        """End the work."""
        self.task.cancel()
