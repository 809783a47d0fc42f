"""Checks that the framing of a body is followed, however its bytes are split."""

import pytest

from llm_router.transport.body_framing import BodyFraming

BODY = b"5\r\nhello\r\n0000000000000000000000000000a;name=value\r\n0123456789\r\nc0000000  \r\ndata: x\n\n"


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_chunks_are_followed_however_they_are_split(size):
    framing = BodyFraming(0.0)
    seen = set()
    for start in range(0, len(BODY), size):
        framing.feed(BODY[start : start + size], float(start))
        if framing.frame is not None:
            seen.add(framing.frame.declared_size)
    assert framing.frame.declared_size == 0xC0000000 and framing.frame.received_size == len(b"data: x\n\n")
    assert size > 2 or seen == {5, 10, 0xC0000000}


def test_the_trailers_behind_the_last_chunk_are_no_size():
    framing = BodyFraming(0.0)
    framing.feed(b"1\r\nx\r\n0\r\nabc: d\r\n\r\n", 1.0)
    assert framing.frame is None


def test_a_body_with_a_length_is_one_frame():
    framing = BodyFraming(1.0, content_length=10)
    framing.feed(b"12345", 2.0)
    assert (framing.frame.received_size, framing.frame.began_at) == (5, 1.0)
    framing.exclude(0.5)
    assert framing.frame.began_at == 1.5
    framing.feed(b"67890", 3.0)
    assert framing.frame is None


def test_a_size_line_without_an_end_takes_no_memory():
    framing = BodyFraming(0.0)
    for _ in range(100):
        framing.feed(b"0" * 100, 0.0)
    framing.feed(b"f;" + b"x" * 1000, 0.0)
    assert len(framing._line) < 50
    framing.feed(b"\r\n", 4.0)
    assert framing.frame.declared_size == 15 and framing.frame.began_at == 4.0
