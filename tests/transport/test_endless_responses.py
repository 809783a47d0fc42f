"""Checks that endless responses to the router's own calls leave it within its memory limit."""

import asyncio
from datetime import timedelta

from floods import MEGABYTE, MemoryWatch
from stand_ins import StandInServer, chat_request, router_with_endpoints, run

from llm_router.transport.pool import ConnectionPool

MEMORY_MB = 96
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"
PIECE = b"x" * MEGABYTE


async def write_without_end(_call, writer):
    """Write a body until the connection is closed."""
    writer.write(HEAD)
    while not writer.is_closing():
        writer.write(PIECE)
        await writer.drain()


# Guards against a router that is killed because it keeps a whole answer to a reservation, release or probe.
def test_an_endless_answer_to_a_call_is_given_up_at_its_size_limit(configuration):
    written = 0

    async def count_written(_call, writer):
        nonlocal written
        writer.write(HEAD)
        while not writer.is_closing():
            writer.write(PIECE)
            written += len(PIECE)
            await writer.drain()

    async def test():
        pool = ConnectionPool(configuration(), 8)
        async with StandInServer(count_written) as server:
            assert await pool.fetch(server.address, "/stats", timedelta(seconds=2)) is None
            assert written < 32 * MEGABYTE, "no more than the system's buffers hold"
        await pool.close()

    run(test())


# Guards against a router that is killed because it keeps a whole answer of discovery.
def test_endless_endpoint_lists_leave_the_router_within_its_memory_limit(tmp_path):
    async def test():
        async with StandInServer(write_without_end) as discovery:
            limits = {"memory_mb": MEMORY_MB, "sockets": 1024}
            async with router_with_endpoints(tmp_path, discovery=discovery.address, limits=limits) as program:
                with MemoryWatch(program.process.pid).running() as memory:
                    await asyncio.sleep(3)
                assert memory.peak < MEMORY_MB * MEGABYTE
                assert (await program.exchange(chat_request()))[0].split()[1] == "200"

    run(test())
