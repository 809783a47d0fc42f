"""Keeps a long-lived task running: when it ends, the supervisor logs this and restarts it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from llm_router import log
from llm_router.transport.clock import elapsed_since, to_seconds

# Delay before the first restart. It doubles with each further restart, up to MAX_BACKOFF.
INITIAL_BACKOFF = timedelta(milliseconds=20)
MAX_BACKOFF = timedelta(milliseconds=500)
STABLE_AFTER = timedelta(seconds=5)  # run time after which a task restarts with the initial backoff again


class Supervisor:
    """A task that runs until it is stopped, and is restarted whenever it ends before that."""

    def __init__(self, name: str, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self._name = name
        self._work = work
        self._restarts = 0  # number of times the work has ended without being stopped
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        """Run the work, and restart it after a backoff whenever it ends."""
        loop = asyncio.get_running_loop()
        backoff = INITIAL_BACKOFF
        while True:
            start = loop.time()
            error: Exception | None = None
            try:
                await self._work()
            except Exception as raised:
                error = raised
            self._restarts += 1
            log.emit("task_restarted", task=self._name, restarts=self._restarts, error=repr(error))
            is_stable = elapsed_since(start) > STABLE_AFTER
            backoff = INITIAL_BACKOFF if is_stable else min(2 * backoff, MAX_BACKOFF)
            await asyncio.sleep(to_seconds(backoff))

    def stop(self) -> None:
        """Cancel the task."""
        self._task.cancel()
