"""Fetches endpoints' load reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

from llm_router.lifecycle import effects, events
from llm_router.routing.events import NO_REPORT, AttemptStatus, LoadReport
from llm_router.transport.clock import elapsed_since
from llm_router.transport.pool import ConnectionPool

PROBE_TIMEOUT = timedelta(milliseconds=250)  # time limit of a load probe; a later load report is outdated


class LoadProber:
    """Makes load probes, and passes each load report or failure to the lifecycle as an event."""

    def __init__(
        self,
        pool: ConnectionPool,
        path: str,
        read_report: Callable[[bytes], LoadReport],
        feed: Callable[[events.Event], None],
    ) -> None:
        self._pool = pool
        self._path = path
        self._read_report = read_report
        self._feed = feed

    async def probe(self, effect: effects.FetchLoadReport) -> None:
        """Fetch an endpoint's load report and pass the result to the lifecycle as an event."""
        start = asyncio.get_running_loop().time()
        response = await self._pool.fetch(effect.endpoint.address, self._path, PROBE_TIMEOUT)
        status = AttemptStatus.TIMEOUT
        report = NO_REPORT
        if response is not None:
            status = AttemptStatus.OK if response.status == 200 else AttemptStatus.ERROR
        if response is not None and status is AttemptStatus.OK:
            report = self._read_report(response.body)
        self._feed(events.LoadReportReceived(effect.endpoint_id, status, elapsed_since(start), report))
