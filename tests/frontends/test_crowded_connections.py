"""Checks that usual clients are answered beside a crowd that fills the places for client connections."""

import asyncio
import itertools
import time

from floods import FLOODS, LARGE_BODY, flood
from stand_ins import chat_request, prefill, read_message, router_with_endpoints, run, within

LIMITS = {"memory_mb": 192, "sockets": 256}  # 85 client connections
CROWD = 110
USUAL_CLIENTS = 6
SECONDS = 6.0
PAUSE = 0.04  # seconds between two requests of a usual client


async def ask_on_one_connection(program, end, numbers):
    """Send usual requests on one connection, and return the statuses; None stands for a missing answer."""
    statuses = []
    reader, writer = await program.connect()
    while time.monotonic() < end:
        writer.write(chat_request(id=f"usual{next(numbers)}"))
        try:
            answer = await within(read_message(reader))
        except ConnectionError:
            answer = None
        statuses.append(answer and answer.status)
        if answer is None or "close" in answer.headers.get("connection", ""):
            writer.close()
            reader, writer = await program.connect()
        await asyncio.sleep(PAUSE)
    writer.close()
    return statuses


# Guards against connections that are closed for a crowd although their client has just sent a request.
def test_usual_clients_on_open_connections_are_answered_beside_a_crowd(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path, limits=LIMITS) as program:
            end, numbers = time.monotonic() + SECONDS, itertools.count()
            asking = (ask_on_one_connection(program, end, numbers) for _ in range(USUAL_CLIENTS))
            usual = asyncio.gather(*asking)
            await asyncio.sleep(0.5)
            large = FLOODS["a request and large bodies behind it"]
            await asyncio.gather(*(flood(program.address, large, SECONDS - 1) for _ in range(CROWD)))
            statuses = [status for each in await usual for status in each]
            assert statuses.count(200) > USUAL_CLIENTS and set(statuses) <= {200, 503}
            assert not await program.stop_and_read_internal_errors()

    run(test())


HEALTH_CHECK = b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"
SMALL_LIMITS = {"memory_mb": 64, "sockets": 1024}
HELD_REQUESTS = 24  # Their bodies use up the memory for bodies.


# Guards against requests that get no answer because the one before them was rejected for its size.
def test_a_request_behind_a_rejected_large_one_is_answered(tmp_path):
    held = asyncio.Event()

    async def hold(call, writer):
        await held.wait()
        await prefill(call, writer)

    async def test():
        async with router_with_endpoints(tmp_path, prefill=hold, limits=SMALL_LIMITS) as program:
            large = [
                program.exchange(chat_request(id=f"h{n}", body=LARGE_BODY)) for n in range(HELD_REQUESTS)
            ]
            holding = asyncio.gather(*large)
            await program.prefill_server.wait_for("POST /v1/chat")
            await asyncio.sleep(0.3)
            reader, writer = await program.connect()
            writer.write(chat_request(id="large", body=LARGE_BODY) + HEALTH_CHECK)
            rejected = await within(read_message(reader))
            held.set()
            answers = [rejected, await within(read_message(reader))]
            writer.close()
            await holding
            assert [answer and answer.status for answer in answers] == [503, 200]
            assert not await program.stop_and_read_internal_errors()

    run(test())
