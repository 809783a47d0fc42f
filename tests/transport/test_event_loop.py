"""Checks the event loop's estimate of when its input arrived."""

import asyncio
import socket
import threading
import time

import pytest
from stand_ins import within

from llm_router.transport.event_loop import TimedEventLoop, input_since


def run(test):
    """Run a test on a TimedEventLoop, the router's event loop."""
    with asyncio.Runner(loop_factory=TimedEventLoop) as runner:
        return runner.run(test)


async def time_of_input(send_after):
    """Return the loop's estimate of the earliest arrival time of a byte, and the time it was sent."""
    loop = asyncio.get_running_loop()
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    received, sent = loop.create_future(), []

    def receive():
        ours.recv(1)
        received.set_result(input_since(loop))

    def send():
        sent.append(time.monotonic())
        theirs.send(b"x")

    loop.add_reader(ours, receive)
    await asyncio.sleep(0)
    send_after(loop, send)
    since = await within(received)
    loop.remove_reader(ours)
    ours.close()
    theirs.close()
    return since, sent[0]


@pytest.mark.usefixtures("never_blocked")
def test_input_that_arrives_while_the_loop_is_busy_counts_from_the_previous_poll():
    def busy(_loop, send):
        send()
        time.sleep(0.05)

    since, sent = run(time_of_input(busy))
    assert since <= sent


def test_input_that_the_loop_waited_for_counts_from_its_arrival():
    since, sent = run(time_of_input(lambda _loop, send: threading.Timer(0.05, send).start()))
    assert since >= sent
