"""Watches discovery and passes the endpoint lists that it returns to the lifecycle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
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

WATCH_TIMEOUT = timedelta(seconds=2.5)  # maximum time for which discovery may hold a watch call open
# Time limit of a call, from connecting to the end of the response.
# It is short because discovery answers at once; a watch call gets WATCH_TIMEOUT in addition.
CALL_TIMEOUT = timedelta(seconds=1.2)
RETRY_DELAY = timedelta(milliseconds=60)  # delay after a failed call; the next call must start within 200 ms
# Minimum delay before a further call for a full snapshot is started, because the previous one may hang.
MIN_HEDGE_DELAY = timedelta(milliseconds=300)
# Hedge delay as a multiple of the duration of the last call for a full snapshot.
# The delay grows with this duration so that a slow, overloaded discovery does not get more calls.
HEDGE_MULTIPLE = 2
MAX_LIST_CALLS = 3  # maximum number of concurrent calls for a full snapshot
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
        self._list_duration = timedelta()  # duration of the last call for a full snapshot
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
        if not self._is_failing:
            log.emit("discovery_lost", error=repr(error))
        self._is_failing = True
        self.index = None

    async def _fetch_changes(self) -> object:
        """Fetch the changes since the known version; wait up to WATCH_TIMEOUT for the next change."""
        path = f"{LIST_PATH}?since={self.index}&timeout_ms={to_milliseconds(WATCH_TIMEOUT)}"
        return await self._fetch(path, WATCH_TIMEOUT + CALL_TIMEOUT)

    async def _fetch_list(self) -> object:
        """Fetch a full snapshot by hedged calls, and return the first valid response.

        The calls are hedged because a call made before discovery restarts may never be answered."""
        loop = asyncio.get_running_loop()
        running: set[asyncio.Task[object]] = set()
        next_call = loop.time()
        try:
            while True:
                if loop.time() >= next_call and len(running) < MAX_LIST_CALLS:
                    running.add(loop.create_task(self._fetch_list_once()))
                    next_call = loop.time() + to_seconds(self._hedge_delay())
                timeout = None if len(running) == MAX_LIST_CALLS else max(0.0, next_call - loop.time())
                ended, running = await asyncio.wait(
                    running, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
                )
                for call in sorted(ended, key=lambda call: call.exception() is not None):
                    error = call.exception()
                    if error is None:
                        return call.result()
                    if not running or not isinstance(error, CALL_ERRORS):
                        raise error
                    self._on_failure(error)
        finally:
            for call in running:
                call.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    def _hedge_delay(self) -> timedelta:
        return max(MIN_HEDGE_DELAY, HEDGE_MULTIPLE * self._list_duration)

    async def _fetch_list_once(self) -> object:
        """Make one call for a full snapshot, and record its duration."""
        start = asyncio.get_running_loop().time()
        response = await self._fetch(LIST_PATH, CALL_TIMEOUT)
        self._list_duration = elapsed_since(start)
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
