"""Checks that a request is not served if its client disconnected while the request was queued.

The event loop reads the disconnect only after the request, so it could start to serve the request."""

import asyncio
import socket
import time
from types import SimpleNamespace

import pytest
from stand_ins import chat_request, reserve_port, within

from llm_router.frontends.platform import PlatformFrontend
from llm_router.lifecycle.events import RequestReceived
from llm_router.transport.event_loop import TimedEventLoop
from llm_router.transport.memory_budget import MemoryBudget


async def requests_received(config, act):
    """Let a client act while the loop is busy, and return the requests that the lifecycle then receives."""
    events = []
    frontend = PlatformFrontend(
        config, SimpleNamespace(proxied_requests={}, feed=events.append), MemoryBudget(1 << 20)
    )
    await frontend.server.start()
    with socket.create_connection(config.listen) as client:
        while not frontend.server.http_server.connections:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
        act(client)
        time.sleep(0.1)  # The loop is busy, so the request and the disconnect are both queued.
        for _ in range(50):
            await asyncio.sleep(0)
    frontend.server.acceptor.close()
    await within(frontend.server.http_server.shutdown(0))
    return [event for event in events if isinstance(event, RequestReceived)]


def send_and_close(client):
    client.sendall(chat_request())
    client.close()


def send_and_shut_down_sending(client):
    client.sendall(chat_request())
    client.shutdown(socket.SHUT_WR)


def send_and_reset(client):
    client.sendall(chat_request())
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.close()


def send_and_stay(client):
    client.sendall(chat_request())


def run(work):
    with asyncio.Runner(loop_factory=TimedEventLoop) as runner:
        return runner.run(work)


@pytest.fixture
def config(configuration):
    return configuration(listen=f"127.0.0.1:{reserve_port()}")


@pytest.mark.usefixtures("never_blocked")
@pytest.mark.parametrize("act", [send_and_close, send_and_shut_down_sending, send_and_reset])
def test_a_request_whose_client_disconnected_while_it_was_queued_is_not_served(act, config):
    assert run(requests_received(config, act)) == []


def test_a_request_whose_client_stays_connected_is_served(config):
    received = run(requests_received(config, send_and_stay))
    assert [event.request_id for event in received] == ["r1"]
