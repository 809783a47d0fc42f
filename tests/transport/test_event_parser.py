"""Checks that the parser of event streams finds the same events however a stream is split."""

import pytest

from llm_router.transport.event_parser import MAX_EVENT_SIZE, EventStreamError, EventStreamParser

STREAM = (
    b": opening\n\n: more\n"
    b'data: {"text":"a"}\n\n'
    b"event: x\r\nid: 4\r\ndata:b\r\n\r\n"
    b"data: first line\ndata: second line\n\n"
    b": comment\n\n\n"
    b"data: [DONE]\n\n: report\n\n"
)


@pytest.mark.parametrize("size", [1, 2, 3, 5, 11, 64, 1000])
def test_a_stream_is_passed_on_whole_however_it_is_split(size):
    parser = EventStreamParser()
    pieces = [parser.feed(STREAM[start : start + size]) for start in range(0, len(STREAM), size)]
    last = parser.finish()
    assert b"".join(each.data for each in [*pieces, last]) == STREAM and parser.is_ended
    assert not pieces[0].data or size > len(b": opening\n\n: more\ndata: ")


@pytest.mark.parametrize(
    ("received", "size"),
    [
        (b"data: 1234", 5),
        (b"data:1234", 4),
        (b"data: 1\ndata: 234\n", 4),
        (b"data: 1\n: comment\n: com", 1),
        (b": comment\n\n: comment", 0),
        (b"data: 1\n\n: comment\n\n", 0),
        (b"data: 1\n\ndata: 23\ndat", 2),
        (b"da", 0),
    ],
)
def test_only_the_data_of_an_incomplete_event_counts(received, size):
    parser = EventStreamParser()
    parser.feed(received)
    assert parser.incomplete_size == size
    parser = EventStreamParser()
    for at in range(len(received)):
        parser.feed(received[at : at + 1])
    assert parser.incomplete_size == size


def test_an_event_has_a_maximum_size():
    parser = EventStreamParser()
    parser.feed(b"data: " + b"x" * (MAX_EVENT_SIZE - 6))
    assert parser.buffered_size == MAX_EVENT_SIZE
    with pytest.raises(EventStreamError, match="over the limit"):
        parser.feed(b"x")


@pytest.mark.parametrize("line", [b"2f\r\n", b"HTTP/1.1 200 OK\r\n", b"\x80", b"data\n", b"d: x\n"])
def test_a_line_that_is_no_field_is_an_error(line):
    parser = EventStreamParser()
    parser.feed(b"data: 1\n\n")
    with pytest.raises(EventStreamError):
        for at in range(len(line)):
            parser.feed(line[at : at + 1])
