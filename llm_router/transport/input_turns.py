"""Shares the event loop among the client connections that send more than the router keeps."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Protocol

# Number of connections that get a turn in one iteration of the event loop.
# With the bytes of one turn, this bounds the input that is discarded before other clients are served.
TURNS_PER_ITERATION = 16


class WaitingConnection(Protocol):
    """A connection that waits until it may receive and discard more input."""

    def take_input_turn(self) -> None:
        """Receive and discard a limited amount of input."""


class InputTurns:
    """Gives waiting connections their turns in the order in which they asked for one."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: OrderedDict[WaitingConnection, None] = OrderedDict()
        self._is_scheduled = False

    def add(self, connection: WaitingConnection) -> None:
        """Give a connection a turn in one of the next iterations; it has at most one place in the order."""
        self._waiting.setdefault(connection)
        self._schedule()

    def remove(self, connection: WaitingConnection) -> None:
        """Forget a connection, which may not wait."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        for _ in range(min(TURNS_PER_ITERATION, len(self._waiting))):
            connection, _ = self._waiting.popitem(last=False)
            connection.take_input_turn()
        self._schedule()
