"""The listener's account of since when connections may have waited to be accepted."""

import asyncio
import socket
import time

import pytest

from llm_router.transport.event_loop import TimedEventLoop, select_count
from llm_router.transport.listener import Listener


def run(test):
    """Run a test on the program's own kind of loop."""
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


def test_connections_left_in_the_queue_have_waited_since_it_began(listener):
    async def test():
        loop = asyncio.get_running_loop()
        clients = [socket.create_connection(listener.getsockname()) for _ in range(3)]
        await asyncio.sleep(0)
        first, _ = listener.accept()
        began = listener.waiting_since[first.fileno()]
        time.sleep(0.05)
        await asyncio.sleep(0)  # another poll, after which the others are accepted
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
def test_nobody_has_waited_longer_than_a_full_queue_took_to_accept(listener):
    async def test():
        listener.listen(2)
        clients, accepted = [socket.create_connection(listener.getsockname())], []
        for _ in range(5):  # the queue never empties
            clients.append(socket.create_connection(listener.getsockname()))
            await asyncio.sleep(0)
            accepted.append(listener.accept()[0])
            time.sleep(0.02)
        waits = [listener.waiting_since[each.fileno()] for each in accepted]
        assert waits[0] == waits[1] < waits[3] < waits[4]
        for each in (*clients, *accepted):
            each.close()

    run(test())


def test_a_queue_that_the_loop_found_empty_between_two_connections_is_a_new_one(listener):
    async def test():
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()  # the loop stops here, not knowing that none is left
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
