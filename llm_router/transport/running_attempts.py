"""Owns the tasks of the attempts that are running."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from llm_router.lifecycle import effects, events
from llm_router.routing.events import AttemptStatus
from llm_router.transport.background_tasks import BackgroundTasks
from llm_router.transport.frontend_protocol import ProxiedRequest

AttemptTask = asyncio.Task[events.AttemptEnded]
# Makes an attempt for a request, and sets the event once bytes of it may have gone.
Execute = Callable[
    [effects.OpenAttempt, ProxiedRequest, asyncio.Event], Coroutine[Any, Any, events.AttemptEnded]
]


@dataclass(slots=True)
class RunningAttempt:
    """An attempt from its start to its end."""

    task: AttemptTask
    written: asyncio.Event  # set once its first bytes may have gone, and at its end
    ended: bool = False


class RunningAttempts:
    """Starts and aborts attempts, and feeds back how each ended."""

    def __init__(
        self,
        tasks: BackgroundTasks,
        execute: Execute,
        feed: Callable[[events.Event], None],
    ) -> None:
        self._tasks = tasks
        self._execute = execute
        self._feed = feed
        self._running: dict[tuple[str, int], RunningAttempt] = {}  # by request and number of the attempt

    def start(self, effect: effects.OpenAttempt, request: ProxiedRequest) -> None:
        """Start an attempt for a request."""
        written = asyncio.Event()
        task = self._tasks.spawn(self._execute(effect, request, written))
        self._running[effect.request_id, effect.attempt] = RunningAttempt(task, written)
        task.add_done_callback(lambda task: self._on_done(effect, task))

    def abort(self, effect: effects.AbortAttempt) -> None:
        """Cancel an attempt, if it is still running."""
        attempt = self.get(effect.request_id, effect.attempt)
        if attempt is not None:
            attempt.task.cancel()

    def get(self, request_id: str, attempt: int) -> RunningAttempt | None:
        """Return a running attempt, None where it is not running."""
        return self._running.get((request_id, attempt))

    def _on_done(self, effect: effects.OpenAttempt, task: AttemptTask) -> None:
        """Feed back how an attempt ended; its connection is free or closed by now.

        This is a callback of the task, as a task that is cancelled before its first step never runs its own
        code: without the event the lifecycle would wait for ever, and its KV lease would stay."""
        key = effect.request_id, effect.attempt
        attempt = self._running.pop(key)
        attempt.ended = True
        attempt.written.set()
        if task.cancelled():
            self._feed(events.AttemptEnded(*key, AttemptStatus.CANCELLED))
        elif task.exception() is not None:
            self._feed(events.AttemptEnded(*key, AttemptStatus.ERROR))
        else:
            self._feed(task.result())
