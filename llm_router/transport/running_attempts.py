"""Manages the tasks of the running attempts."""

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
# A coroutine function that executes an attempt. It sets the event once bytes may have been sent.
Execute = Callable[
    [effects.OpenAttempt, ProxiedRequest, asyncio.Event], Coroutine[Any, Any, events.AttemptEnded]
]


@dataclass(slots=True)
class RunningAttempt:
    """A running attempt with its task."""

    task: AttemptTask
    # This event is set once the first bytes may have been sent, at the latest when the task ends.
    written: asyncio.Event
    ended: bool = False


class RunningAttempts:
    """Starts and aborts attempts, and reports the end of each to the lifecycle as an event."""

    def __init__(
        self,
        tasks: BackgroundTasks,
        execute: Execute,
        feed: Callable[[events.Event], None],
    ) -> None:
        self._tasks = tasks
        self._execute = execute
        self._feed = feed
        self._running: dict[tuple[str, int], RunningAttempt] = {}  # keys: request id and attempt number

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
        """Return the attempt with this number, or None if it is not running."""
        return self._running.get((request_id, attempt))

    def _on_done(self, effect: effects.OpenAttempt, task: AttemptTask) -> None:
        """Report to the lifecycle how an attempt ended, after its connection was returned or closed.

        A done callback does this because a task that is cancelled before its first step never runs its own
        code. Without the event the lifecycle would wait forever, and the KV lease would never be released."""
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
