"""A client that has left gets no work done for it, also where its end is read after its request."""

import asyncio
import socket
import time
from types import SimpleNamespace

import pytest
from stand_ins import chat_request, free_port, within

from llm_router.frontends.platform import PlatformFrontend
from llm_router.lifecycle.events import RequestReceived
from llm_router.transport.event_loop import TimedEventLoop


async def requests_received(config, act):
    """Let a client act while the loop is busy, and return the requests that the lifecycle gets after that."""
    events = []
    frontend = PlatformFrontend(config, SimpleNamespace(proxied_requests={}, feed=events.append))
    await frontend.server.start()
    with socket.create_connection(config.listen) as client:
        while not frontend.server.http_server.connections:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
        act(client)
        time.sleep(0.1)  # the loop is busy: the request and the client's end wait side by side
        for _ in range(50):
            await asyncio.sleep(0)
    frontend.server.acceptor.close()
    await within(frontend.server.http_server.shutdown(0))
    return [event for event in events if isinstance(event, RequestReceived)]


def leave(client):
    client.sendall(chat_request())
    client.close()


def end_sending(client):
    client.sendall(chat_request())
    client.shutdown(socket.SHUT_WR)


def reset(client):
    client.sendall(chat_request())
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.close()


def stay(client):
    client.sendall(chat_request())


def run(work):
    with asyncio.Runner(loop_factory=TimedEventLoop) as runner:
        return runner.run(work)


@pytest.fixture
def config(configuration):
    return configuration(listen=f"127.0.0.1:{free_port()}")


@pytest.mark.usefixtures("never_blocked")
@pytest.mark.parametrize("act", [leave, end_sending, reset])
def test_a_client_that_left_while_its_request_waited_is_not_served(act, config):
    assert run(requests_received(config, act)) == []


def test_a_client_that_stays_is_served(config):
    received = run(requests_received(config, stay))
    assert [event.request_id for event in received] == ["r1"]
