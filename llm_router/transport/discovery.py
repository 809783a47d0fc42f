"""Watches discovery and passes the endpoint lists that it returns to the lifecycle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import timedelta
from typing import Any

import aiohttp
import orjson

from llm_router import log
from llm_router.configuration import RouterConfig
from llm_router.lifecycle.events import EndpointListReceived
from llm_router.transport.body_reader import read_body
from llm_router.transport.clock import elapsed_since, to_milliseconds, to_seconds
from llm_router.transport.pool import ConnectionPool, UpstreamCall

MAX_WATCH_TIME = timedelta(seconds=2.5)  # maximum time that discovery may hold a watch call open
MIN_WATCH_TIME = timedelta(milliseconds=300)
# A watch call is late this long after its watch time; discovery answers at once unless it is overloaded.
MIN_LATENESS = timedelta(seconds=1.2)
MAX_LATENESS = timedelta(seconds=5.2)
LATENESS_FACTOR = 1.5  # multiple of the latency of discovery after which a watch call is late
# A change that a silent watch call misses must reach the router within 6 s, with delays of the event loop.
UPDATE_TIMEOUT = timedelta(seconds=5.7)
LATENCY_DECAY = 0.7  # factor on the latency of discovery at each faster answer
# Time limit of a call, from connecting to the end of the response.
CALL_TIMEOUT = timedelta(seconds=6)
RETRY_DELAY = timedelta(milliseconds=60)  # delay after a failed call; the next call must start within 200 ms
# Delay before a further call for a full snapshot is started, because the previous one may hang.
# It doubles with each call up to the maximum, so that an overloaded discovery does not get more calls.
MIN_HEDGE_DELAY = timedelta(milliseconds=300)
MAX_HEDGE_DELAY = timedelta(seconds=2.4)
HEDGE_FACTOR = 2  # minimum hedge delay as a multiple of the latency of discovery
MAX_LIST_CALLS = (
    3  # maximum number of concurrent calls for a full snapshot; a further one replaces the oldest
)
MAX_LIST_SIZE = 4 * 1024 * 1024  # maximum bytes of a list; 3,200 endpoints take about 1.5 MB when indented
LIST_PATH = "/registry/instances"
CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class Discovery:
    """A watch on one discovery address, which tracks the version of the endpoint list it received last."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        read: Callable[[dict[str, Any]], EndpointListReceived],
        feed: Callable[[EndpointListReceived], None],
    ) -> None:
        self._pool = pool
        self._address = address
        # The function that parses a response. It raises ValueError if the whole list is malformed.
        self._read = read
        self._feed = feed
        # The version of the endpoint list received last, or None if a full snapshot is needed.
        self.index: int | None = None
        self._is_failing = False
        # Recent time that discovery took to answer; for a watch call, beyond its watch time.
        self._latency = timedelta()
        self._last_response: float | None = None  # event loop time of the last response, in seconds

    def __str__(self) -> str:
        return self._address

    def reconfigured(self, config: RouterConfig) -> Discovery:
        """Return a watch for a reloaded configuration, which starts with a full snapshot.

        The version known to the old watch is not used, because another discovery address may number its
        endpoint lists differently."""
        assert config.discovery is not None, "a configuration with a discovery watch has its address"
        reconfigured = Discovery(self._pool, "{}:{}".format(*config.discovery), self._read, self._feed)
        reconfigured._last_response = self._last_response
        return reconfigured

    def accept_list(self, response: object) -> None:
        """Pass a response to the lifecycle as an event; it is a full snapshot or a list of changes.

        Raise ValueError if the response is malformed."""
        if not isinstance(response, dict) or not isinstance(response.get("index"), int):
            raise ValueError("endpoint list has no integer index")
        is_full = bool(response.get("snapshot"))
        if not is_full and self.index is not None and response["index"] < self.index:
            # Discovery has restarted: its changes refer to a list that the router does not have.
            self.index = None
            return
        received = self._read(response)
        self.index = response["index"]
        if is_full or received.endpoints:
            self._feed(replace(received, since_last_answer=self._since_last_response()))

    def _since_last_response(self) -> timedelta | None:
        """Return the time since the last response, or None if there was none."""
        if self._last_response is None:
            return None
        return elapsed_since(self._last_response)

    async def watch(self) -> None:
        """Watch discovery until the task is cancelled."""
        while True:
            try:
                response = await (self._fetch_list() if self.index is None else self._fetch_changes())
                self.accept_list(response)
                self._last_response = asyncio.get_running_loop().time()
            except CALL_ERRORS as error:
                self._on_failure(error)
                await asyncio.sleep(to_seconds(RETRY_DELAY))
                continue
            except Exception:
                self.index = None
                raise
            if self._is_failing:
                log.emit("discovery_recovered", index=self.index)
            self._is_failing = False

    def _on_failure(self, error: BaseException) -> None:
        """Record a failed call, and request a full snapshot next because changes may have been missed."""
        self._log_lost(error)
        self.index = None

    def _log_lost(self, error: BaseException) -> None:
        """Log that discovery does not answer, unless this is known."""
        if not self._is_failing:
            log.emit("discovery_lost", error=repr(error))
        self._is_failing = True

    async def _fetch_changes(self) -> object:
        """Fetch the changes since the known version.

        If the call is late, a full snapshot is fetched as well, and the first of the two responses is used.
        The late call is not given up: an overloaded discovery would have to answer another one instead."""
        watch_time = self._watch_time()
        path = f"{LIST_PATH}?since={self.index}&timeout_ms={to_milliseconds(watch_time)}"
        changes: asyncio.Task[object] = asyncio.create_task(self._fetch_timed(path, watch_time))
        try:
            await asyncio.wait({changes}, timeout=to_seconds(watch_time + self._lateness()))
            if changes.done():
                return changes.result()
            self._log_lost(TimeoutError("a watch call is late"))
            return await first_result(changes, asyncio.create_task(self._fetch_list_with_retries()))
        finally:
            await cancel_all({changes})

    def _lateness(self) -> timedelta:
        """Return the time after its watch time from which a watch call is late."""
        return min(max(MIN_LATENESS, LATENESS_FACTOR * self._latency), MAX_LATENESS)

    def _watch_time(self) -> timedelta:
        """Return the time for which discovery may hold a watch call open.

        It is shorter for a slow discovery, so that a full snapshot arrives in time if the call is silent."""
        available = UPDATE_TIMEOUT - self._lateness() - self._latency
        return max(MIN_WATCH_TIME, min(available, MAX_WATCH_TIME))

    async def _fetch_list_with_retries(self) -> object:
        """Fetch a full snapshot; repeat after each failure, because the late watch call may be silent."""
        while True:
            try:
                return await self._fetch_list()
            except CALL_ERRORS as error:
                self._on_failure(error)
                await asyncio.sleep(to_seconds(RETRY_DELAY))

    async def _fetch_list(self) -> object:
        """Fetch a full snapshot by hedged calls, and return the first valid response.

        The calls are hedged because a call made before discovery restarts may never be answered."""
        running: list[asyncio.Task[object]] = []  # the oldest first
        delay = min(max(MIN_HEDGE_DELAY, HEDGE_FACTOR * self._latency), MAX_HEDGE_DELAY)
        try:
            while True:
                if len(running) == MAX_LIST_CALLS:
                    await cancel_all({running.pop(0)})
                running.append(asyncio.create_task(self._fetch_timed(LIST_PATH)))
                ended = await self._wait_for_list(running, delay)
                if ended is not None:
                    return ended.result()
                delay = min(2 * delay, MAX_HEDGE_DELAY)
        finally:
            await cancel_all(running)

    async def _wait_for_list(
        self, running: list[asyncio.Task[object]], delay: timedelta
    ) -> asyncio.Task[object] | None:
        """Wait for a valid response, and return its call; return None once the next call is due.

        Failed calls are removed from `running`. The call is returned that fails last, if all fail."""
        loop = asyncio.get_running_loop()
        next_call = loop.time() + to_seconds(delay)
        while (timeout := next_call - loop.time()) > 0:
            ended, _ = await asyncio.wait(running, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
            for call in sorted(ended, key=lambda call: call.exception() is not None):
                error = call.exception()
                running.remove(call)
                if error is None or not running or not isinstance(error, CALL_ERRORS):
                    return call
                self._on_failure(error)
        return None

    async def _fetch_timed(self, path: str, watch_time: timedelta = timedelta()) -> object:
        """Make one call that discovery may hold open for the watch time, and record its latency."""
        start = asyncio.get_running_loop().time()
        response = await self._fetch(path, watch_time + CALL_TIMEOUT)
        latency = max(timedelta(), elapsed_since(start) - watch_time)
        self._latency = max(latency, LATENCY_DECAY * self._latency)
        return response

    async def _fetch(self, path: str, timeout: timedelta) -> object:
        """Make one call and return its parsed response; raise one of CALL_ERRORS if it fails.

        The timeout covers a response that stalls or is truncated at any point. A change in discovery must
        reach the router within 6 s, even if one call fails and only the next one returns the change."""
        async with asyncio.timeout(to_seconds(timeout)):
            async with self._pool.request(UpstreamCall("GET", self._address, path)) as response:
                body = await read_body(response.content, MAX_LIST_SIZE)
        if response.status != 200:
            raise ValueError(f"discovery answered with HTTP status {response.status}")
        return orjson.loads(body)


async def first_result(*calls: asyncio.Task[object]) -> object:
    """Return the first result of several calls; raise the last error if all fail, and cancel the others."""
    running = set(calls)
    try:
        while True:
            ended, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            for call in sorted(ended, key=lambda call: call.exception() is not None):
                error = call.exception()
                if error is None or not running or not isinstance(error, CALL_ERRORS):
                    return call.result()
    finally:
        await cancel_all(running)


async def cancel_all(calls: Iterable[asyncio.Task[object]]) -> None:
    """Cancel calls and wait until they have ended."""
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
