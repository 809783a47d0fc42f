"""Checks how the body of a response is read beside the limits of its time."""

import asyncio
import os
import threading
import time
from contextlib import asynccontextmanager

import aiohttp
import pytest
from stand_ins import STREAM, StandInServer, run

from llm_router.routing.declared_size import GRACE_PERIOD
from llm_router.routing.duration import SECOND
from llm_router.transport.clock import loop_nanoseconds
from llm_router.transport.errors import MalformedResponseError
from llm_router.transport.response_body import ResponseBody
from llm_router.transport.upstream_connector import UpstreamConnector

MILLISECOND = 1_000_000  # nanoseconds


@asynccontextmanager
async def response_body(write):
    """Yield the body of the response that an endpoint writes with `write`."""

    async def handler(_call, writer):
        writer.write(STREAM)
        await write(writer)

    connector = UpstreamConnector()
    async with (
        StandInServer(handler) as server,
        aiohttp.ClientSession(connector=connector) as session,
        session.get(f"http://{server.address}/") as response,
    ):
        yield ResponseBody(response)


# Guards against a stream that is cut because the router was held up while its bytes lay in the kernel.
def test_bytes_that_came_while_the_router_was_held_up_are_not_late():
    async def write(writer):
        descriptor = os.dup(writer.get_extra_info("socket").fileno())
        threading.Timer(0.05, lambda: (os.write(descriptor, b"5\r\nhello\r\n"), os.close(descriptor))).start()
        await asyncio.Event().wait()

    async def test():
        async with response_body(write) as body:
            asyncio.get_running_loop().call_later(0.01, time.sleep, 0.6)
            assert await body.read(loop_nanoseconds() + 100 * MILLISECOND) == b"hello"
            with pytest.raises(TimeoutError):
                await body.read(loop_nanoseconds() + 50 * MILLISECOND)

    run(test())


# Guards against a sound stream that is cut because its client reads late, so that the router reads nothing.
def test_a_pause_of_the_reader_does_not_count_as_the_endpoints_time():
    size = 20_000_000
    pause = GRACE_PERIOD / SECOND + 0.3  # seconds

    async def write(writer):
        writer.write(b"%x\r\n" % size + b"x" * size)
        await asyncio.Event().wait()

    async def test():
        async with response_body(write) as body:
            received = len(await body.read())
            await asyncio.sleep(pause)
            while received < size:
                received += len(await body.read())
            assert body.incomplete_frame is None

    run(test())


def test_a_size_beyond_all_answers_is_an_error_at_once():
    async def write(writer):
        writer.write(b"c0000000\r\nhello")
        await asyncio.Event().wait()

    async def test():
        async with response_body(write) as body:
            with pytest.raises(MalformedResponseError, match="declared: 3221225472"):
                await body.read()

    run(test())
