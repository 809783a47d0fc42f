"""Check that no lease outlives the release timeout under random faults, drawn from fixed seeds.

The endpoints' own record is checked, and the router's view is never used. A lease that outlives the timeout
means that the router lost track of KV state or of a reservation after a fault."""

import asyncio
import json
import random
from contextlib import asynccontextmanager

import pytest
from gated_deployment import gated_deployment
from stand_ins import FACTS, SETTINGS, chat_request, run

MS = 1_000_000  # nanoseconds
KINDS = {"r1": "prefill", "r2": "prefill", "w1": "decode", "w2": "decode", "w3": "decode"}
FAULTLESS_ENDPOINT = "w3"  # No fault is injected at this decode endpoint, so that one is always reachable.
REQUESTS = 60
MAX_PARTITION = 0.15  # seconds that a partition may last
CUSTOMERS = {  # The keys of the customers are part of the random seeds.
    "short release time": {"release_within": 60 * MS, "ahead": True},
    "no reservations": {"release_within": 300 * MS, "ahead": False},
    "long release time": {"release_within": 900 * MS, "ahead": True},
}


async def partition(endpoint, seconds):
    """Delay all data sent to an endpoint for some seconds."""
    endpoint.inbound.clear()
    await asyncio.sleep(min(seconds, MAX_PARTITION))
    endpoint.inbound.set()


async def refuse(endpoint, seconds):
    """Make an endpoint refuse new connections and close idle ones for some seconds."""
    endpoint.refuse()
    endpoint.close_idle()
    await asyncio.sleep(seconds)
    await endpoint.listen()


async def hang(endpoint, seconds):
    """Stop an endpoint from completing prefills and starting response streams for some seconds."""
    endpoint.finish.clear()
    await asyncio.sleep(seconds)
    endpoint.finish.set()


async def reject_reservations(endpoint, seconds):
    """Make an endpoint reject reservations for some seconds."""
    endpoint.grants_reservations = False
    await asyncio.sleep(seconds)
    endpoint.grants_reservations = True


async def reset_prefills(endpoint, seconds):
    """Make an endpoint reset the connections of prefill attempts for some seconds."""
    endpoint.resets_prefills = True
    await asyncio.sleep(seconds)
    endpoint.resets_prefills = False


async def leave_reservations_unanswered(endpoint, seconds):
    """Make an endpoint leave reservation calls unanswered for some seconds."""
    endpoint.answers_reservations = False
    await asyncio.sleep(seconds)
    endpoint.answers_reservations = True


FAULTS = [partition, refuse, hang, reject_reservations, reset_prefills, leave_reservations_unanswered]


async def inject_faults(endpoint, rng):
    """Inject random faults into one endpoint, one at a time, until cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(0.05, 0.4))
        fault = rng.choice(FAULTS)
        await fault(endpoint, rng.uniform(0.05, 0.5))


async def send_request(router, request_id, rng):
    """Send a request, and disconnect after the response or after a random time."""
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
    """Send all requests at random intervals, and wait until all clients have disconnected."""
    clients = []
    for number in range(REQUESTS):
        request = send_request(router, f"q{number}", random.Random(rng.random()))
        clients.append(asyncio.ensure_future(request))
        await asyncio.sleep(rng.uniform(0, 0.1))
    await asyncio.gather(*clients)


@asynccontextmanager
async def faults_injected(endpoints, rng):
    """Inject faults into some endpoints during the block, and open their gates at its end."""
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
def test_no_lease_outlives_the_release_timeout_under_faults(tmp_path, customer, seed):
    settings = json.loads(json.dumps(SETTINGS))
    settings["family_info"].update(CUSTOMERS[customer])

    async def test():
        rng = random.Random(f"{customer} {seed}")
        async with gated_deployment(tmp_path, settings, KINDS) as deployment:
            deployment[FAULTLESS_ENDPOINT].grants_reservations = False
            faulty = [deployment[name] for name in KINDS if name != FAULTLESS_ENDPOINT]
            async with faults_injected(faulty, rng):
                await send_requests(deployment.router, rng)
            assert await deployment.record.final_violations() == []
            answered = sum(request.answered for request in deployment.record.requests.values())
            print(f"{answered} of {REQUESTS} answered")
            assert answered > REQUESTS // 6, "too few requests were answered under the injected faults"

    run(test())
