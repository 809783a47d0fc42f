"""Forward TCP connections through a proxy that injects partitions, resets and refused connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

READ_SIZE = 1 << 16  # maximum number of bytes in one read


class FaultProxy:
    """A TCP proxy in front of one target address; its faults apply to all connections.

    A partition stops the bytes in both directions, as if the target's host were cut off from the network.
    The proxy still accepts new connections during a partition. This matters little, because most calls use
    connections that are already open. `on_bytes` is called with each piece of data that a client sends."""

    def __init__(self, target: tuple[str, int], on_bytes: Callable[[bytes], None] | None = None) -> None:
        self._target = target
        self._on_bytes = on_bytes
        self._forwarding = asyncio.Event()
        self._forwarding.set()
        self._forwarding_responses = asyncio.Event()  # Cleared by `block_responses`.
        self._forwarding_responses.set()
        self._transports: set[asyncio.WriteTransport] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._port = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the host and port on which the proxy listens."""
        return f"127.0.0.1:{self._port}"

    async def listen(self) -> None:
        """Listen for connections; a later call listens on the same port as the first."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Stop listening, so that new connections are refused."""
        if self._server is not None:
            self._server.close()

    def partition(self) -> None:
        """Stop forwarding bytes in both directions until `end_partition` is called."""
        self._forwarding.clear()

    async def wait_until_responses_pass(self) -> None:
        """Wait until the proxy forwards bytes from the target to the clients."""
        await self._forwarding.wait()
        await self._forwarding_responses.wait()

    def block_responses(self) -> None:
        """Start a one-way partition: bytes from the target are held until `end_partition` is called."""
        self._forwarding_responses.clear()

    def end_partition(self) -> None:
        """Forward bytes again, starting with the bytes that arrived during the partition."""
        self._forwarding.set()
        self._forwarding_responses.set()

    def reset(self) -> None:
        """Reset all open connections."""
        for transport in list(self._transports):
            transport.abort()

    async def close(self) -> None:
        """Stop listening, reset all connections and cancel the forwarding tasks."""
        self.refuse()
        self.end_partition()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection in both directions until both directions end."""
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        transports = {writer.transport, target_writer.transport}
        self._transports |= transports
        upstream = asyncio.ensure_future(self._forward(reader, target_writer, self._on_bytes))
        downstream = asyncio.ensure_future(self._forward(target_reader, writer, None, is_from_target=True))
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
        is_from_target: bool = False,
    ) -> None:
        """Forward the bytes of one direction of a connection, then its end of file."""
        try:
            while data := await reader.read(READ_SIZE):
                if on_bytes is not None:
                    on_bytes(data)
                if is_from_target:
                    await self.wait_until_responses_pass()
                await self._wait_for_partition_end(reader)
                writer.write(data)
                await writer.drain()
            await self._forwarding.wait()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, RuntimeError, OSError):
            writer.transport.abort()

    async def _wait_for_partition_end(self, reader: asyncio.StreamReader) -> None:
        """Wait until no partition is in force.

        Raise the reader's error if the connection was reset in the meantime. Its pending data is then lost,
        as on a real network."""
        await self._forwarding.wait()
        error = reader.exception()
        if error is not None:
            raise error
