"""Shuts down a server gracefully: late clients are served, and open requests are finished."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from enum import Enum, auto

from llm_router.transport.acceptor import Acceptor
from llm_router.transport.clock import to_seconds
from llm_router.transport.http_server import HttpServer

# Time after SIGTERM during which new connections are accepted.
# Clients may still connect for up to 0.2 to 0.4 s after SIGTERM.
GRACE_PERIOD = timedelta(seconds=0.5)
# Requests that are complete later than this after SIGTERM are rejected.
# The platform may kill the process before their responses end, and such a response is lost if its request
# came more than 0.7 s after SIGTERM. The difference covers a delay of the event loop.
FORWARDING_PERIOD = timedelta(seconds=0.55)
# Requests received behind others are answered until this time after SIGTERM.
# The process may be killed soon after it.
ANSWERING_PERIOD = timedelta(seconds=3)
# Time limit for accepting the connections in the accept queue.
ACCEPT_TIMEOUT = timedelta(milliseconds=300)
# This time limit replaces ACCEPT_TIMEOUT while accept calls fail.
ACCEPT_TIMEOUT_FAILING = timedelta(seconds=2)
CLOSE_TIMEOUT = timedelta(seconds=2)  # time limit for connections to send their last bytes and close
POLL_INTERVAL = 0.005  # seconds between two checks of a phase's end


class ShutdownPhase(Enum):
    """The phases of a server, in the order in which `Shutdown.run` enters them."""

    SERVING = auto()  # No shutdown was requested.
    IN_GRACE_PERIOD = auto()  # New connections are accepted, and each one closes after its response.
    ACCEPTING = auto()  # The remaining connections in the accept queue are accepted.
    DRAINING = auto()  # Idle connections are closed, and open requests are finished.
    CLOSING = auto()  # All requests are answered, and connections send their last bytes.
    CLOSED = auto()  # The shutdown is complete.


class Shutdown:
    """A graceful shutdown of one server; `phase` is the current phase."""

    def __init__(self, http_server: HttpServer, open_requests: Callable[[], int]) -> None:
        self._http_server = http_server
        # The function that returns the number of requests being handled.
        self._open_requests = open_requests
        self._loop = asyncio.get_running_loop()
        self.phase = ShutdownPhase.SERVING
        self._requested_at: float | None = None  # loop time in seconds at which the shutdown began

    def is_too_late(self, received_at: float) -> bool:
        """Return whether a request that was complete at this loop time must be rejected."""
        if self._requested_at is None:
            return False
        return received_at > self._requested_at + to_seconds(FORWARDING_PERIOD)

    async def run(self, acceptor: Acceptor) -> None:
        """Serve late clients for a grace period, then close idle connections and finish open requests."""
        self._requested_at = self._loop.time()
        self.phase = ShutdownPhase.IN_GRACE_PERIOD
        await asyncio.sleep(to_seconds(GRACE_PERIOD))
        self.phase = ShutdownPhase.ACCEPTING
        await self._accept_queued(acceptor)
        acceptor.close()
        self.phase = ShutdownPhase.DRAINING
        self._http_server.drain(self._requested_at + to_seconds(ANSWERING_PERIOD))
        while self._open_requests() or self._http_server.has_open_requests:
            await asyncio.sleep(POLL_INTERVAL)
        self.phase = ShutdownPhase.CLOSING
        end = self._loop.time() + to_seconds(CLOSE_TIMEOUT)
        while self._http_server.connections and self._loop.time() < end:
            await asyncio.sleep(POLL_INTERVAL)
        self.phase = ShutdownPhase.CLOSED

    async def _accept_queued(self, acceptor: Acceptor) -> None:
        """Wait until the accept queue is empty, because closing the listener resets queued connections.

        The time limit is longer while accept calls fail, because the kernel has already accepted these
        connections."""
        start = self._loop.time()
        while not acceptor.drained:
            timeout = ACCEPT_TIMEOUT_FAILING if acceptor.failing else ACCEPT_TIMEOUT
            if self._loop.time() - start > to_seconds(timeout):
                return
            await asyncio.sleep(POLL_INTERVAL)
