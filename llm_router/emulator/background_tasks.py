"""Own tasks that run in the background of another object."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """The running tasks of one owner, which cancels them when it ends."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, object]) -> None:
        """Run a coroutine in the background; a strong reference is held until it ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all tasks that still run."""
        for task in list(self._tasks):
            task.cancel()
