"""Faults drawn from fixed seeds under the requests of several customers; the endpoints' record judges."""

import asyncio
import json
import random

import pytest
from kv_lease_oracle import deployment
from stand_ins import FACTS, SETTINGS, chat_request, run

MS = 1_000_000  # nanoseconds
KINDS = {"r1": "prefill", "r2": "prefill", "w1": "decode", "w2": "decode", "w3": "decode"}
REQUESTS = 60
CUSTOMERS = {
    "short release time": {"release_within": 60 * MS, "ahead": True},
    "no reservations": {"release_within": 300 * MS, "ahead": False},
    "long release time": {"release_within": 900 * MS, "ahead": True},
}


async def disturb(endpoint, draw):
    """Let one endpoint fail now and then, one way at a time."""
    while True:
        await asyncio.sleep(draw.uniform(0.05, 0.4))
        fault = draw.choice(["silent", "refuses", "hangs", "full", "resets", "unanswered"])
        span = draw.uniform(0.05, 0.5)
        if fault == "silent":
            endpoint.inbound.clear()
            await asyncio.sleep(min(span, 0.15))
            endpoint.inbound.set()
        elif fault == "refuses":
            endpoint.refuse()
            endpoint.close_idle()
            await asyncio.sleep(span)
            await endpoint.listen()
        elif fault == "hangs":
            endpoint.finish.clear()
            await asyncio.sleep(span)
            endpoint.finish.set()
        elif fault == "full":
            endpoint.grants = False
            await asyncio.sleep(span)
            endpoint.grants = True
        elif fault == "resets":
            endpoint.resets_reads = True
            await asyncio.sleep(span)
            endpoint.resets_reads = False
        else:
            endpoint.answers_reservations = False
            await asyncio.sleep(span)
            endpoint.answers_reservations = True


async def ask(program, id, draw):
    """Ask for an answer, and leave before it has come or not."""
    reader, writer = await program.connect()
    writer.write(chat_request(id, left=draw.choice([200, 800, 3000]), facts=FACTS))
    leaves_after = draw.choice([0.01, 0.05, 0.2, 5])
    try:
        async with asyncio.timeout(leaves_after):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(draw.choice([0, 0.1]))
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("customer", CUSTOMERS)
def test_nothing_stays_held_under_faults(tmp_path, customer, seed):
    settings = json.loads(json.dumps(SETTINGS))
    settings["family_info"].update(CUSTOMERS[customer])

    async def test():
        draw = random.Random(f"{customer} {seed}")
        async with deployment(tmp_path, settings, KINDS) as (program, record, of):
            steady = of.pop("w3")  # somebody can always be reached
            steady.grants = False
            faults = [
                asyncio.ensure_future(disturb(endpoint, random.Random(draw.random())))
                for endpoint in of.values()
            ]
            clients = []
            for number in range(REQUESTS):
                asking = ask(program, f"q{number}", random.Random(draw.random()))
                clients.append(asyncio.ensure_future(asking))
                await asyncio.sleep(draw.uniform(0, 0.1))
            await asyncio.gather(*clients)
            for fault in faults:
                fault.cancel()
            for endpoint in of.values():
                endpoint.inbound.set()
                endpoint.finish.set()
            assert await record.verdict() == []
            answered = sum(request.answered for request in record.requests.values())
            print(f"{answered} of {REQUESTS} answered")
            assert answered > REQUESTS // 6, "the faults leave some server for a request"
            of["w3"] = steady

    run(test())
