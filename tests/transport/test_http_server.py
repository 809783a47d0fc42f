"""Checks which client connections are closed for new ones, and when a connection counts as idle."""

import asyncio
import gc
import weakref

import pytest
from aiohttp import web

from llm_router.transport.client_connection import ClientConnection
from llm_router.transport.clock import to_seconds
from llm_router.transport.counted_response import CountedResponse
from llm_router.transport.http_server import MIN_IDLE_TIME, NEW_CONNECTION_AGE, HttpServer, ServerLimits
from llm_router.transport.memory_budget import MemoryBudget, MemoryShare
from llm_router.transport.rejected_connection import RejectedConnection
from llm_router.transport.responses import plain_text_error

GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class FakeTransport:
    """A transport without a socket, which records whether it was closed."""

    def __init__(self):
        self.closed = False

    def close(self):
        self.closed = True

    def write_eof(self):
        """Do nothing."""

    def get_extra_info(self, _name):
        return None


async def answer_ok(_request):
    return web.Response()


def limits(max_connections, max_rejected=1, size=5):
    """Return the limits of a server, and a memory budget of the same size as its bodies."""
    return ServerLimits(max_connections, max_rejected, size), MemoryBudget(size)


def test_each_connection_above_the_limit_closes_another_one():
    async def never(_request):
        raise AssertionError("the handler must not be called")

    async def test():
        server, transports = HttpServer(never, None, *limits(3)), [FakeTransport() for _ in range(3)]
        for transport in transports:
            connection = server()
            connection.connection_made(transport)
            connection.idle_since -= 2 * to_seconds(NEW_CONNECTION_AGE)
        accepted = [server() for _ in range(4)]  # The loop accepts several connections in one iteration.
        assert [type(each) for each in accepted] == [ClientConnection] * 3 + [RejectedConnection]
        assert all(transport.closed for transport in transports)

    asyncio.run(test())


def test_eviction_does_not_check_every_connection(monkeypatch):
    checked = []
    is_idle = ClientConnection.is_idle

    def check(connection):
        checked.append(connection)
        return is_idle.fget(connection)

    monkeypatch.setattr(ClientConnection, "is_idle", property(check))

    async def test():
        server = HttpServer(None, None, *limits(50))
        for _ in range(50):
            connection = ClientConnection(server, loop=asyncio.get_running_loop())
            connection.transport, connection.idle_since = FakeTransport(), 0.0
            server._connections[connection] = None
        oldest = next(iter(server._connections))
        assert server.evict() and oldest.transport is None
        assert checked == [oldest]

    asyncio.run(test())


def test_a_connection_is_not_idle_between_a_request_and_its_response():
    async def test():
        handled, answer = asyncio.Event(), asyncio.Event()

        async def handle(_request):
            handled.set()
            await answer.wait()
            return web.Response(text="done")

        server = HttpServer(handle, None, *limits(5, 5, 500))
        listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while not (connections := server.connections) or not connections[0]._request_count:
            await asyncio.sleep(0)
        while not handled.is_set():
            assert not connections[0].all_answered, (
                "a request that was read must not count as answered before its handler begins"
            )
            await asyncio.sleep(0)
        server.drain()
        assert not connections[0].all_answered
        answer.set()
        assert (await asyncio.wait_for(reader.read(), 10)).endswith(b"done")
        writer.close()
        listener.close()

    asyncio.run(test())


# Guards against a request that stays unread behind a body whose handler was already running.
def test_a_request_behind_a_body_that_comes_late_is_answered():
    async def test():
        started = asyncio.Event()

        async def echo(request):
            started.set()
            return web.Response(body=await request.read())

        server = HttpServer(echo, None, *limits(5, 5, 500))
        listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"
        writer.write(head)
        await asyncio.wait_for(started.wait(), 10)
        writer.write(b"first" + head + b"later" + head + b"third")
        for body in (b"first", b"later", b"third"):
            assert (await asyncio.wait_for(reader.readuntil(body), 10)).startswith(b"HTTP/1.1 200 OK")
        writer.close()
        listener.close()

    asyncio.run(test())


HALF_BODY = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" + b"x" * 5000


# Guards against closed connections whose input stays in memory until the next garbage collection.
@pytest.mark.parametrize("data", [b"\x80" * 1000, HALF_BODY, HALF_BODY * 2], ids=["noise", "half", "two"])
def test_a_connection_that_closed_is_freed_at_once(data):
    async def read_body(request):
        return web.Response(body=await request.read())

    async def test():
        server = HttpServer(read_body, plain_text_error, *limits(5, 5, 10_000))
        listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
        _, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        writer.write(data)
        while not (connections := server.connections) or not connections[0]._request_count:
            await asyncio.sleep(0)
        del connections
        await asyncio.sleep(0.01)  # The handler waits for the rest of the body.
        writer.transport.abort()
        while server.connections:
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        assert not [each for each in gc.get_objects() if isinstance(each, ClientConnection)]
        listener.close()

    gc.collect()
    gc.disable()
    try:
        asyncio.run(test())
    finally:
        gc.enable()


async def _until(condition):
    """Let the event loop run until the condition holds."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.001)


# Guards against uncounted heads, which aiohttp keeps with the last request of an idle connection.
def test_the_head_of_an_answered_request_is_counted_until_the_next_one_or_the_close():
    async def test():
        async def handle(_request):
            return web.Response(text="done")

        server = HttpServer(handle, None, *limits(5, 5, 500_000))
        listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        start = b"GET / HTTP/1.1\r\nHost: h\r\n"
        writer.write(start + b"".join(b"X-%d: %s\r\n" % (n, b"x" * 5000) for n in range(5)) + b"\r\n")
        await asyncio.wait_for(reader.readuntil(b"done"), 10)
        await _until(lambda: server.connections[0].is_idle)
        assert server.input_memory._used > 25_000
        writer.write(start + b"\r\n")
        await asyncio.wait_for(reader.readuntil(b"done"), 10)
        assert server.input_memory._used == 0, "a small head is within the allowance"
        writer.close()
        await _until(lambda: not server.connections)
        assert server.input_memory._used == 0
        listener.close()

    asyncio.run(test())


# Guards against buffered responses that stay in memory uncounted, because their client reads slowly or rests.
@pytest.mark.parametrize("reads", [True, False])
def test_a_counted_response_stays_counted_until_it_is_sent_or_its_connection_is_closed(reads):
    body = b"x" * 4_000_000  # more than the kernel buffers for a client that does not read

    async def test():
        memory = MemoryBudget(10 * len(body))
        answers = weakref.WeakSet()

        async def handle(_request):
            share = MemoryShare(memory)
            share.resize(len(body))
            answers.add(response := CountedResponse(share, body=body))
            return response

        server = HttpServer(handle, None, *limits(5, 5, 500))
        listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
        assert memory._used == len(body)
        if reads:
            await asyncio.wait_for(reader.readexactly(len(body)), 10)
            await _until(lambda: server.connections[0].all_answered)
            assert {answer.body for answer in answers} == {None}, "the connection keeps its last response"
        else:
            writer.transport.abort()
            await _until(lambda: not server.connections)
        await _until(lambda: memory._used == 0)
        writer.close()
        listener.close()

    asyncio.run(test())


# Guards against a request that counts as complete since its head arrived, though its body came later.
def test_the_arrival_of_a_queued_request_is_that_of_its_last_byte():
    async def test():
        loop, release, arrivals = asyncio.get_running_loop(), asyncio.Event(), {}

        async def handle(request):
            await release.wait()
            body = await request.read()
            arrivals[request.path] = HttpServer.request_arrival(request)
            return web.Response(body=body)

        server = HttpServer(handle, None, *limits(5, 5, 500))
        listener = await loop.create_server(server, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        writer.write(b"GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
        writer.write(b"POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nla")
        await _until(lambda: server.connections and server.connections[0]._request_count == 2)
        before = loop.time()
        writer.write(b"ter")
        await _until(lambda: server.connections[0]._input.buffer)
        release.set()
        await asyncio.wait_for(reader.readuntil(b"later"), 10)
        assert arrivals["/first"].received_at < before <= arrivals["/second"].received_at
        assert arrivals["/second"].earliest <= arrivals["/second"].received_at
        writer.close()
        listener.close()

    asyncio.run(test())


# Guards against clients that keep a shutdown from its end, because they always send another request.
@pytest.mark.parametrize(("answers_input", "answers"), [(True, 3), (False, 1)])
def test_input_behind_a_request_is_answered_in_a_shutdown_until_its_time_is_up(answers_input, answers):
    async def test():
        loop, begun, release = asyncio.get_running_loop(), asyncio.Event(), asyncio.Event()

        async def handle(_request):
            begun.set()
            await release.wait()
            return web.Response(text="done")

        server = HttpServer(handle, None, *limits(5, 5, 500))
        listener = await loop.create_server(server, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 3)
        await asyncio.wait_for(begun.wait(), 10)
        server.drain(loop.time() + (60 if answers_input else -1))
        assert server.has_open_requests
        release.set()
        assert (await asyncio.wait_for(reader.read(), 10)).count(b"done") == answers
        assert not server.has_open_requests
        writer.close()
        listener.close()

    asyncio.run(test())


# Guards against a connection that is closed for a new one while its client's next request waits to be read.
def test_a_connection_with_an_unread_request_is_not_closed_for_a_new_one():
    async def test():
        server = HttpServer(answer_ok, plain_text_error, *limits(1, size=1000))
        listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        writer.write(GET)
        await reader.readuntil(b"\r\n\r\n")
        for connection in server._clients():
            connection.idle_since -= 2 * to_seconds(MIN_IDLE_TIME)
        writer.write(GET)
        assert not server.evict(), "the request was sent, and the event loop has not read it yet"
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        assert not server.evict(), "the connection was in use a moment ago"
        for connection in server._clients():
            connection.idle_since -= 2 * to_seconds(MIN_IDLE_TIME)
        assert server.evict() and not await reader.read()
        writer.close()
        listener.close()

    asyncio.run(test())


# Guards against a new connection that is closed for another one while its first request waits to be read.
def test_a_new_connection_with_an_unread_request_is_not_closed_for_another_one():
    async def test():
        server = HttpServer(answer_ok, plain_text_error, *limits(1, size=1000))
        listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        while not server.connections:
            await asyncio.sleep(0)
        for connection in server._clients():
            connection.idle_since -= 2 * to_seconds(NEW_CONNECTION_AGE)
        writer.write(GET)
        assert not server.evict()
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        writer.close()
        listener.close()

    asyncio.run(test())


# Guards against a rejected connection that is reset before its client can read the rejection.
def test_a_rejected_connection_above_the_limit_is_closed_after_its_rejection():
    async def test():
        server = HttpServer(answer_ok, plain_text_error, *limits(0, max_rejected=2, size=1000))
        listener = await asyncio.get_running_loop().create_server(server, "127.0.0.1", 0)
        clients = []
        for _ in range(2):
            clients.append(await asyncio.open_connection(*listener.sockets[0].getsockname()))
            await asyncio.sleep(0.02)
        (first, first_writer), (second, second_writer) = clients
        first_writer.write(GET)
        server._rejected.add(RejectedConnection(server._rejected))
        answer = await first.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 503"), "its request was sent, but not read"
        second_writer.write(GET)
        assert (await second.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 503")
        unanswered = await asyncio.open_connection(*listener.sockets[0].getsockname())
        clients.append(unanswered)
        await asyncio.sleep(0.02)
        assert not await second.read(), "an answered connection gives way before an unanswered one"
        for _, writer in clients:
            writer.close()
        listener.close()

    asyncio.run(test())
