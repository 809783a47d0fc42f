"""Serve HTTP calls with a handler that the test provides, and record the calls."""

import asyncio

from time_limits import within

from llm_router.emulator.http import read_message


class StandInServer:
    """An HTTP server that records each call and answers it with `handler(call, writer)`."""

    def __init__(self, handler):
        self.handler = handler
        self.calls = []
        self.call_received = asyncio.Condition()
        self.closed = asyncio.Queue()  # calls whose connection was closed before they were answered
        self.open = set()  # transports of the open connections

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve(self, reader, writer):
        """Answer the calls on one connection."""
        self.open.add(writer.transport)
        try:
            while call := await read_message(reader):
                await self.record(call)
                answered = await self.answer_unless_closed(call, reader, writer)
                if not answered or writer.is_closing():
                    return
        finally:
            self.open.discard(writer.transport)
            writer.close()

    async def record(self, call):
        """Record a call, and wake the tasks that wait for calls."""
        async with self.call_received:
            self.calls.append(call)
            self.call_received.notify_all()

    async def answer_unless_closed(self, call, reader, writer):
        """Answer a call, unless the client closes the connection first; return whether it was answered."""
        answering = asyncio.ensure_future(self.handler(call, writer))
        disconnected = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({answering, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        if not answering.done():
            answering.cancel()
            self.closed.put_nowait(call)
            return False
        disconnected.cancel()
        await asyncio.wait({disconnected})
        return True

    def named(self, start):
        """Return the recorded calls whose request line starts with `start`."""
        return [call for call in self.calls if call[0].startswith(start)]

    async def wait_for(self, start, count=1):
        """Wait for `count` calls whose request line starts with `start`, and return these calls."""
        async with self.call_received:
            await within(self.call_received.wait_for(lambda: len(self.named(start)) >= count))
        return self.named(start)
