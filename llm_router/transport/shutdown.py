"""The orderly end of a server: clients that still come are served, open requests are finished."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from enum import Enum, auto

from llm_router.transport.acceptor import Acceptor
from llm_router.transport.clock import to_seconds
from llm_router.transport.http_server import HttpServer

LINGER = timedelta(seconds=0.5)  # after SIGTERM, as clients keep coming for 0.2 to 0.4 s
ACCEPT_TIMEOUT = timedelta(milliseconds=300)  # for connections that still wait to be accepted
ACCEPT_TIMEOUT_FAILING = timedelta(seconds=2)  # the same while accept fails
CLOSE_TIMEOUT = timedelta(seconds=2)  # for the last bytes to leave
POLL_INTERVAL = 0.005  # seconds


class ShutdownPhase(Enum):
    """The phases of a server's life, in the order in which `Shutdown.run` enters them."""

    SERVING = auto()
    LINGERING = auto()  # as SERVING, but each connection ends with its answer
    ACCEPTING = auto()  # the connections that wait to be accepted are accepted, then no more
    DRAINING = auto()  # idle connections are ended, open requests are finished
    CLOSING = auto()  # the last bytes leave
    CLOSED = auto()


class Shutdown:
    """Ends a server phase by phase."""

    def __init__(self, http_server: HttpServer, open_requests: Callable[[], int]) -> None:
        self._http_server = http_server
        self._open_requests = open_requests  # returns how many requests are being handled
        self._loop = asyncio.get_running_loop()
        self.phase = ShutdownPhase.SERVING

    async def run(self, acceptor: Acceptor) -> None:
        """Take what still comes for a moment, then close what is idle and wait for the rest."""
        self.phase = ShutdownPhase.LINGERING
        await asyncio.sleep(to_seconds(LINGER))
        self.phase = ShutdownPhase.ACCEPTING
        await self._accept_queued(acceptor)
        acceptor.close()
        self.phase = ShutdownPhase.DRAINING
        self._http_server.drain()
        while self._open_requests() or self._http_server.has_open_requests:
            await asyncio.sleep(POLL_INTERVAL)
        self.phase = ShutdownPhase.CLOSING
        end = self._loop.time() + to_seconds(CLOSE_TIMEOUT)
        while self._http_server.connections and self._loop.time() < end:
            await asyncio.sleep(POLL_INTERVAL)
        self.phase = ShutdownPhase.CLOSED

    async def _accept_queued(self, acceptor: Acceptor) -> None:
        """Wait until the connections that wait are accepted: closing the listener would reset them.

        While accept fails the wait is longer: the kernel has accepted their connections all the same."""
        start = self._loop.time()
        while not acceptor.drained:
            timeout = ACCEPT_TIMEOUT_FAILING if acceptor.failing else ACCEPT_TIMEOUT
            if self._loop.time() - start > to_seconds(timeout):
                return
            await asyncio.sleep(POLL_INTERVAL)
