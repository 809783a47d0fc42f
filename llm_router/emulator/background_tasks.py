"""Run asyncio tasks in the background on behalf of an object, and cancel them when it stops."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """A set of running background tasks that belong to one object."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, object]) -> None:
        """Run a coroutine as a background task, and keep a strong reference to the task until it ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all tasks that are still running."""
        for task in list(self._tasks):
            task.cancel()
