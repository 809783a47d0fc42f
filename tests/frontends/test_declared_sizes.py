"""Checks which declared sizes end a stream, and which streams are whole however they are written."""

import asyncio
import time

import pytest
from stand_ins import (
    DONE,
    EVENT,
    STREAM,
    chat_request,
    chunk,
    decode,
    router_with_endpoints,
    run,
    streams_by_id,
    within,
)

LAST_CHUNK = b"0\r\n\r\n"
EVENT_LIMIT = 5.0  # seconds after a stream became malformed until the connection of its client must end
PACE = 0.1  # seconds between two events at a usual pace
PACED_EVENTS = 80  # events that a malformed stream goes on with; they take longer than EVENT_LIMIT
LONG_EVENT = b'data: {"text":"' + b"x" * 980 + b'"}\n\n'
LARGE_EVENT = b'data: {"text":"' + b"x" * 100_000 + b'"}\n\n'


def length_head(size):
    """Return the head of a stream that declares a body of `size` bytes."""
    return b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n" % size


async def write_paced_events(writer, encode=bytes):
    """Write sound events at a usual pace."""
    for _ in range(PACED_EVENTS):
        writer.write(encode(EVENT))
        await asyncio.sleep(PACE)


def unframed_events_behind(data):
    """Return a coroutine function that writes `data`, and then events without any framing."""

    async def write(writer):
        writer.write(data)
        await write_paced_events(writer)

    return write


async def write_events_after_the_last(writer):
    """Stream a whole answer, and go on with further events in sound chunks."""
    writer.write(STREAM + chunk(EVENT) + chunk(DONE))
    await write_paced_events(writer, chunk)


OPENING = STREAM + chunk(EVENT)
MALFORMED = {
    "a chunk of 3 GB": unframed_events_behind(OPENING + b"c0000000\r\n"),
    "a chunk of 3 GB with zeros and an extension": unframed_events_behind(OPENING + b"000c0000000;a=b\r\n"),
    "a chunk of over 32 bits": unframed_events_behind(OPENING + b"1c0000000\r\n"),
    "a chunk of 3 GB with many events": unframed_events_behind(OPENING + b"c0000000\r\n" + 2000 * EVENT),
    "a chunk of 12 MB": unframed_events_behind(OPENING + b"c00000\r\n"),
    "a chunk of 300 KB": unframed_events_behind(OPENING + b"4b000\r\n"),
    "a chunk of 64 KB": unframed_events_behind(OPENING + b"10000\r\n"),
    "a length of 3 GB": unframed_events_behind(length_head(3 << 30) + EVENT),
    "a length of 300 KB": unframed_events_behind(length_head(300_000) + EVENT),
    "events after the last one": write_events_after_the_last,
}


def in_one_chunk(data, piece_size):
    """Return a whole stream with `data` in one chunk as (its events, the pieces in which it is written)."""
    pieces = [data[start : start + piece_size] for start in range(0, len(data), piece_size)]
    return EVENT + data + DONE, [OPENING + b"%x\r\n" % len(data), *pieces, b"\r\n" + chunk(DONE) + LAST_CHUNK]


def with_length(data, piece_size):
    """Return a whole stream with a Content-Length as (its events, the pieces in which it is written)."""
    data += DONE
    pieces = [data[start : start + piece_size] for start in range(0, len(data), piece_size)]
    return data, [length_head(len(data)), *pieces]


def one_byte_chunks(data, chunks_per_piece):
    """Return `data` in chunks of one byte; each piece has several chunks."""
    chunks = [chunk(data[at : at + 1]) for at in range(len(data))]
    return [b"".join(chunks[at : at + chunks_per_piece]) for at in range(0, len(chunks), chunks_per_piece)]


WHOLE = {
    "1 MB in one chunk": in_one_chunk(1000 * LONG_EVENT, 50_000),
    "200 KB in one chunk for 9 s": in_one_chunk(200 * LONG_EVENT, 2200),
    "6 KB in one chunk for 12 s": in_one_chunk(6 * LONG_EVENT, 50),
    "events of 100 KB": (
        3 * LARGE_EVENT + DONE,
        [STREAM, *[chunk(LARGE_EVENT)] * 3, chunk(DONE) + LAST_CHUNK],
    ),
    "1 MB with a length": with_length(1000 * LONG_EVENT, 50_000),
    "4 KB with a length for 8 s": with_length(4 * LONG_EVENT, 50),
    "chunks of one byte": (
        EVENT + EVENT + DONE,
        [OPENING, *one_byte_chunks(EVENT, chunks_per_piece=20), chunk(DONE) + LAST_CHUNK],
    ),
    "zeros, an extension and a trailer": (
        EVENT + DONE,
        [STREAM + b"0000%x;a=b\r\n%b\r\n" % (len(EVENT), EVENT) + chunk(DONE) + b"0\r\nA: b\r\n\r\n"],
    ),
}


def paced(pieces):
    """Return a coroutine function that writes pieces at the usual pace."""

    async def write(writer):
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(PACE)

    return write


async def read_until_closed(program, request):
    """Send a request; return the bytes until the router ends the connection, and the seconds until then."""
    begun = time.monotonic()
    reader, writer = await program.connect()
    try:
        writer.write(request)
        return await within(reader.read()), time.monotonic() - begun
    finally:
        writer.close()


# Guards against a client that is left waiting because events go on inside a chunk that is never filled.
def test_a_stream_ends_in_time_if_its_endpoint_does_not_fill_the_size_that_it_declares(tmp_path):
    streams = {f"r{number}": write for number, write in enumerate(MALFORMED.values())}

    async def test():
        async with router_with_endpoints(tmp_path, decode=streams_by_id(streams)) as program:
            ends = await asyncio.gather(
                *(read_until_closed(program, chat_request(id=each)) for each in streams)
            )
            assert not any(received.endswith(LAST_CHUNK) for received, _ in ends)
            late = {name: at for name, (_, at) in zip(MALFORMED, ends, strict=True) if at > EVENT_LIMIT}
            assert not late
            assert not await program.stop_and_read_internal_errors()

    run(test())


# Guards against a limit on sizes that cuts an answer which its endpoint writes whole.
def test_a_stream_is_whole_however_large_its_chunks_and_events_are(tmp_path):
    streams = {f"r{number}": paced(pieces) for number, (_, pieces) in enumerate(WHOLE.values())}

    async def test():
        async with router_with_endpoints(tmp_path, decode=streams_by_id(streams)) as program:
            answers = await asyncio.gather(
                *(program.exchange(chat_request(id=each)) for each in streams), return_exceptions=True
            )
            pairs = zip(WHOLE.items(), answers, strict=True)
            cut = [name for (name, (events, _)), answer in pairs if getattr(answer, "body", None) != events]
            assert not cut
            assert not await program.stop_and_read_internal_errors()

    run(test())


# Guards against a request that fails although its stream was malformed before its first event.
@pytest.mark.parametrize(
    "opening", [STREAM + b"c0000000\r\n", length_head(3 << 30)], ids=["a chunk", "a length"]
)
def test_a_safe_request_is_repeated_after_a_size_that_is_false_before_the_first_event(tmp_path, opening):
    attempts = []

    async def first_is_malformed(call, writer):
        if call[0].startswith("POST /v1/chat") and not attempts:
            attempts.append(call)
            writer.write(opening)
            await write_paced_events(writer)
        else:
            await decode(call, writer)

    async def test():
        async with router_with_endpoints(tmp_path, decode=first_is_malformed) as program:
            answer = await program.exchange(chat_request())
            assert attempts and answer.status == 200 and answer.body.endswith(DONE)

    run(test())
