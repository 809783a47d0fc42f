"""What `net/aio.py` uses of aiohttp's own parts is there in the pinned release, and acts as it expects."""

import asyncio
from pathlib import Path
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import web
from aiohttp.client_proto import ResponseHandler
from aiohttp.web_protocol import RequestHandler, _ErrInfo
from stand_ins import StandInServer, message

from llm_router.transport.aio import (
    FRESH,
    ClientConnection,
    HttpServer,
    MalformedResponseError,
    RejectedConnection,
    UpstreamConnection,
    UpstreamConnector,
    never_resend,
)

PINS = (Path(__file__).parents[2] / "requirements.txt").read_text().split()


def test_the_release_is_the_pinned_one():
    assert f"aiohttp=={aiohttp.__version__}" in PINS


def test_the_private_parts_are_there():
    assert {"_request_count", "_messages"} <= set(RequestHandler.__slots__)
    assert hasattr(RequestHandler, "_resume_transport_reading")
    assert _ErrInfo(400, ValueError(), "x").status == 400
    assert hasattr(ResponseHandler, "set_response_params") and hasattr(ResponseHandler, "feed_data")

    async def test():
        connector = UpstreamConnector()
        assert (
            isinstance(connector._factory(), UpstreamConnection)
            and connector._conns == {}
            and connector.keeping
        )
        session = aiohttp.ClientSession(connector=connector)
        assert session._retry_connection is True
        never_resend(session)
        door = HttpServer(None, None, 5, 5, 5, 5)
        assert door._connections == {} and door.caller().idle
        await session.close()

    asyncio.run(test())


@pytest.mark.parametrize("opening", [b"", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"])
def test_an_answer_that_cannot_be_read_reaches_whoever_reads(opening):
    async def spoil(call, writer):
        writer.write(opening)
        await writer.drain()
        writer.write(b"\x80\x81\r\n\r\n")
        await asyncio.Event().wait()

    async def test():
        async with (
            StandInServer(spoil) as server,
            aiohttp.ClientSession(connector=UpstreamConnector()) as session,
        ):
            with pytest.raises(MalformedResponseError):
                async with asyncio.timeout(10), session.get(f"http://{server.address}/") as answer:
                    await answer.read()

    asyncio.run(test())


def test_a_kept_connection_serves_the_next_call():
    async def answer(call, writer):
        writer.write(message("HTTP/1.1 200 OK", b"x"))

    async def test():
        connector = UpstreamConnector()
        async with StandInServer(answer) as server, aiohttp.ClientSession(connector=connector) as session:
            for _ in range(3):
                async with session.get(f"http://{server.address}/") as got:
                    assert await got.read() == b"x"
            assert connector.drop_idle() == 1 and not connector.broken

    asyncio.run(test())


def test_each_connection_taken_over_the_bound_makes_another_one_close():
    async def never(request):
        raise AssertionError("no request comes")

    class Wire:
        def __init__(self):
            self.closed = False

        def close(self):
            self.closed = True

        def get_extra_info(self, name):
            return None

    async def test():
        door, wires = HttpServer(never, None, 3, 1, 5, 5), [Wire() for _ in range(3)]
        for wire in wires:
            caller = door()
            caller.connection_made(wire)
            caller.since -= 2 * FRESH.total_seconds()
        taken = [door() for _ in range(4)]  # as many as the loop accepts in one go
        assert [type(each) for each in taken] == [ClientConnection] * 3 + [RejectedConnection]
        assert all(wire.closed for wire in wires)

    asyncio.run(test())


def test_a_flood_is_met_without_a_look_at_every_connection(monkeypatch):
    looked = []
    resting = ClientConnection.resting

    def look(caller):
        looked.append(caller)
        return resting.fget(caller)

    monkeypatch.setattr(ClientConnection, "resting", property(look))

    async def test():
        door = HttpServer(None, None, 50, 1, 5, 5)
        for _ in range(50):
            caller = ClientConnection(door, loop=asyncio.get_running_loop())
            caller.transport, caller.since = SimpleNamespace(close=lambda: None), 0.0
            door._connections[caller] = None
        oldest = next(iter(door._connections))
        assert door.make_room() and oldest.transport is None
        assert looked == [oldest]

    asyncio.run(test())


def test_a_connection_with_a_request_is_at_no_moment_idle_until_its_answer():
    async def test():
        handled, answer = asyncio.Event(), asyncio.Event()

        async def handle(request):
            handled.set()
            await answer.wait()
            return web.Response(text="done")

        door = HttpServer(handle, None, 5, 5, 500, 500)
        listener = await asyncio.get_running_loop().create_server(door, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while not (callers := door.connections) or not callers[0]._request_count:
            await asyncio.sleep(0)
        while not handled.is_set():
            assert not callers[0].idle, "read, and about to be handled"
            await asyncio.sleep(0)
        door.wind_up()
        assert not callers[0].idle
        answer.set()
        assert (await asyncio.wait_for(reader.read(), 10)).endswith(b"done")
        writer.close()
        listener.close()

    asyncio.run(test())
