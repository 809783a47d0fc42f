"""Makes the calls that reserve capacity at decode endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, MutableMapping
from datetime import timedelta

from llm_router import log
from llm_router.lifecycle import effects, events
from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.send_guard import Denial
from llm_router.transport.errors import AttemptWithdrawnError
from llm_router.transport.pool import ConnectionPool, UpstreamCall
from llm_router.transport.running_attempts import RunningAttempt

RESERVATION_TIMEOUT = timedelta(seconds=1)
RESERVATION_OUTCOMES = {  # by the response's status; after any other one a reservation may exist
    200: ReservationOutcome.RESERVED,
    409: ReservationOutcome.REJECTED,
    404: ReservationOutcome.NOT_MADE,
    None: ReservationOutcome.UNANSWERED,
}


class ReservationClient:
    """Makes reservation calls and feeds back how each ended."""

    def __init__(
        self,
        pool: ConnectionPool,
        path: Callable[[str], str | None],
        feed: Callable[[events.Event], None],
        check: Callable[[effects.Reserve], Denial | None],
    ) -> None:
        self._pool = pool
        self._path = path  # returns a request's path, None where the endpoints take no reservations
        self._feed = feed
        self._check = check  # returns why a reservation may not be made any more, None if it may

    async def run(self, effect: effects.Reserve, prefill: RunningAttempt | None) -> None:
        """Reserve once the prefill is being written: before that no endpoint would know of it."""
        outcome = ReservationOutcome.NOT_MADE
        try:
            path = self._path(effect.request_id)
            if prefill is not None and path is not None:
                await prefill.written.wait()
                if not prefill.ended:
                    outcome = await self._call(effect, path, prefill.task)
        except BaseException:
            outcome = ReservationOutcome.UNANSWERED
            raise
        finally:
            self._feed(events.ReservationEnded(effect.request_id, effect.attempt, outcome))

    async def _call(
        self, effect: effects.Reserve, path: str, prefill: asyncio.Task[events.AttemptEnded]
    ) -> ReservationOutcome:
        """Make a reservation call; drop it where it has not been written when the prefill ends.

        A connection may come up late: the capacity would be reserved for nobody."""
        written = asyncio.Event()

        def before_write(_headers: MutableMapping[str, str], _transport: asyncio.Transport | None) -> None:
            self._withdraw_if_denied(effect)

        call = UpstreamCall("POST", effect.endpoint.address, path, written=written, before_write=before_write)
        work = self._pool.call(call, RESERVATION_TIMEOUT)
        task = asyncio.get_running_loop().create_task(work)
        try:
            await asyncio.wait({task, prefill}, return_when=asyncio.FIRST_COMPLETED)
            if not written.is_set():
                return ReservationOutcome.NOT_MADE
            return RESERVATION_OUTCOMES.get(await task, ReservationOutcome.UNKNOWN)
        finally:
            task.cancel()

    def _withdraw_if_denied(self, effect: effects.Reserve) -> None:
        """Raise AttemptWithdrawnError where the reason for a reservation has gone."""
        denial = self._check(effect)
        if denial is None:
            return
        log.emit_rate_limited("reservation_withdrawn", request=effect.request_id, reason=denial.value)
        raise AttemptWithdrawnError
