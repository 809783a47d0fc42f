"""Watches the discovery agent and feeds the endpoint lists that it returns to the lifecycle."""

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
from llm_router.transport.clock import elapsed_since, to_milliseconds, to_seconds
from llm_router.transport.pool import ConnectionPool, UpstreamCall

WATCH_TIMEOUT = timedelta(seconds=2.5)  # for which the agent may hold a watch call open
# For a response beyond that time, connecting included: an agent answers at once.
CALL_TIMEOUT = timedelta(seconds=1.2)
RETRY_DELAY = timedelta(milliseconds=60)  # after a failed call: the next must come within 200 ms
MIN_HEDGE_DELAY = timedelta(milliseconds=300)  # then a further list call goes out, as the one before may hang
# The hedge delay as a multiple of the time that the last list took: an overloaded agent gets no more calls.
HEDGE_MULTIPLE = 2
MAX_LIST_CALLS = 3  # calls for the list that are out at once
LIST_PATH = "/registry/instances"
CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class Discovery:
    """A watch on one discovery agent, from the version of its list that is known."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        read: Callable[[dict[str, Any]], EndpointListReceived],
        feed: Callable[[EndpointListReceived], None],
    ) -> None:
        self._pool = pool
        self._address = address
        self._read = read  # raises ValueError for a list that is malformed as a whole
        self._feed = feed
        self.index: int | None = None  # the version that is known, None where a full snapshot is needed
        self._is_failing = False
        self._list_duration = timedelta()  # how long the last full snapshot took
        self._last_response: float | None = None  # the loop's time of the last response

    def __str__(self) -> str:
        return self._address

    def reconfigured(self, config: RouterConfig) -> Discovery:
        """Return a new configuration's watch, which starts with a full snapshot.

        Another agent may number its lists differently."""
        assert config.discovery is not None, "a configuration with a discovery watch has its address"
        reconfigured = Discovery(self._pool, "{}:{}".format(*config.discovery), self._read, self._feed)
        reconfigured._last_response = self._last_response
        return reconfigured

    def accept_list(self, response: object) -> None:
        """Feed a response: a full snapshot, or changes to a list that is known.

        Raise ValueError where it is malformed."""
        if not isinstance(response, dict) or not isinstance(response.get("index"), int):
            raise ValueError("the list has no index")
        is_full = bool(response.get("snapshot"))
        if not is_full and self.index is not None and response["index"] < self.index:
            # The agent has restarted: its changes belong to a list that is not known here.
            self.index = None
            return
        received = self._read(response)
        self.index = response["index"]
        if is_full or received.endpoints:
            self._feed(replace(received, since_last_answer=self._since_last_response()))

    def _since_last_response(self) -> timedelta | None:
        """Return how long ago the last response came, None if there was none."""
        if self._last_response is None:
            return None
        return elapsed_since(self._last_response)

    async def watch(self) -> None:
        """Watch until cancelled."""
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
        """Note a failed call; a full snapshot is fetched next, as changes may have been missed."""
        if not self._is_failing:
            log.emit("discovery_lost", error=repr(error))
        self._is_failing = True
        self.index = None

    async def _fetch_changes(self) -> object:
        """Fetch what changed since the known version, or changes within the watch timeout."""
        path = f"{LIST_PATH}?since={self.index}&timeout_ms={to_milliseconds(WATCH_TIMEOUT)}"
        return await self._fetch(path, WATCH_TIMEOUT + CALL_TIMEOUT)

    async def _fetch_list(self) -> object:
        """Fetch a full snapshot by hedged calls; the first one that is answered counts.

        A call that is out when the agent comes back may never be answered."""
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
        """Make one call for a full snapshot, and note how long it took."""
        start = asyncio.get_running_loop().time()
        response = await self._fetch(LIST_PATH, CALL_TIMEOUT)
        self._list_duration = elapsed_since(start)
        return response

    async def _fetch(self, path: str, timeout: timedelta) -> object:
        """Make one call and return its parsed response; raise one of CALL_ERRORS where it fails.

        The timeout covers calls that fall silent or are cut off at any point: a change has to arrive within
        6 s after the agent has it, and the call after a failed one has to return it by then."""
        async with asyncio.timeout(to_seconds(timeout)):
            async with self._pool.request(UpstreamCall("GET", self._address, path)) as response:
                body = await response.read()
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        return orjson.loads(body)
