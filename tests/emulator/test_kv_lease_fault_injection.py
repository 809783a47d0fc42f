"""Nothing stays leased under faults drawn from fixed seeds, judged by the endpoints' own record."""

import asyncio
import json
import random
from contextlib import asynccontextmanager

import pytest
from gated_deployment import gated_deployment
from stand_ins import FACTS, SETTINGS, chat_request, run

MS = 1_000_000  # nanoseconds
KINDS = {"r1": "prefill", "r2": "prefill", "w1": "decode", "w2": "decode", "w3": "decode"}
STEADY = "w3"  # the endpoint that no fault hits: a decode endpoint can always be reached
REQUESTS = 60
MAX_SILENCE = 0.15  # seconds
CUSTOMERS = {
    "short release time": {"release_within": 60 * MS, "ahead": True},
    "no reservations": {"release_within": 300 * MS, "ahead": False},
    "long release time": {"release_within": 900 * MS, "ahead": True},
}


async def be_silent(endpoint, seconds):
    """Let nothing reach an endpoint for a time."""
    endpoint.inbound.clear()
    await asyncio.sleep(min(seconds, MAX_SILENCE))
    endpoint.inbound.set()


async def refuse(endpoint, seconds):
    """Let an endpoint refuse connections for a time."""
    endpoint.refuse()
    endpoint.close_idle()
    await asyncio.sleep(seconds)
    await endpoint.listen()


async def hang(endpoint, seconds):
    """Let an endpoint end no prefill and begin no decode for a time."""
    endpoint.finish.clear()
    await asyncio.sleep(seconds)
    endpoint.finish.set()


async def reject_reservations(endpoint, seconds):
    """Let an endpoint grant no reservation for a time."""
    endpoint.grants_reservations = False
    await asyncio.sleep(seconds)
    endpoint.grants_reservations = True


async def reset_prefills(endpoint, seconds):
    """Let an endpoint reset the connections of prefills for a time."""
    endpoint.resets_prefills = True
    await asyncio.sleep(seconds)
    endpoint.resets_prefills = False


async def leave_reservations_unanswered(endpoint, seconds):
    """Let an endpoint answer no reservation for a time."""
    endpoint.answers_reservations = False
    await asyncio.sleep(seconds)
    endpoint.answers_reservations = True


FAULTS = [be_silent, refuse, hang, reject_reservations, reset_prefills, leave_reservations_unanswered]


async def inject_faults(endpoint, rng):
    """Let one endpoint fail now and then, one way at a time."""
    while True:
        await asyncio.sleep(rng.uniform(0.05, 0.4))
        fault = rng.choice(FAULTS)
        await fault(endpoint, rng.uniform(0.05, 0.5))


async def send_request(router, request_id, rng):
    """Send a request, and disconnect before its answer has come or not."""
    reader, writer = await router.connect()
    writer.write(chat_request(request_id, time_remaining_ms=rng.choice([200, 800, 3000]), facts=FACTS))
    disconnect_after = rng.choice([0.01, 0.05, 0.2, 5])
    try:
        async with asyncio.timeout(disconnect_after):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(rng.choice([0, 0.1]))
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def send_requests(router, rng):
    """Send all requests at random times, and wait for their ends."""
    clients = []
    for number in range(REQUESTS):
        request = send_request(router, f"q{number}", random.Random(rng.random()))
        clients.append(asyncio.ensure_future(request))
        await asyncio.sleep(rng.uniform(0, 0.1))
    await asyncio.gather(*clients)


@asynccontextmanager
async def faults_injected(endpoints, rng):
    """Inject faults into some endpoints; at the end of the block nothing waits there any more."""
    tasks = [
        asyncio.ensure_future(inject_faults(endpoint, random.Random(rng.random()))) for endpoint in endpoints
    ]
    yield
    for task in tasks:
        task.cancel()
    for endpoint in endpoints:
        endpoint.inbound.set()
        endpoint.finish.set()


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("customer", CUSTOMERS)
def test_nothing_stays_leased_under_faults(tmp_path, customer, seed):
    settings = json.loads(json.dumps(SETTINGS))
    settings["family_info"].update(CUSTOMERS[customer])

    async def test():
        rng = random.Random(f"{customer} {seed}")
        async with gated_deployment(tmp_path, settings, KINDS) as deployment:
            deployment[STEADY].grants_reservations = False
            faulty = [deployment[name] for name in KINDS if name != STEADY]
            async with faults_injected(faulty, rng):
                await send_requests(deployment.router, rng)
            assert await deployment.record.final_violations() == []
            answered = sum(request.answered for request in deployment.record.requests.values())
            print(f"{answered} of {REQUESTS} answered")
            assert answered > REQUESTS // 6, "the faults leave some endpoint for a request"

    run(test())
