"""The log's writer over descriptors that fail as write(2) documents, and one that is closed."""

import asyncio
import errno
import json
import os
import sys
import threading
import time
from datetime import timedelta

import pytest
from stand_ins import SETTINGS, RouterProcess, StandInDiscovery, free_port, message, run

from llm_router import log_writer
from llm_router.log_writer import BUFFER_MOST, LogWriter

SOON = timedelta(seconds=3)


@pytest.fixture
def out(monkeypatch):
    """Give a writer, what came out of it, and what its next writes do: errors, or how much they take."""
    written, answers, genuine = bytearray(), [], os.write

    def write(descriptor, data):
        if descriptor != DESCRIPTOR:
            return genuine(descriptor, data)
        answer = answers.pop(0) if answers else len(data)
        if isinstance(answer, str):
            raise OSError(getattr(errno, answer), answer)
        written.extend(data[:answer])
        return min(answer, len(data))

    monkeypatch.setattr(log_writer.os, "write", write)
    monkeypatch.setattr(log_writer, "RETRY", timedelta(milliseconds=1))
    monkeypatch.setattr(LogWriter, "wait_for_room", lambda self: None)
    return LogWriter(DESCRIPTOR, lambda lost: b"lost %d\n" % lost), written, answers


DESCRIPTOR = 987_654


def test_lines_come_out_whole_and_in_order_through_half_writes(out):
    writer, written, answers = out
    answers += [1, 2, 0, 3]
    for number in range(5):
        writer.put(b"line %d\n" % number)
    assert writer.flush(SOON)
    assert written == b"".join(b"line %d\n" % number for number in range(5))


@pytest.mark.parametrize("error", ["EAGAIN", "EINTR", "EIO", "ENOSPC", "EDQUOT", "EFBIG", "EPERM", "ENOMEM"])
def test_a_line_that_fails_for_a_while_is_written_all_the_same(out, error):
    writer, written, answers = out
    answers += [error, 2, error, error]
    writer.put(b"first\n")
    writer.put(b"second\n")
    assert writer.flush(SOON) and written == b"first\nsecond\n"


@pytest.mark.parametrize("error", ["EPIPE", "EBADF", "ECONNRESET"])
def test_lines_that_reach_nobody_are_counted_and_told_to_the_next_reader(out, error):
    writer, written, answers = out
    answers += [error, error]
    writer.put(b"first\n")
    writer.put(b"second\n")
    assert writer.flush(SOON)
    writer.put(b"third\n")
    assert writer.flush(SOON) and written == b"lost 2\nthird\n"


def test_a_reader_that_is_gone_costs_a_bounded_number_of_writes(monkeypatch):
    calls = []

    def nobody_reads(descriptor, data):
        calls.append(bytes(data))
        raise BrokenPipeError(errno.EPIPE, "nobody reads")

    monkeypatch.setattr(log_writer.os, "write", nobody_reads)
    writer = LogWriter(DESCRIPTOR, lambda lost: b"lost %d\n" % lost)
    for number in range(5):
        writer.put(b"line %d\n" % number)
        time.sleep(0.02)
    assert len(calls) <= 2 * 5, "it writes on and on by itself"
    assert writer.lost >= 5


def test_the_buffer_is_bounded_and_no_caller_waits(out, monkeypatch):
    writer, written, _ = out
    blocked, fake = threading.Event(), log_writer.os.write
    monkeypatch.setattr(log_writer.os, "write", lambda *given: blocked.wait(9) and fake(*given))
    line = b"x" * 999 + b"\n"
    for _ in range(2 * BUFFER_MOST // len(line)):
        writer.put(line)
    assert writer.size <= BUFFER_MOST and writer.lost > 0
    assert not writer.flush(timedelta(milliseconds=20)), "a flush is bounded, too"
    blocked.set()
    assert writer.flush(SOON)
    writer.put(b"last\n")
    assert writer.flush(SOON)
    lost = int(written.split(b"lost ")[1].split()[0])
    assert written.count(b"x\n") + lost == 2 * BUFFER_MOST // len(line)


def test_a_program_that_was_started_without_standard_error_serves(tmp_path):
    """Else the first socket that is opened has its number, and the log is written into it."""

    async def test():
        async with StandInDiscovery([]) as discovery:
            address = f"127.0.0.1:{free_port()}"
            told = {"name": "n", "listen": address, "discovery": discovery.address, "settings": SETTINGS}
            file = tmp_path / "config.json"
            file.write_text(json.dumps(told))
            process = await asyncio.create_subprocess_shell(
                f"exec {sys.executable} -m llm_router <&- >&- 2>&-",
                env={**os.environ, "EDGE_CONFIG": str(file)},
            )
            program = RouterProcess(process, address)
            try:
                await discovery.wait_for("GET /registry/instances")
                await asyncio.sleep(0.5)
                for _ in range(5):
                    answer = await program.exchange(message("GET /health/ready HTTP/1.1", Host="h"))
                    assert answer is not None and answer[0].split()[1] == "200"
                assert await program.stop() == 0
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    run(test())
