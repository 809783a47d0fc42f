"""Checks a frontend server's response to internal errors, and its shutdown."""

import asyncio
import json
from datetime import timedelta
from types import SimpleNamespace

from stand_ins import within

from llm_router.frontends.kserve.responses import error_response
from llm_router.transport.frontend_server import FrontendServer
from llm_router.transport.memory_budget import MemoryBudget


def test_an_internal_error_is_answered_in_the_format_of_the_frontend(configuration):
    async def fails(_request):
        raise RuntimeError("a fault")

    async def test():
        answer = await FrontendServer(configuration(), fails, error_response, MemoryBudget(5)).handle(None)
        assert answer.status == 500 and json.loads(answer.body)["error"]

    asyncio.run(test())


def test_the_listener_is_closed_only_when_the_accept_queue_is_empty(monkeypatch, configuration):
    monkeypatch.setattr("llm_router.transport.shutdown.GRACE_PERIOD", timedelta())
    monkeypatch.setattr("llm_router.transport.shutdown.ACCEPT_TIMEOUT", timedelta(seconds=9))

    async def test():
        server, closed = (
            FrontendServer(configuration(), None, error_response, MemoryBudget(5)),
            asyncio.Event(),
        )
        server.acceptor = SimpleNamespace(close=closed.set, drained=False, failing=False)
        stopping = asyncio.ensure_future(server.shut_down())
        await asyncio.sleep(0.03)
        assert not closed.is_set()
        server.acceptor.drained = True
        await within(stopping)
        assert closed.is_set()

    asyncio.run(test())
