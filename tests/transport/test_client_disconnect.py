"""A client that has left gets no work done for it, also where its end is read behind its request."""

import asyncio
import socket
import time
from types import SimpleNamespace

import pytest
from stand_ins import SETTINGS, chat_request, free_port, within

from llm_router.configuration import platform_configuration
from llm_router.frontends.platform import PlatformFrontend
from llm_router.lifecycle.events import RequestReceived
from llm_router.transport.arrival import Loop


async def what_is_fed(client_does):
    """Let a client act while the loop is busy, and give what the core is told after that."""
    address = "127.0.0.1", free_port()
    told = {"name": "n", "listen": "{}:{}".format(*address), "discovery": "127.0.0.1:1", "settings": SETTINGS}
    fed = []
    front = PlatformFrontend(platform_configuration(told), SimpleNamespace(exchanges={}, feed=fed.append))
    await front.server.start()
    with socket.create_connection(address) as client:
        while not front.server.door.connections:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
        client_does(client)
        time.sleep(0.1)  # the loop is busy: the request and the client's end wait side by side
        for _ in range(50):
            await asyncio.sleep(0)
    front.server.acceptor.close()
    await within(front.server.door.shutdown(0))
    return [event for event in fed if isinstance(event, RequestReceived)]


def leaves(client):
    client.sendall(chat_request())
    client.close()


def ends_its_sending(client):
    client.sendall(chat_request())
    client.shutdown(socket.SHUT_WR)


def resets(client):
    client.sendall(chat_request())
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.close()


def run(work):
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(work)


@pytest.mark.parametrize("client_does", [leaves, ends_its_sending, resets])
def test_a_client_that_left_while_its_request_waited_is_not_served(client_does, monkeypatch):
    monkeypatch.setattr(
        "llm_router.transport.arrival.BLOCKED", 60.0
    )  # a look that a busy machine delays did not wait
    assert run(what_is_fed(client_does)) == []


def test_a_client_that_stays_is_served():
    assert [
        asked.request_id for asked in run(what_is_fed(lambda client: client.sendall(chat_request())))
    ] == ["r1"]
