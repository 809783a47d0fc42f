"""Checks that the memory of buffered responses is given back, however a response ends."""

import asyncio
from types import SimpleNamespace

import pytest
from fake_responses import chunked_response

from llm_router.frontends.kserve.proxied_request import BufferedResponseSink
from llm_router.lifecycle.effects import OpenAttempt
from llm_router.routing.events import AttemptStatus
from llm_router.transport.errors import MalformedResponseError
from llm_router.transport.event_stream import EventStreamSink
from llm_router.transport.memory_budget import MemoryBudget, MemoryShare
from llm_router.transport.response_relay import BODY_COPIES, ResponseRelay
from llm_router.transport.stream_relay import EVENT_ALLOWANCE

PIECE = b"x" * 1000
ATTEMPT = OpenAttempt("q", 0, SimpleNamespace(name="w"), None, is_prefill=False)


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


class MeteredSink(EventStreamSink):
    """A sink that records what a budget counts at each write to the client."""

    def __init__(self, budget):
        super().__init__(None, None, lambda: False)
        self.budget = budget
        self.counted = []

    async def start(self, _status, _headers):
        pass

    async def write(self, _data):
        self.counted.append(self.budget._used)

    async def finish(self):
        pass

    def abort(self):
        pass


LARGE_LINE = b"data: " + b"x" * 100_000


# Guards against a large event that is not counted until it is sent, or that stays counted for good.
def test_a_large_event_is_counted_until_it_is_sent():
    async def test():
        budget = MemoryBudget(100_000)
        sink = MeteredSink(budget)
        response = chunked_response(LARGE_LINE, b"\n\n", b"data: [DONE]\n\n")
        result = await ResponseRelay(budget, lambda _event: None).relay(ATTEMPT, sink, response)
        assert result.status is AttemptStatus.OK and is_free(budget)
        assert sink.counted == [len(LARGE_LINE) + 2 - EVENT_ALLOWANCE, 0]

    asyncio.run(test())


def test_an_event_beyond_the_budget_ends_its_stream():
    async def test():
        budget = MemoryBudget(100_000)
        sink = MeteredSink(budget)
        response = chunked_response(b"data: 1\n\n", LARGE_LINE, b"x" * 100_000)
        result = await ResponseRelay(budget, lambda _event: None).relay(ATTEMPT, sink, response)
        assert result.status is AttemptStatus.ERROR and is_free(budget)

    asyncio.run(test())
