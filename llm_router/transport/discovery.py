"""Watches discovery; what it tells goes to the core as it comes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import aiohttp
import orjson

from llm_router import log
from llm_router.configuration import RouterConfig
from llm_router.lifecycle.events import EndpointListReceived
from llm_router.transport.pool import ConnectionPool

WAIT = timedelta(seconds=2.5)  # that discovery may hold a watch open
CALL = timedelta(seconds=1.2)  # for an answer beyond that wait, connecting included: an agent answers at once
PAUSE = timedelta(milliseconds=60)  # after a failed call: the next must come within 200 ms
HEDGE_LEAST = timedelta(milliseconds=300)  # then another call for the list goes out beside one that hangs
HEDGE_MULTIPLE = 2  # of the time that the last list took: crowded discovery is not asked the more for it
LIST_CALLS_MOST = 3  # calls for the list that are out at once
LIST_PATH = "/registry/instances"
FAILURES = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class Discovery:
    """One watch that goes on for ever, from a version that is known."""

    def __init__(
        self, pool: ConnectionPool, address: str, read: Callable[[dict], EndpointListReceived], feed: Callable
    ) -> None:
        self.pool, self.address, self.read, self.feed = pool, address, read, feed
        self.index: int | None = None
        self.failing = False
        self.list_took = timedelta()  # the time that the last whole list took
        self.heard_at: float | None = None  # the loop's time of the last answer

    def __str__(self) -> str:
        return self.address

    def moved(self, config: RouterConfig) -> Discovery:
        """Give a new configuration's watch: another agent may number lists anew, so it asks for all."""
        moved = Discovery(self.pool, "{}:{}".format(*config.discovery), self.read, self.feed)
        moved.heard_at = self.heard_at
        return moved

    def accept_list(self, answer: object) -> None:
        """Take an answer in: a whole list replaces all, changes apply to a list we have."""
        if not isinstance(answer, dict) or not isinstance(answer.get("index"), int):
            raise ValueError("the list has no index")
        whole = bool(answer.get("snapshot"))
        if not whole and self.index is not None and answer["index"] < self.index:
            # Guards against an agent that started anew: its changes belong to a list that we do not have.
            self.index = None
            return
        listed = self.read(answer)
        self.index = answer["index"]
        if whole or listed.endpoints:
            self.feed(replace(listed, since_last_answer=self.unheard()))

    def unheard(self) -> timedelta | None:
        """Give how long ago the last answer came, None if there was none."""
        if self.heard_at is None:
            return None
        return timedelta(seconds=asyncio.get_running_loop().time() - self.heard_at)

    async def watch(self) -> None:
        """Watch until cancelled."""
        while True:
            try:
                answer = await (self.ask_for_list() if self.index is None else self.ask_for_changes())
                self.accept_list(answer)
                self.heard_at = asyncio.get_running_loop().time()
            except FAILURES as error:
                self.lost(error)
                await asyncio.sleep(PAUSE.total_seconds())
                continue
            except Exception:
                self.index = None
                raise
            if self.failing:
                log.emit("discovery_recovered", index=self.index)
            self.failing = False

    def lost(self, error: Exception) -> None:
        """Note a failed call; the whole list is asked for next, as changes may have been missed."""
        if not self.failing:
            log.emit("discovery_lost", error=repr(error))
        self.failing = True
        self.index = None

    async def ask_for_changes(self) -> object:
        """Ask for what changed since the version that is known, or will within the wait."""
        path = f"{LIST_PATH}?since={self.index}&timeout_ms={WAIT // timedelta(milliseconds=1)}"
        return await self.call(path, WAIT + CALL)

    async def ask_for_list(self) -> object:
        """Ask for the whole list; the first of several calls that is answered counts.

        Guards against a call that is out when discovery comes back and is never answered: while it hangs,
        others go out beside it."""
        loop = asyncio.get_running_loop()
        out: set[asyncio.Task] = set()
        next_at = loop.time()
        try:
            while True:
                if loop.time() >= next_at and len(out) < LIST_CALLS_MOST:
                    out.add(loop.create_task(self.call_for_list()))
                    hedge = max(HEDGE_LEAST, HEDGE_MULTIPLE * self.list_took)
                    next_at = loop.time() + hedge.total_seconds()
                timeout = None if len(out) == LIST_CALLS_MOST else max(0.0, next_at - loop.time())
                ended, out = await asyncio.wait(out, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
                for call in sorted(ended, key=lambda call: call.exception() is not None):
                    if (error := call.exception()) is None:
                        return call.result()
                    if not out or not isinstance(error, FAILURES):
                        raise error
                    self.lost(error)
        finally:
            for call in out:
                call.cancel()
            await asyncio.gather(*out, return_exceptions=True)

    async def call_for_list(self) -> object:
        """Make one call for the whole list, and note how long it took."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        answer = await self.call(LIST_PATH, CALL)
        self.list_took = timedelta(seconds=loop.time() - begun)
        return answer

    async def call(self, path: str, patience: timedelta) -> object:
        """Make one call and give its answer.

        Guards against calls that fall silent or are cut off, at whatever point: a change counts as told 6 s
        after discovery had it, and the next call has to have it by then."""
        async with asyncio.timeout(patience.total_seconds()):
            async with self.pool.request("GET", self.address, path) as answer:
                body = await answer.read()
        if answer.status != 200:
            raise ValueError(f"status {answer.status}")
        return orjson.loads(body)
