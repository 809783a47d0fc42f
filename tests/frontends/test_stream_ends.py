"""Checks when a stream counts as whole, as stalled and as too long."""

import asyncio
import time

import pytest
from stand_ins import (
    DONE,
    EVENT,
    STREAM,
    USAGE,
    chat_request,
    chunk,
    decode,
    router_with_endpoints,
    run,
    streams_by_id,
    within,
)

LAST_CHUNK = b"0\r\n\r\n"
EVENT_LIMIT = 5.0  # seconds after an event until the connection of its client must end


def streaming(write_stream):
    """Return a handler that passes the writer of each chat request to `write_stream`."""

    async def handler(call, writer):
        if call[0].startswith("POST /v1/chat"):
            await write_stream(writer)
        else:
            await decode(call, writer)

    return handler


def framed_by_length(body):
    """Return a whole response with a Content-Length."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n"
    return head % len(body) + body


async def read_until_closed(program, request):
    """Send a request, and return the bytes that arrive until the router ends the connection."""
    reader, writer = await program.connect()
    try:
        writer.write(request)
        return await within(reader.read())
    finally:
        writer.close()


PARTS = {
    "no last event": STREAM + chunk(EVENT) + chunk(USAGE) + LAST_CHUNK,
    "half a last event": STREAM + chunk(EVENT) + chunk(b"data: [DON") + LAST_CHUNK,
    "a comment like the last event": STREAM + chunk(EVENT + b": [DONE]\n\n") + LAST_CHUNK,
    "an event that contains the last one": STREAM
    + chunk(EVENT + b'data: {"a":"data: [DONE]"}\n\n')
    + LAST_CHUNK,
    "a length and no last event": framed_by_length(EVENT + USAGE),
}


# Guards against a stream that its client takes for whole, although its endpoint did not end it.
@pytest.mark.parametrize("part", PARTS)
def test_a_stream_without_its_last_event_ends_without_the_last_chunk(tmp_path, part):
    async def write(writer):
        writer.write(PARTS[part])
        await writer.drain()

    async def test():
        async with router_with_endpoints(tmp_path, decode=streaming(write)) as program:
            received = await read_until_closed(program, chat_request())
            assert EVENT in received and not received.endswith(LAST_CHUNK)
            assert not await program.stop_and_read_internal_errors()

    run(test())


PAUSE = 0.4  # seconds between two pieces of a stalled stream
STALLS = {
    "comments": b": still here\n\n",
    "empty lines": b"\n",
    "empty lines with a carriage return": b"\r\n",
    "comments without an empty line": b": still here\n",
    "a comment without an end": b": still here",
    "events without data": b"event: ping\nid: 1\n\n",
    "empty data": b"data:\n\n",
    "single bytes of an event": b"x",
}
STALL_STARTS = {"a comment without an end": b": ", "single bytes of an event": b"data: "}


def stalled_stream(name):
    """Return a coroutine function that streams one event, and then pieces that complete no further one."""

    async def write(writer):
        writer.write(STREAM + chunk(EVENT) + chunk(STALL_STARTS.get(name, b": start\n\n")))
        while True:
            await asyncio.sleep(PAUSE)
            writer.write(chunk(STALLS[name]))

    return write


# Guards against a client that is left waiting while its endpoint sends bytes that belong to no event.
def test_a_stream_without_another_event_ends_in_time_whatever_else_comes(tmp_path):
    streams = {f"r{number}": stalled_stream(name) for number, name in enumerate(STALLS)}

    async def waited(program, request_id):
        begun = time.monotonic()
        received = await read_until_closed(program, chat_request(id=request_id))
        assert EVENT in received and not received.endswith(LAST_CHUNK)
        return time.monotonic() - begun

    async def test():
        async with router_with_endpoints(tmp_path, decode=streams_by_id(streams)) as program:
            times = await asyncio.gather(*(waited(program, request_id) for request_id in streams))
            late = {name: at for name, at in zip(STALLS, times, strict=True) if at > EVENT_LIMIT}
            assert not late
            assert not await program.stop_and_read_internal_errors()

    run(test())


# Guards against a comment that stops the deadline of a request like its first event.
def test_a_comment_before_the_first_event_does_not_stop_the_deadline(tmp_path):
    async def write(writer):
        writer.write(STREAM)
        while True:
            writer.write(chunk(b": working\n\n"))
            await asyncio.sleep(0.1)

    async def test():
        async with router_with_endpoints(tmp_path, decode=streaming(write)) as program:
            begun = time.monotonic()
            answer = await program.exchange(chat_request(time_remaining_ms=1000))
            assert answer.status in (502, 503) and time.monotonic() - begun < 1.5
            assert not await program.stop_and_read_internal_errors()

    run(test())


LONG_EVENT = b'data: {"text":"' + b"x" * 6000 + b'"}\n\n'


async def write_many_events(writer):
    """Stream 600 KB of events."""
    writer.write(STREAM)
    event = b'data: {"text":"' + b"x" * 2000 + b'"}\n\n'
    for _ in range(300):
        writer.write(chunk(event))
        await asyncio.sleep(0.001)
    writer.write(chunk(DONE) + LAST_CHUNK)


async def write_one_event_slowly(writer):
    """Stream an event in pieces of 500 bytes, one each half second."""
    writer.write(STREAM + chunk(EVENT))
    for start in range(0, len(LONG_EVENT), 500):
        await asyncio.sleep(0.5)
        writer.write(chunk(LONG_EVENT[start : start + 500]))
    writer.write(chunk(DONE) + LAST_CHUNK)


# Guards against a long or slow answer that is cut while its endpoint still writes events.
def test_a_stream_is_forwarded_whole_however_long_or_slow_its_endpoint_writes(tmp_path):
    streams = {"many": write_many_events, "slow": write_one_event_slowly}

    async def test():
        async with router_with_endpoints(tmp_path, decode=streams_by_id(streams)) as program:
            many, slow = await asyncio.gather(
                *(program.exchange(chat_request(id=request_id)) for request_id in streams)
            )
            assert many.body.count(b"data: {") == 300 and many.body.endswith(DONE)
            assert slow.body == EVENT + LONG_EVENT + DONE
            assert not await program.stop_and_read_internal_errors()

    run(test())


async def write_false_chunk_and_close(writer):
    """Stream an event, begin a chunk of 3 GB, and close."""
    writer.write(STREAM + chunk(EVENT))
    await asyncio.sleep(0.05)
    writer.write(b"c0000000\r\n" + EVENT)
    await writer.drain()
    writer.close()


# Guards against a log that blames the client for a stream that the router ended, and that hides the frame.
def test_the_log_tells_the_frame_of_an_aborted_stream_and_blames_no_client(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path, decode=streaming(write_false_chunk_and_close)) as program:
            await read_until_closed(program, chat_request())
            line = await program.wait_for_log("stream_aborted")
            assert line["frame"].items() >= {"declared": 3221225472, "received": len(EVENT)}.items()
            assert not await program.stop_and_read_internal_errors()
            assert "client_disconnected" not in {each["event"] for each in program.log}

    run(test())


EVENTS_AFTER_THE_LAST = {
    "in its chunk": chunk(DONE + EVENT),
    "in a chunk of its own": chunk(DONE) + chunk(EVENT),
    "the last event again": chunk(DONE) + chunk(b"data: [DONE]\n\n"),
}


# Guards against a client that gets events behind the end of its answer, and waits for more.
@pytest.mark.parametrize("form", EVENTS_AFTER_THE_LAST)
def test_a_stream_ends_without_the_last_chunk_if_an_event_follows_its_last_one(tmp_path, form):
    async def write(writer):
        writer.write(STREAM + chunk(EVENT))
        await asyncio.sleep(0.05)
        writer.write(EVENTS_AFTER_THE_LAST[form] + LAST_CHUNK)
        await writer.drain()

    async def test():
        async with router_with_endpoints(tmp_path, decode=streaming(write)) as program:
            received = await read_until_closed(program, chat_request())
            assert received.count(EVENT) == 1 and not received.endswith(LAST_CHUNK)
            assert not await program.stop_and_read_internal_errors()

    run(test())
