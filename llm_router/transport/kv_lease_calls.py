"""The calls about held state: reservations at decode servers, and releases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta

from llm_router import log
from llm_router.lifecycle import effects, events
from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.send_guard import Denial
from llm_router.transport.outgoing import AttemptWithdrawnError, BeforeWrite
from llm_router.transport.pool import ConnectionPool

RELEASE_TIMEOUT = timedelta(seconds=2)  # of one call, which is given up once another one is heard
RELEASE_FIRST = timedelta(milliseconds=100)  # a next prefill waits so long for the release before it
RELEASED = 204  # the status of an endpoint that has taken a release
RESERVATION_TIMEOUT = timedelta(seconds=1)
RESERVATIONS = {  # what an answer to a reservation call tells; after any other a place may be held
    200: ReservationOutcome.RESERVED,
    409: ReservationOutcome.REJECTED,
    404: ReservationOutcome.REJECTED,
    None: ReservationOutcome.UNANSWERED,
}


class KvLeaseCalls:
    """Makes reservation and release calls, and feeds back what came of each."""

    def __init__(
        self,
        pool: ConnectionPool,
        path: Callable[[str], str | None],
        spawn: Callable[[Coroutine], asyncio.Task],
        feed: Callable[[events.Event], None],
        check: Callable[[effects.Reserve], Denial | None],
    ) -> None:
        self.pool, self.path, self.spawn, self.feed, self.check = pool, path, spawn, feed, check
        self.releases: dict[str, set[asyncio.Task]] = {}  # the release calls that are out, by request
        self.awaited: dict[str, asyncio.Event] = {}  # set when an endpoint has taken a release, by request

    def release(self, effect: effects.Release) -> None:
        """Begin a release call."""
        task = self.spawn(self.call_release(effect))
        self.releases.setdefault(effect.request_id, set()).add(task)
        task.add_done_callback(lambda task: self.release_ended(effect, task))

    def release_ended(self, effect: effects.Release, task: asyncio.Task) -> None:
        """Tell what came of a release call, unless it was given up."""
        out = self.releases.get(effect.request_id, set())
        out.discard(task)
        if not out:
            self.releases.pop(effect.request_id, None)
        if not task.cancelled():
            heard = task.exception() is None and task.result()
            if heard and effect.request_id in self.awaited:
                self.awaited[effect.request_id].set()
            self.feed(
                events.ReleaseCallEnded(effect.request_id, effect.accepted_at, effect.call_number, heard)
            )

    async def wait_for_release(self, id: str) -> None:
        """Wait until an endpoint has taken a release of what is held for a request, for a bounded time."""
        taken = self.awaited[id] = asyncio.Event()
        try:
            async with asyncio.timeout(RELEASE_FIRST.total_seconds()):
                await taken.wait()
        except TimeoutError:
            log.emit_rate_limited("release_wait_timed_out", request=id)
        finally:
            if self.awaited.get(id) is taken:
                del self.awaited[id]

    def stop_releases(self, effect: effects.CancelReleases) -> None:
        """Give up the release calls of a request."""
        for task in self.releases.pop(effect.request_id, set()):
            task.cancel()

    async def call_release(self, effect: effects.Release) -> bool:
        """Ask an endpoint to release what is held for a request; tell whether it has taken the call."""
        path = self.path(effect.request_id)
        if path is None:
            return True  # these endpoints hold nothing
        address = effect.endpoint.address
        status = await self.pool.call("DELETE", address, path, RELEASE_TIMEOUT, for_release=True)
        return status == RELEASED

    async def reserve(
        self,
        effect: effects.Reserve,
        prefill_sent: asyncio.Event | None,
        running_prefill: Callable[[], asyncio.Task | None],
    ) -> None:
        """Ask for a place once the prefill is on its way: before that no endpoint would know of it."""
        result = ReservationOutcome.REJECTED
        try:
            path = self.path(effect.request_id)
            if prefill_sent is not None and path is not None:
                await prefill_sent.wait()
                if prefill := running_prefill():
                    address = effect.endpoint.address
                    result = await self.call_reservation(
                        address, path, prefill, lambda headers, transport: self.look(effect)
                    )
        except BaseException:
            result = ReservationOutcome.UNANSWERED
            raise
        finally:
            self.feed(events.ReservationEnded(effect.request_id, effect.attempt, result))

    def look(self, effect: effects.Reserve) -> None:
        """Withdraw a reservation whose reason has gone by the time that its connection is up."""
        if (denial := self.check(effect)) is not None:
            log.emit_rate_limited("reservation_withdrawn", request=effect.request_id, reason=denial.value)
            raise AttemptWithdrawnError

    async def call_reservation(
        self, address: str, path: str, prefill: asyncio.Task, complete: BeforeWrite | None = None
    ) -> ReservationOutcome:
        """Make a reservation call; one that has not been written when the prefill ends is dropped.

        Guards against a connection that comes up late: the reservation would be held for nobody."""
        written = asyncio.Event()
        work = self.pool.call("POST", address, path, RESERVATION_TIMEOUT, written, complete=complete)
        call = asyncio.get_running_loop().create_task(work)
        try:
            await asyncio.wait({call, prefill}, return_when=asyncio.FIRST_COMPLETED)
            if not written.is_set():
                return ReservationOutcome.REJECTED
            return RESERVATIONS.get(await call, ReservationOutcome.UNKNOWN)
        finally:
            call.cancel()
