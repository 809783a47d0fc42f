"""Makes the calls that release KV state and reservations at endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from enum import Enum, auto

from llm_router import log
from llm_router.lifecycle import effects, events
from llm_router.transport.background_tasks import BackgroundTasks
from llm_router.transport.clock import to_seconds
from llm_router.transport.pool import ConnectionPool, UpstreamCall

# Time limit of one release call. It is cancelled earlier if another call for the request is acknowledged.
RELEASE_TIMEOUT = timedelta(seconds=2)
# Maximum time for which a repeated prefill attempt waits until a release of its request is acknowledged.
RELEASE_WAIT = timedelta(milliseconds=100)
RELEASE_ACKNOWLEDGED = 204  # HTTP status with which an endpoint acknowledges a release


class ReleaseResult(Enum):
    """How a release call ended."""

    ACKNOWLEDGED = auto()
    NOT_ACKNOWLEDGED = auto()
    NO_SOCKET = auto()  # It was not made, because all sockets were in use.


ReleaseTask = asyncio.Task[ReleaseResult]


class ReleaseClient:
    """Makes release calls, and reports the end of each to the lifecycle as an event."""

    def __init__(
        self,
        pool: ConnectionPool,
        path: Callable[[str], str | None],
        tasks: BackgroundTasks,
        feed: Callable[[events.Event], None],
    ) -> None:
        self._pool = pool
        # Returns the path for the release of a request, or None if the endpoints support no releases.
        self._path = path
        self._tasks = tasks
        self._feed = feed
        self.running: dict[str, set[ReleaseTask]] = {}  # release calls by request id
        # Events by request id. An acknowledged release call of the request sets its event.
        self._awaited: dict[str, asyncio.Event] = {}

    def start(self, effect: effects.Release) -> None:
        """Start a release call."""
        task = self._tasks.spawn(self._call(effect))
        self.running.setdefault(effect.request_id, set()).add(task)
        task.add_done_callback(lambda task: self._on_done(effect, task))

    def _on_done(self, effect: effects.Release, task: ReleaseTask) -> None:
        """Report to the lifecycle how a release call ended, unless the call was cancelled."""
        running = self.running.get(effect.request_id, set())
        running.discard(task)
        if not running:
            self.running.pop(effect.request_id, None)
        if task.cancelled():
            return
        acknowledged = task.exception() is None and task.result() is ReleaseResult.ACKNOWLEDGED
        if acknowledged and effect.request_id in self._awaited:
            self._awaited[effect.request_id].set()
        failed_locally = task.exception() is None and task.result() is ReleaseResult.NO_SOCKET
        self._feed(
            events.ReleaseCallEnded(
                effect.request_id, effect.accepted_at, effect.call_number, acknowledged, failed_locally
            )
        )

    async def _call(self, effect: effects.Release) -> ReleaseResult:
        """Make a release call and return its result."""
        path = self._path(effect.request_id)
        if path is None:
            return ReleaseResult.ACKNOWLEDGED
        if not self._pool.has_socket_for_release:
            return ReleaseResult.NO_SOCKET
        call = UpstreamCall("DELETE", effect.endpoint.address, path, for_release=True)
        if await self._pool.call(call, RELEASE_TIMEOUT) == RELEASE_ACKNOWLEDGED:
            return ReleaseResult.ACKNOWLEDGED
        return ReleaseResult.NOT_ACKNOWLEDGED

    def cancel(self, effect: effects.CancelReleases) -> None:
        """Cancel the release calls of a request."""
        for task in self.running.pop(effect.request_id, set()):
            task.cancel()

    async def wait_for_acknowledgement(self, request_id: str) -> None:
        """Wait until an endpoint has acknowledged a release of a request, but no longer than RELEASE_WAIT."""
        acknowledged = asyncio.Event()
        self._awaited[request_id] = acknowledged
        try:
            async with asyncio.timeout(to_seconds(RELEASE_WAIT)):
                await acknowledged.wait()
        except TimeoutError:
            log.emit_rate_limited("release_wait_timed_out", request=request_id)
        finally:
            if self._awaited.get(request_id) is acknowledged:
                del self._awaited[request_id]
