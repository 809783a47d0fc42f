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

RESERVATION_TIMEOUT = timedelta(seconds=1)  # time limit of one reservation call
# Outcomes by the HTTP status of the response; the status is None if there was no response.
# After any other status the outcome is UNKNOWN, and a reservation may exist.
RESERVATION_OUTCOMES = {
    200: ReservationOutcome.RESERVED,
    409: ReservationOutcome.REJECTED,
    404: ReservationOutcome.NOT_MADE,
    None: ReservationOutcome.UNANSWERED,
}


class ReservationClient:
    """Makes reservation calls, and reports the end of each to the lifecycle as an event."""

    def __init__(
        self,
        pool: ConnectionPool,
        path: Callable[[str], str | None],
        feed: Callable[[events.Event], None],
        check: Callable[[effects.Reserve], Denial | None],
    ) -> None:
        self._pool = pool
        # Returns the path for the reservation of a request, or None if endpoints support no reservations.
        self._path = path
        self._feed = feed
        # Returns the reason why a reservation may no longer be made, or None if it may still be made.
        self._check = check

    async def run(self, effect: effects.Reserve, prefill: RunningAttempt | None) -> None:
        """Make a reservation call once the prefill attempt is being written.

        Before that, no endpoint knows the request, and the decode endpoint would answer that the prefill is
        unknown."""
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
        """Make a reservation call; cancel it if the prefill ends before the call is written.

        Connecting may take longer than the prefill. A reservation after the prefill would stay unused."""
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
        """Raise AttemptWithdrawnError if the reservation may no longer be made."""
        denial = self._check(effect)
        if denial is None:
            return
        log.emit_rate_limited("reservation_withdrawn", request=effect.request_id, reason=denial.value)
        raise AttemptWithdrawnError
