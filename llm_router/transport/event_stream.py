"""Sends streams of server-sent events to HTTP/1.1 clients."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

from aiohttp import web

from llm_router.transport.client_answer import ClientAnswer


class StreamedResponse(web.StreamResponse):
    """A streamed response to a client; after an abort the final chunk is never sent."""

    aborted = False
    announces_close = False  # Whether the head tells the client that its connection closes.

    def announce_close(self) -> None:
        """Tell the client in the head that its connection closes after the stream."""
        self.announces_close = True
        self.force_close()

    def keep_open(self) -> None:
        """Keep the client's connection open after the stream, although its close was announced."""
        self._keep_alive = True  # aiohttp has no public way back.

    def abort(self, request: web.BaseRequest) -> None:
        """Close the client's connection in the middle of the stream."""
        self.aborted = True
        self.force_close()
        if request.transport is not None:
            request.transport.close()

    async def write_eof(self, data: bytes = b"") -> None:
        """End the stream, unless it was aborted."""
        if not self.aborted:
            await super().write_eof(data)


class EventStreamSink:
    """Sends a response's events to a client as a chunked stream."""

    buffered = False

    def __init__(
        self, request: web.BaseRequest, response: StreamedResponse, closes_after: Callable[[], bool]
    ) -> None:
        self.request = request
        self.response = response
        # Returns whether the client's connection closes after the stream, as far as it is known now.
        self._closes_after = closes_after
        self.answer = ClientAnswer()

    async def start(self, _status: int, _headers: Mapping[str, str]) -> None:
        """Send the response head, which is the same for all streams."""
        if self._closes_after():
            self.response.announce_close()
        await self._ignore_disconnect(self.response.prepare(self.request))

    async def write(self, data: bytes) -> None:
        """Send complete events."""
        await self._ignore_disconnect(self.response.write(data))

    async def finish(self) -> None:
        """Send the end of the stream, which completes the final answer."""
        await self._ignore_disconnect(self.response.write_eof())
        self.answer.complete(self.response)

    def abort(self) -> None:
        """Close the client's connection in the middle of the stream, which ends the final answer."""
        self.response.abort(self.request)
        self.answer.complete(self.response)

    @staticmethod
    async def _ignore_disconnect(write: Awaitable[object]) -> None:
        """Await a write to the client, and ignore a connection error.

        The error must not count as a failure of the endpoint. If the client has disconnected, its handler is
        cancelled anyway."""
        try:
            await write
        except OSError:
            return
