"""Checks that the memory of buffered responses is given back, however a response ends."""

import asyncio
from types import SimpleNamespace

import pytest

from llm_router.frontends.kserve.proxied_request import BufferedResponseSink
from llm_router.routing.events import AttemptStatus
from llm_router.transport.errors import MalformedResponseError
from llm_router.transport.memory_budget import MemoryBudget, MemoryShare
from llm_router.transport.response_relay import BODY_COPIES, ResponseRelay

PIECE = b"x" * 1000


def response(*pieces):
    """Return a response whose reads return the pieces, or raise those that are errors."""
    remaining = iter(pieces)

    async def readany():
        piece = next(remaining)
        if isinstance(piece, BaseException):
            raise piece
        return piece

    return SimpleNamespace(status=200, headers={}, content=SimpleNamespace(readany=readany))


def is_free(budget):
    """Return whether all of a budget is available."""
    share = MemoryShare(budget)
    fits = share.resize(budget.capacity)
    share.release()
    return fits


# Guards against memory that stays reserved for good after a response that breaks off.
@pytest.mark.parametrize("error", [MalformedResponseError("cut off"), asyncio.CancelledError()])
def test_a_response_that_breaks_off_gives_its_memory_back(error):
    async def test():
        budget = MemoryBudget(BODY_COPIES * 2 * len(PIECE))
        with pytest.raises(type(error)):
            await ResponseRelay._read_body(response(PIECE, error), MemoryShare(budget))
        assert is_free(budget)

    asyncio.run(test())


def test_a_response_keeps_its_memory_until_it_is_sent_or_dropped_and_a_larger_one_is_dropped():
    async def test():
        budget = MemoryBudget(BODY_COPIES * 2 * len(PIECE))
        share = MemoryShare(budget)
        data = await ResponseRelay._read_body(response(PIECE, PIECE, b""), share)
        assert data == PIECE * 2
        assert not is_free(budget)
        assert await ResponseRelay._read_body(response(PIECE, b""), MemoryShare(budget)) is None
        sink = BufferedResponseSink()
        assert sink.answer.claim()
        sink.count(share)
        await sink.write(data)
        await sink.finish()
        assert sink.answer.done.result().body == data and not is_free(budget)
        del sink
        assert is_free(budget)

    asyncio.run(test())


def test_a_response_that_is_cut_off_gives_its_memory_back():
    async def test():
        budget = MemoryBudget(BODY_COPIES * 2 * len(PIECE))
        relay = ResponseRelay(budget, None)
        result = await relay.relay(None, BufferedResponseSink(), response(b"{", b""))
        assert result.status is AttemptStatus.RESET and is_free(budget)

    asyncio.run(test())
