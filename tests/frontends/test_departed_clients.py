"""Checks that no attempt begins for a client that has left, and that an unsafe request runs only once."""

import asyncio
import socket
import time
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from floods import LARGE_BODY
from stand_ins import (
    StandInServer,
    chat_request,
    chunk,
    decode,
    hang,
    message,
    prefill,
    read_message,
    registry_entry,
    router_with_endpoints,
    run,
    running_router,
    within,
)

CLIENTS = 6
REJECTION_DELAY = 0.3  # seconds after which an endpoint rejects an attempt
STAY = 0.05  # seconds from a client's first byte to its close
GRACE = 0.1  # seconds after the close of a client in which an attempt for it may still begin
OBSERVED = 1.5  # duration in seconds of the watch for late attempts
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # value of SO_LINGER
UPGRADE_FIELDS = b"\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
UPGRADE = b"GET /health/ready HTTP/1.1\r\nHost: h" + UPGRADE_FIELDS
OVERLOADED = message("HTTP/1.1 503 Service Unavailable", X_Unprocessed=1)
CHUNKED_HEAD = chat_request(id="chunked").replace(
    b'Content-Length: 15\r\n\r\n{"stream":true}', b"Transfer-Encoding: chunked\r\n\r\n"
)
BEHIND = {
    "nothing": b"",
    "one large request": chat_request(id="behind", body=LARGE_BODY),
    "three large requests": b"".join(chat_request(id=f"behind{n}", body=LARGE_BODY) for n in range(3)),
    "16 large requests": b"".join(chat_request(id=f"behind{n}", body=LARGE_BODY) for n in range(16)),
    "small chunks without an end": CHUNKED_HEAD + chunk(b"x" * 20) * 40_000,
    "thousands of requests": b"".join(chat_request(id=f"behind{n}") for n in range(4000)),
    "a bad request and much behind it": b"noise\r\n\r\n" + LARGE_BODY * 8,
    "an upgrade and much behind it": UPGRADE + LARGE_BODY * 8,
}


class RejectingEndpoint(StandInServer):
    """A prefill endpoint that rejects each attempt after a delay, and records the start of each."""

    def __init__(self):
        super().__init__(self.reject)
        self.attempts = []  # request id and time of each attempt

    async def reject(self, call, writer):
        """Record the attempt and reject it; accept other calls."""
        if not call[0].startswith("POST /v1/chat"):
            await prefill(call, writer)
            return
        self.attempts.append((call[1]["x-correlation-id"], time.monotonic()))
        await asyncio.sleep(REJECTION_DELAY)
        writer.write(OVERLOADED)


@asynccontextmanager
async def router_with_rejecting_endpoints(tmp_path):
    """Start a router whose three prefill endpoints reject all attempts; yield it and the endpoints."""
    async with AsyncExitStack() as stack:
        endpoints = [await stack.enter_async_context(RejectingEndpoint()) for _ in range(3)]
        writer = await stack.enter_async_context(StandInServer(decode))
        entries = [registry_entry(f"p{n}", each.address, "prefill") for n, each in enumerate(endpoints)]
        entries.append(registry_entry("d", writer.address, "decode"))
        router = await stack.enter_async_context(running_router(tmp_path, entries))
        yield router, endpoints


def send_some(client, data):
    """Send as much as the kernel takes now, and return the rest."""
    try:
        while data:
            data = data[client.send(data) :]
    except BlockingIOError:
        pass
    return data


async def send_and_leave(address, sent, reset):
    """Send a request with more behind it, leave after STAY seconds, and return the time of the close."""
    host, port = address.split(":")
    client = socket.create_connection((host, int(port)))
    client.setblocking(False)
    rest = sent
    end = time.monotonic() + STAY
    while time.monotonic() < end:
        rest = send_some(client, rest)
        await asyncio.sleep(0.002)
    if reset:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    closed_at = time.monotonic()
    client.close()
    return closed_at


# Guards against a close that is not seen because it lies behind bytes that the router does not read.
@pytest.mark.parametrize("reset", [False, True], ids=["closes", "resets"])
@pytest.mark.parametrize("behind", BEHIND)
def test_no_attempt_begins_after_a_client_left_with_much_unread(tmp_path, behind, reset):
    async def test():
        async with router_with_rejecting_endpoints(tmp_path) as (router, endpoints):
            names = [f"left{n}" for n in range(CLIENTS)]
            requests = [chat_request(id=name, cls="booking", time_remaining_ms=9000) for name in names]
            sent = [send_and_leave(router.address, each + BEHIND[behind], reset) for each in requests]
            closes = await asyncio.gather(*sent)
            await asyncio.sleep(OBSERVED)
            attempts = [attempt for each in endpoints for attempt in each.attempts]
            closed_at = dict(zip(names, closes, strict=True))
            last_close = max(closes)
            late = [
                (name, round(start - closed_at.get(name, last_close), 3))
                for name, start in attempts
                if start > closed_at.get(name, last_close) + GRACE
            ]
            assert attempts and not late
            assert not await router.stop_and_read_internal_errors()

    run(test())


CHUNKED_BODY = chunk(b'{"a":"' + b"x" * 60_000) + chunk(b"y" * 60_000) + chunk(b'"}') + b"0\r\n\r\n"
MANY = {
    "large requests": [chat_request(id=f"behind{n}", body=LARGE_BODY) for n in range(16)],
    "chunked requests": [
        CHUNKED_HEAD.replace(b"chunked\r\nX-S", b"c%d\r\nX-S" % n) + CHUNKED_BODY for n in range(16)
    ],
    "small requests": [chat_request(id=f"behind{n}") for n in range(3000)],
    "health checks": [b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"] * 12_000,
}


# Guards against a close that is not seen behind input that is not parsed after a request for an upgrade.
def test_no_attempt_begins_after_a_client_left_with_much_behind_a_request_for_an_upgrade(tmp_path):
    async def test():
        async with router_with_rejecting_endpoints(tmp_path) as (router, endpoints):
            requests = [chat_request(id=f"up{n}", cls="booking", time_remaining_ms=9000) for n in range(4)]
            upgrades = [each.replace(b"\r\n\r\n", UPGRADE_FIELDS) for each in requests]
            sent = [send_and_leave(router.address, each + LARGE_BODY * 8, reset=False) for each in upgrades]
            last_close = max(await asyncio.gather(*sent))
            await asyncio.sleep(OBSERVED)
            starts = [start for each in endpoints for _, start in each.attempts]
            assert starts and max(starts) < last_close + GRACE

    run(test())


# Guards against requests behind another that get no answer because their bytes were not kept.
@pytest.mark.parametrize("name", MANY)
def test_each_request_behind_another_is_answered_in_its_turn_even_if_it_is_not_kept(tmp_path, name):
    async def test():
        async with router_with_endpoints(tmp_path, prefill=slow_prefill) as program:
            reader, writer = await program.connect()
            writer.write(chat_request(id="first") + b"".join(MANY[name]))
            answers = [await within(read_message(reader)) for _ in range(1 + len(MANY[name]))]
            writer.write(chat_request(id="after"))
            answers.append(await within(read_message(reader)))
            writer.close()
            statuses = [answer.status for answer in answers]
            assert statuses[0] == statuses[-1] == 200 and set(statuses) <= {200, 503}
            assert not await program.stop_and_read_internal_errors()

    run(test())


async def slow_prefill(call, writer):
    """Complete a prefill after a moment, in which input gathers behind its request."""
    await asyncio.sleep(0.3)
    await prefill(call, writer)


async def hang_or_reject(call, writer):
    """Never answer a chat request; reject a reservation."""
    handler = hang if call[0].startswith("POST /v1/chat") else decode
    await handler(call, writer)


# Guards against an id that runs again while or after its first attempt may have run, as its client left.
@pytest.mark.parametrize("behind", [b"", LARGE_BODY], ids=["nothing behind", "more behind"])
def test_an_unsafe_request_whose_client_left_does_not_run_again_under_its_id(tmp_path, behind):
    async def test():
        async with router_with_endpoints(tmp_path, decode=hang_or_reject) as program:
            _, writer = await program.connect()
            writer.write(chat_request(id="once", cls="booking") + behind)
            await program.decode_server.wait_for("POST /v1/chat")
            writer.transport.abort()
            answers = []
            for _ in range(8):
                answers.append(await program.exchange(chat_request(id="once", cls="booking")))
                await asyncio.sleep(0.1)
            assert {answer.status for answer in answers} == {409}
            assert len(program.decode_server.named("POST /v1/chat")) == 1
            assert not await program.stop_and_read_internal_errors()

    run(test())


# Guards against ids that stay taken although their requests have certainly not run.
def test_an_id_is_free_again_if_its_client_left_before_anything_ran(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path, prefill=first_hangs(), decode=decode) as program:
            _, writer = await program.connect()
            writer.write(chat_request(id="again", cls="booking"))
            await program.prefill_server.wait_for("POST /v1/chat")
            writer.transport.abort()
            await within(program.prefill_server.closed.get())
            statuses = []
            while not statuses or statuses[-1] not in (200, 409):
                statuses.append((await program.exchange(chat_request(id="again", cls="booking"))).status)
                await asyncio.sleep(0.1)
            assert statuses[-1] == 200
            assert len(program.decode_server.named("POST /v1/chat")) == 1

    run(test())


def first_hangs():
    """Return a prefill handler that answers all chat requests but the first."""
    hanging = []

    async def handler(call, writer):
        if call[0].startswith("POST /v1/chat") and not hanging:
            hanging.append(call)
            await hang(call, writer)
        await prefill(call, writer)

    return handler
