"""Forward TCP connections with the faults of a network: partition, reset and refusal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

READ_SIZE = 1 << 16  # bytes


class FaultProxy:
    """A proxy before one target; its faults apply to all connections.

    While partitioned, nothing passes in either direction, as with a machine that is cut off. Connections
    still come up, as most do over ones that are already open. `on_bytes` gets each piece of data from the
    client's side."""

    def __init__(self, target: tuple[str, int], on_bytes: Callable[[bytes], None] | None = None) -> None:
        self._target = target
        self._on_bytes = on_bytes
        self._passable = asyncio.Event()
        self._passable.set()
        self._answers_passable = asyncio.Event()  # cleared while only what the target sends is held up
        self._answers_passable.set()
        self._transports: set[asyncio.WriteTransport] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._port = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the address at which it listens."""
        return f"127.0.0.1:{self._port}"

    async def listen(self) -> None:
        """Accept connections, at the same port as before."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Refuse new connections."""
        if self._server is not None:
            self._server.close()

    def partition(self) -> None:
        """Let no bytes pass until `end_partition` is called."""
        self._passable.clear()

    async def wait_until_answers_pass(self) -> None:
        """Wait until what the target sends reaches the other side."""
        await self._passable.wait()
        await self._answers_passable.wait()

    def block_responses(self) -> None:
        """Let no bytes pass from the target until `end_partition` is called: a partition in one direction."""
        self._answers_passable.clear()

    def end_partition(self) -> None:
        """Let bytes pass, those that arrived during a partition first."""
        self._passable.set()
        self._answers_passable.set()

    def reset(self) -> None:
        """Reset all connections."""
        for transport in list(self._transports):
            transport.abort()

    async def close(self) -> None:
        """End all connections and tasks."""
        self.refuse()
        self.end_partition()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection in both directions until both end."""
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        transports = {writer.transport, target_writer.transport}
        self._transports |= transports
        upstream = asyncio.ensure_future(self._forward(reader, target_writer, self._on_bytes))
        downstream = asyncio.ensure_future(self._forward(target_reader, writer, None, is_answer=True))
        tasks = {upstream, downstream}
        self._tasks |= tasks
        try:
            await asyncio.wait(tasks, return_when=asyncio.ALL_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            self._tasks -= tasks
            self._transports -= transports
            for transport in transports:
                transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_bytes: Callable[[bytes], None] | None,
        is_answer: bool = False,
    ) -> None:
        """Forward one direction of a connection, and its end."""
        try:
            while data := await reader.read(READ_SIZE):
                if on_bytes is not None:
                    on_bytes(data)
                if is_answer:
                    await self.wait_until_answers_pass()
                await self._wait_until_passable(reader)
                writer.write(data)
                await writer.drain()
            await self._passable.wait()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, RuntimeError, OSError):
            writer.transport.abort()

    async def _wait_until_passable(self, reader: asyncio.StreamReader) -> None:
        """Wait for the end of a partition.

        Data that a reset overtakes meanwhile is lost, as with bytes that no machine received."""
        await self._passable.wait()
        error = reader.exception()
        if error is not None:
            raise error
