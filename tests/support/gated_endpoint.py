"""Stand in for an endpoint whose steps the test can delay with gates (events that can be cleared)."""

from __future__ import annotations

import asyncio

from endpoint_handlers import DONE, EVENT, STREAM
from lease_record import LeaseRecord

from llm_router.emulator.background_tasks import BackgroundTasks
from llm_router.emulator.http import LAST_CHUNK, Message, chunk, message, read_message

READ_SIZE = 1 << 16  # bytes
# Delay in seconds of the answer to a reservation call for a request that has no prefill in flight.
UNKNOWN_RESERVATION_DELAY = 0.3


class GatedEndpoint:
    """A stand-in endpoint of one kind, which records its KV state and reservations.

    While `inbound` is cleared, the endpoint does not receive the bytes that are sent to it. While `finish` is
    cleared, no prefill ends and no decode starts its stream."""

    def __init__(self, record: LeaseRecord, name: str, kind: str) -> None:
        self.name = name
        self.kind = kind
        self.inbound = asyncio.Event()
        self.inbound.set()
        self.finish = asyncio.Event()
        self.finish.set()
        self.answers_reservations = True
        self.answers_releases = True
        self.truncates_prefill_responses = False  # if True, the last byte of their bodies is never sent
        self.grants_reservations = True
        self.resets_prefills = False
        self.calls: list[str] = []  # method and path of each received call
        self.sent_lines: list[str] = []  # first line of each piece of data sent, received or not
        self._record = record
        self._idle: set[asyncio.StreamWriter] = set()  # connections without a call in flight
        self._tasks = BackgroundTasks()
        self._server: asyncio.Server | None = None
        self._port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._port}"

    async def __aenter__(self) -> GatedEndpoint:
        await self.listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.refuse()
        self._tasks.cancel()

    async def listen(self) -> None:
        """Accept connections; after `refuse`, do so at the same address as before."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Refuse new connections, like an endpoint that has reached its connection limit."""
        self._server.close()

    def close_idle(self) -> None:
        """Close the connections without a call in flight."""
        for writer in self._idle:
            writer.close()

    def called(self, method: str) -> list[str]:
        """Return the received calls with a given HTTP method."""
        return [call for call in self.calls if call.startswith(method)]

    def has_been_sent(self, start: str) -> bool:
        """Return whether a call whose request line starts with `start` was sent, even if not yet received."""
        return any(line.startswith(start) for line in self.sent_lines)

    async def _forward(self, source: asyncio.StreamReader, inbound: asyncio.StreamReader) -> None:
        """Forward the sent bytes and the end of the connection while the `inbound` gate is open."""
        try:
            while data := await source.read(READ_SIZE):
                self.sent_lines.append(data.decode("latin-1").partition("\r\n")[0])
                await self._record.notify()
                await self.inbound.wait()
                inbound.feed_data(data)
        except ConnectionError:
            pass
        await self.inbound.wait()
        inbound.feed_eof()

    async def _serve(self, source: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        inbound = asyncio.StreamReader(1 << 20)
        self._tasks.spawn(self._forward(source, inbound))
        self._idle.add(writer)
        try:
            while call := await read_message(inbound):
                self._idle.discard(writer)
                self.calls.append(f"{call.method} {call.path}")
                await self._answer(call, inbound, writer)
                if writer.is_closing():
                    return
                self._idle.add(writer)
        finally:
            self._idle.discard(writer)
            writer.close()

    async def _answer(
        self, call: Message, inbound: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call."""
        request_id = call.headers.get("x-correlation-id", call.path.rpartition("/")[2])
        if call.method == "DELETE":
            await self._release(request_id, writer)
        elif call.path.startswith("/v1/holds/"):
            await self._reserve(request_id, writer)
        elif self.kind == "prefill":
            await self._prefill(request_id, inbound, writer)
        else:
            await self._decode(request_id, inbound, writer)

    async def _release(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Free the KV state and reservations of a request, unless a decode attempt is in flight for it."""
        async with self._record.changing(request_id) as request:
            if not request.decodes:
                request.leased = set()
        if not self.answers_releases:
            await asyncio.Event().wait()
        writer.write(message("HTTP/1.1 204 No Content"))

    async def _reserve(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        known = self._record.of(request_id).prefills > 0
        if self.grants_reservations:
            async with self._record.changing(request_id, restart_timer=True) as request:
                request.leased = {*request.leased, f"reservation at {self.name}"}
        if not self.answers_reservations:
            await asyncio.Event().wait()
        if not known:
            await asyncio.sleep(UNKNOWN_RESERVATION_DELAY)
            writer.write(message("HTTP/1.1 204 No Content"))
        elif self.grants_reservations:
            writer.write(message("HTTP/1.1 200 OK"))
        else:
            writer.write(message("HTTP/1.1 409 Conflict"))

    async def _wait_until_finished(self, inbound: asyncio.StreamReader) -> bool:
        """Wait for the `finish` gate; return False if the router closes the connection first."""
        finishing = asyncio.ensure_future(self.finish.wait())
        disconnected = asyncio.ensure_future(inbound.read(1))
        await asyncio.wait({finishing, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        completed = finishing.done()
        finishing.cancel()
        disconnected.cancel()
        await asyncio.wait({finishing, disconnected})
        return completed

    async def _prefill(
        self, request_id: str, inbound: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        async with self._record.changing(request_id) as request:
            request.prefills += 1
        if self.resets_prefills:
            async with self._record.changing(request_id, restart_timer=True) as request:
                request.prefills -= 1
            writer.transport.abort()
            self._tasks.spawn(self._finish_orphaned_prefill(request_id))
            return
        completed = await self._wait_until_finished(inbound)
        async with self._record.changing(request_id, restart_timer=True) as request:
            request.prefills -= 1
            if completed:
                request.leased = {*request.leased, self._kv_state}
        if completed:
            answer = message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}')
            writer.write(answer[:-1] if self.truncates_prefill_responses else answer)
        else:
            writer.close()

    async def _finish_orphaned_prefill(self, request_id: str) -> None:
        """Complete a prefill whose connection was reset, and record its KV state."""
        await self.finish.wait()
        async with self._record.changing(request_id, restart_timer=True) as request:
            request.leased = {*request.leased, self._kv_state}

    async def _decode(
        self, request_id: str, inbound: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self._record.of(request_id).has_kv_state:
            writer.write(message("HTTP/1.1 410 Gone", X_Unprocessed=1))
            return
        async with self._record.changing(request_id) as request:
            request.decodes += 1
        if await self._wait_until_finished(inbound):
            async with self._record.changing(request_id) as request:
                request.leased = set()
                request.answered = True
            writer.write(STREAM + chunk(EVENT) + chunk(DONE) + LAST_CHUNK)
        else:
            writer.close()
        async with self._record.changing(request_id, restart_timer=True) as request:
            request.decodes -= 1

    @property
    def _kv_state(self) -> str:
        return f"KV state at {self.name}"
