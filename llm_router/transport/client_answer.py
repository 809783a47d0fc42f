"""The one answer that a client gets to its request."""

from __future__ import annotations

import asyncio
from enum import Enum, auto

from aiohttp import web


class AnswerState(Enum):
    """The states of a client's answer, in order; a router's own answer skips RELAYING."""

    PENDING = auto()  # The client has got nothing.
    RELAYING = auto()  # The response to one attempt is being relayed to the client.
    COMPLETE = auto()  # The client's handler may return the answer.


class ClientAnswer:
    """Decides which answer a client gets: the router's own, or the response to the attempt that is first.

    A later response must not be written to the client, because its next request would get it.
    `done` is the future of the answer."""

    def __init__(self) -> None:
        self.done: asyncio.Future[web.StreamResponse] = asyncio.get_running_loop().create_future()
        self._state = AnswerState.PENDING

    @property
    def is_complete(self) -> bool:
        """Whether the client's answer has ended, although its handler may not have returned it yet."""
        return self._state is AnswerState.COMPLETE

    def claim(self) -> bool:
        """Claim the answer for the response to an attempt; return False if the client has another answer."""
        if self._state is not AnswerState.PENDING:
            return False
        self._state = AnswerState.RELAYING
        return True

    def give(self, response: web.StreamResponse) -> None:
        """Answer with a response of the router's own, unless there is an answer."""
        if self._state is AnswerState.PENDING:
            self._complete(response)

    def complete(self, response: web.StreamResponse) -> None:
        """Complete the answer that was claimed; do nothing if it is complete."""
        if self._state is AnswerState.RELAYING:
            self._complete(response)

    def _complete(self, response: web.StreamResponse) -> None:
        self._state = AnswerState.COMPLETE
        if not self.done.done():  # The future is cancelled if the client has disconnected.
            self.done.set_result(response)
