"""Checks the listener's estimate of when connections entered the accept queue."""

import asyncio
import socket
import time

import pytest

from llm_router.transport.event_loop import TimedEventLoop, select_count
from llm_router.transport.listener import Listener


def run(test):
    """Run a test on a TimedEventLoop, the router's event loop."""
    with asyncio.Runner(loop_factory=TimedEventLoop) as runner:
        return runner.run(test)


@pytest.fixture
def listener():
    made = Listener(socket.AF_INET, socket.SOCK_STREAM)
    made.setblocking(False)
    made.bind(("127.0.0.1", 0))
    made.listen(64)
    with made:
        yield made


def test_connections_left_in_the_queue_count_from_its_first_entry(listener):
    async def test():
        loop = asyncio.get_running_loop()
        clients = [socket.create_connection(listener.getsockname()) for _ in range(3)]
        await asyncio.sleep(0)
        first, _ = listener.accept()
        began = listener.waiting_since[first.fileno()]
        time.sleep(0.05)
        await asyncio.sleep(0)  # The other connections are accepted after another poll.
        second, _ = listener.accept()
        assert listener.waiting_since[second.fileno()] == began
        third, _ = listener.accept()
        with pytest.raises(BlockingIOError):
            listener.accept()
        before = time.monotonic()
        await asyncio.sleep(0.02)
        late = socket.create_connection(listener.getsockname())
        fourth, _ = listener.accept()
        assert listener.waiting_since[fourth.fileno()] >= before and select_count(loop) > 0
        for each in (*clients, late, first, second, third, fourth):
            each.close()

    run(test())


@pytest.mark.usefixtures("never_blocked")
def test_no_connection_counts_as_waiting_longer_than_the_turnover_of_a_full_queue(listener):
    async def test():
        listener.listen(2)
        clients, accepted = [socket.create_connection(listener.getsockname())], []
        for _ in range(5):  # The queue is never empty.
            clients.append(socket.create_connection(listener.getsockname()))
            await asyncio.sleep(0)
            accepted.append(listener.accept()[0])
            time.sleep(0.02)
        waits = [listener.waiting_since[each.fileno()] for each in accepted]
        assert waits[0] == waits[1] < waits[3] < waits[4]
        for each in (*clients, *accepted):
            each.close()

    run(test())


def test_a_connection_after_an_idle_poll_does_not_count_from_the_previous_queue(listener):
    async def test():
        client = socket.create_connection(listener.getsockname())
        # The loop does not accept again, so it does not know that the queue is empty.
        accepted, _ = listener.accept()
        await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        before = time.monotonic()
        await asyncio.sleep(0.01)
        late = socket.create_connection(listener.getsockname())
        second, _ = listener.accept()
        assert listener.waiting_since[second.fileno()] >= before
        for each in (client, accepted, late, second):
            each.close()

    run(test())
