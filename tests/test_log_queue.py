"""Checks the log queue with partial writes, the errors that write(2) documents, and a closed descriptor."""

import asyncio
import errno
import json
import os
import sys
import threading
import time
from datetime import timedelta

import pytest
from stand_ins import SETTINGS, RouterProcess, StandInDiscovery, message, reserve_port, run

from llm_router import log_queue
from llm_router.log_queue import MAX_QUEUED_BYTES, LogQueue

FLUSH_TIMEOUT = timedelta(seconds=3)


@pytest.fixture
def output(monkeypatch):
    """Return a log queue, its written bytes, and a list of results for its next writes.

    A result is the name of an error, or the number of bytes that the write accepts."""
    written, answers, genuine = bytearray(), [], os.write

    def write(descriptor, data):
        if descriptor != DESCRIPTOR:
            return genuine(descriptor, data)
        answer = answers.pop(0) if answers else len(data)
        if isinstance(answer, str):
            raise OSError(getattr(errno, answer), answer)
        written.extend(data[:answer])
        return min(answer, len(data))

    monkeypatch.setattr(log_queue.os, "write", write)
    monkeypatch.setattr(log_queue, "RETRY_INTERVAL", timedelta(milliseconds=1))
    monkeypatch.setattr(LogQueue, "_wait_until_writable", lambda _queue: None)
    return LogQueue(DESCRIPTOR, lambda count: b"dropped %d\n" % count), written, answers


DESCRIPTOR = 987_654


def test_lines_come_out_complete_and_in_order_through_partial_writes(output):
    queue, written, answers = output
    answers += [1, 2, 0, 3]
    for number in range(5):
        queue.put(b"line %d\n" % number)
    assert queue.flush(FLUSH_TIMEOUT)
    assert written == b"".join(b"line %d\n" % number for number in range(5))


@pytest.mark.parametrize("error", ["EAGAIN", "EINTR", "EIO", "ENOSPC", "EDQUOT", "EFBIG", "EPERM", "ENOMEM"])
def test_a_write_is_retried_after_a_temporary_error(output, error):
    queue, written, answers = output
    answers += [error, 2, error, error]
    queue.put(b"first\n")
    queue.put(b"second\n")
    assert queue.flush(FLUSH_TIMEOUT) and written == b"first\nsecond\n"


@pytest.mark.parametrize("error", ["EPIPE", "EBADF", "ECONNRESET"])
def test_undeliverable_lines_are_counted_and_reported_to_the_next_consumer(output, error):
    queue, written, answers = output
    answers += [error, error]
    with queue._changed:  # Both lines are queued before the first is written.
        queue.put(b"first\n")
        queue.put(b"second\n")
    assert queue.flush(FLUSH_TIMEOUT)
    queue.put(b"third\n")
    assert queue.flush(FLUSH_TIMEOUT) and written == b"dropped 2\nthird\n"


def test_without_a_consumer_the_number_of_writes_is_bounded(monkeypatch):
    calls = []

    def fail(_descriptor, data):
        calls.append(bytes(data))
        raise BrokenPipeError(errno.EPIPE, "the reader has closed the pipe")

    monkeypatch.setattr(log_queue.os, "write", fail)
    queue = LogQueue(DESCRIPTOR, lambda count: b"dropped %d\n" % count)
    for number in range(5):
        queue.put(b"line %d\n" % number)
        time.sleep(0.02)
    assert len(calls) <= 2 * 5, "the queue must not write reports in an endless loop"
    assert queue.dropped >= 5


def test_the_queue_is_bounded_and_no_caller_waits(output, monkeypatch):
    queue, written, _ = output
    blocked, fake = threading.Event(), log_queue.os.write
    monkeypatch.setattr(log_queue.os, "write", lambda *arguments: blocked.wait(9) and fake(*arguments))
    line = b"x" * 999 + b"\n"
    for _ in range(2 * MAX_QUEUED_BYTES // len(line)):
        queue.put(line)
    assert queue.queued_bytes <= MAX_QUEUED_BYTES and queue.dropped > 0
    assert not queue.flush(timedelta(milliseconds=20)), "flush must return after its timeout"
    blocked.set()
    assert queue.flush(FLUSH_TIMEOUT)
    queue.put(b"last\n")
    assert queue.flush(FLUSH_TIMEOUT)
    dropped = int(written.split(b"dropped ")[1].split()[0])
    assert written.count(b"x\n") + dropped == 2 * MAX_QUEUED_BYTES // len(line)


def test_a_router_that_was_started_without_standard_error_serves(tmp_path):
    """Otherwise the first socket would get the descriptor of standard error, and receive the log lines."""

    async def test():
        async with StandInDiscovery([]) as discovery:
            address = f"127.0.0.1:{reserve_port()}"
            configuration = {
                "name": "n",
                "listen": address,
                "discovery": discovery.address,
                "settings": SETTINGS,
            }
            file = tmp_path / "config.json"
            file.write_text(json.dumps(configuration))
            process = await asyncio.create_subprocess_shell(
                f"exec {sys.executable} -m llm_router <&- >&- 2>&-",
                env={**os.environ, "EDGE_CONFIG": str(file)},
            )
            router = RouterProcess(process, address)
            try:
                await discovery.wait_for("GET /registry/instances")
                await asyncio.sleep(0.5)
                for _ in range(5):
                    answer = await router.exchange(message("GET /health/ready HTTP/1.1", Host="h"))
                    assert answer is not None and answer[0].split()[1] == "200"
                assert await router.stop() == 0
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    run(test())
