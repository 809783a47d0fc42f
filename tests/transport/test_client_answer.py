"""Checks that a client gets exactly one answer to each request, even if its attempts bring more later."""

import asyncio
from types import SimpleNamespace

import pytest
from fake_responses import chunked_response
from stand_ins import (
    DONE,
    EVENT,
    SETTINGS,
    STREAM,
    chat_request,
    chunk,
    decode,
    read_message,
    router_with_endpoints,
    run,
    within,
)

from llm_router.emulator.http import LAST_CHUNK
from llm_router.lifecycle.effects import OpenAttempt
from llm_router.routing.events import AttemptStatus
from llm_router.transport.client_answer import ClientAnswer
from llm_router.transport.event_stream import EventStreamSink
from llm_router.transport.memory_budget import MemoryBudget
from llm_router.transport.response_relay import ResponseRelay

ANSWER_BEFORE_DEADLINE = (
    200_000_000  # nanoseconds; the policy answers one timer resolution before the deadline
)
OTHER_EVENT = EVENT.replace(b"oqvh", b"late")


# Guards against a stream that is written behind the refusal of its request, where the next request reads it.
def test_a_response_that_starts_after_the_refusal_is_not_written_to_the_client(tmp_path):
    refused, discarded = asyncio.Event(), asyncio.Event()

    async def start_after_the_refusal(call, writer):
        if call[1].get("x-correlation-id") != "late":
            await decode(call, writer)
            return
        await refused.wait()
        writer.write(STREAM + chunk(OTHER_EVENT) + chunk(OTHER_EVENT + DONE) + LAST_CHUNK)
        discarded.set()

    async def test():
        allowed = {**SETTINGS["allowed"], "cancel": False}
        settings = {**SETTINGS, "allowed": allowed, "tick": ANSWER_BEFORE_DEADLINE}
        async with router_with_endpoints(
            tmp_path, decode=start_after_the_refusal, settings=settings
        ) as program:
            reader, writer = await program.connect()
            writer.write(chat_request("late", time_remaining_ms=1000))
            assert (await within(read_message(reader)))[0].split()[1] == "503"
            refused.set()
            await within(discarded.wait())
            await program.wait_for_log("response_discarded")
            writer.write(chat_request("next"))
            first, _, body = await within(read_message(reader))
            assert first.split()[1] == "200" and EVENT in body and OTHER_EVENT not in body
            writer.close()
            assert not await program.stop_and_read_internal_errors()

    run(test())


class RecordingSink(EventStreamSink):
    """A sink that records the writes to the client, and pauses after the first one."""

    def __init__(self):
        super().__init__(None, None, lambda: False)
        self.written = []
        self.first_written, self.resume = asyncio.Event(), asyncio.Event()

    async def start(self, status, _headers):
        self.written.append(status)

    async def write(self, data):
        self.written.append(data)
        self.first_written.set()
        await self.resume.wait()

    async def finish(self):
        self.answer.complete("the stream")


def attempt(number):
    return OpenAttempt("q", number, SimpleNamespace(name="w"), None, is_prefill=False)


# Guards against two streams in one answer, where a hedged copy may not be cancelled.
def test_of_two_responses_to_one_request_only_the_first_is_relayed():
    async def test():
        sink, fed = RecordingSink(), []
        relay = ResponseRelay(MemoryBudget(5), fed.append)
        first = asyncio.create_task(relay.relay(attempt(0), sink, chunked_response(EVENT, DONE)))
        await within(sink.first_written.wait())
        second = await within(relay.relay(attempt(1), sink, chunked_response(OTHER_EVENT, DONE)))
        assert second.status is AttemptStatus.CANCELLED and not sink.answer.done.done()
        sink.resume.set()
        assert (await within(first)).status is AttemptStatus.OK
        assert sink.written == [200, EVENT, DONE] and sink.answer.done.result() == "the stream"
        assert [each.attempt for each in fed] == [0], "only the relayed attempt starts the response"

    asyncio.run(test())


@pytest.mark.parametrize("claimed", [True, False])
def test_an_answer_is_claimed_or_given_once(claimed):
    async def test():
        answer = ClientAnswer()
        if claimed:
            assert answer.claim()
        answer.give("own")
        answer.complete("relayed")
        answer.give("own again")
        assert answer.done.result() == ("relayed" if claimed else "own") and not answer.claim()

    asyncio.run(test())
