"""Tests that the pinned aiohttp release has the private parts that the transport uses."""

import asyncio
from pathlib import Path

import aiohttp
from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import HttpRequestParser
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from llm_router.transport.event_loop import RECEIVE_SIZE
from llm_router.transport.http_server import HttpServer, ServerLimits
from llm_router.transport.memory_budget import MemoryBudget
from llm_router.transport.upstream_connection import UpstreamConnection
from llm_router.transport.upstream_connector import UpstreamConnector, disable_retries

PINS = (Path(__file__).parents[2] / "requirements.txt").read_text().split()


def test_the_installed_aiohttp_is_the_pinned_release():
    assert f"aiohttp=={aiohttp.__version__}" in PINS


def test_the_private_parts_of_aiohttp_exist():
    assert {"_request_count", "_messages", "_waiter"} <= set(RequestHandler.__slots__)
    assert asyncio.selector_events._SelectorSocketTransport.max_size > RECEIVE_SIZE
    assert hasattr(RequestHandler, "_resume_transport_reading")
    assert _ErrInfo(400, ValueError(), "x").status == 400
    assert hasattr(ResponseHandler, "set_response_params") and hasattr(ResponseHandler, "feed_data")
    assert {"_upgraded", "_parser"} <= set(BaseProtocol.__slots__) and "_buffer" in StreamReader.__slots__
    assert hasattr(HttpRequestParser, "message_consumed")

    async def test():
        connector = UpstreamConnector()
        assert (
            isinstance(connector._factory(), UpstreamConnection)
            and connector._conns == {}
            and connector.idle_policy.reuses
        )
        session = aiohttp.ClientSession(connector=connector)
        assert session._retry_connection is True
        disable_retries(session)
        server = HttpServer(None, None, ServerLimits(5, 5, 5), MemoryBudget(5))
        connection = server()
        assert server._connections == {} and connection.all_answered
        assert (connection._max_msg_queue_size, connection._msg_queue_resume_size) == (1, 0)
        await session.close()

    asyncio.run(test())
