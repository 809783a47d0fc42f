"""Tests of connections to endpoints: malformed responses, and reuse of idle connections."""

import asyncio

import aiohttp
import pytest
from stand_ins import StandInServer, message

from llm_router.transport.errors import MalformedResponseError
from llm_router.transport.upstream_connector import UpstreamConnector


@pytest.mark.parametrize("opening", [b"", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"])
def test_a_malformed_response_raises_an_error_in_the_task_that_awaits_it(opening):
    async def malformed(_call, writer):
        writer.write(opening)
        await writer.drain()
        writer.write(b"\x80\x81\r\n\r\n")
        await asyncio.Event().wait()

    async def test():
        async with (
            StandInServer(malformed) as server,
            aiohttp.ClientSession(connector=UpstreamConnector()) as session,
        ):
            with pytest.raises(MalformedResponseError):
                async with asyncio.timeout(10), session.get(f"http://{server.address}/") as answer:
                    await answer.read()

    asyncio.run(test())


def test_an_idle_connection_is_reused_for_the_next_call():
    async def answer(_call, writer):
        writer.write(message("HTTP/1.1 200 OK", b"x"))

    async def test():
        connector = UpstreamConnector()
        async with StandInServer(answer) as server, aiohttp.ClientSession(connector=connector) as session:
            for _ in range(3):
                async with session.get(f"http://{server.address}/") as got:
                    assert await got.read() == b"x"
            assert connector.drop_idle() == 1 and not connector.idle_policy.stale_at

    asyncio.run(test())
