"""A response whose body is counted in a memory budget."""

from __future__ import annotations

import weakref
from typing import Any

from aiohttp import web

from llm_router.transport.memory_budget import MemoryShare


class CountedResponse(web.Response):
    """A response whose body stays counted until it has been sent, or until the response is dropped unsent.

    The body is dropped once it has been sent, because aiohttp keeps the last response of each connection."""

    def __init__(self, share: MemoryShare, **parameters: Any) -> None:  # noqa: ANN401  # aiohttp's parameters
        super().__init__(**parameters)
        self._release = weakref.finalize(self, share.release)

    async def write_eof(self, data: bytes = b"") -> None:
        """Send the body; a client that reads slowly delays the end of this call."""
        try:
            await super().write_eof(data)
        finally:
            self.body = None
            self._release()
