"""A TCP proxy whose connections can be cut off, held up, reset or refused, as a network does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

PIECE = 1 << 16  # bytes


class FaultProxy:
    """Passes connections on to a target, with faults that hold for all of them.

    `open_gate` closed: nothing passes either way, as where a machine is cut off; connections still come up,
    as most do over ones that are kept. `on_bytes` is told of each piece that comes from the near side."""

    def __init__(self, target: tuple[str, int], on_bytes: Callable[[bytes], None] | None = None) -> None:
        self.target, self.on_bytes = target, on_bytes
        self.gate = asyncio.Event()
        self.gate.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.port = 0
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Give where it listens."""
        return f"127.0.0.1:{self.port}"

    async def listen(self) -> None:
        """Take connections, at the same port as before."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Refuse new connections."""
        if self.server is not None:
            self.server.close()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one connection on."""
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        near = asyncio.ensure_future(self.pump(reader, far_writer, self.on_bytes))
        far = asyncio.ensure_future(self.pump(far_reader, writer, None))
        self.tasks |= {near, far}
        try:
            await asyncio.wait({near, far}, return_when=asyncio.ALL_COMPLETED)
        finally:
            near.cancel()
            far.cancel()
            self.tasks -= {near, far}
            self.writers -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_bytes: Callable[[bytes], None] | None,
    ) -> None:
        """Pass on what comes one way, and its end."""
        try:
            while data := await reader.read(PIECE):
                if on_bytes is not None:
                    on_bytes(data)
                await self.pass_gate(reader)
                writer.write(data)
                await writer.drain()
            await self.gate.wait()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, RuntimeError, OSError):
            writer.transport.abort()

    async def pass_gate(self, reader: asyncio.StreamReader) -> None:
        """Wait at the gate; what a reset overtakes there is lost, as with bytes that no machine took."""
        await self.gate.wait()
        if (error := reader.exception()) is not None:
            raise error

    async def close(self) -> None:
        """End all."""
        self.refuse()
        self.gate.set()
        self.reset()
        for task in list(self.tasks):
            task.cancel()
