"""Keeps track of the tasks that the transport starts in the background."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from llm_router import log

Result = TypeVar("Result")


class BackgroundTasks:
    """The running background tasks. Shutdown waits for them, and a task that fails is logged."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._running: set[asyncio.Task[Any]] = set()

    def __bool__(self) -> bool:
        return bool(self._running)

    def spawn(self, work: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Start a task and keep a reference to it until it ends."""
        task = self._loop.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._running.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.emit("task_failed", error=repr(error))

    async def wait(self) -> None:
        """Wait for all tasks that are running at the time of the call."""
        await asyncio.wait(list(self._running))
