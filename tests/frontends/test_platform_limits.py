"""Check that the platform's frontend stays within its connection and memory limits."""

import asyncio
import os

from stand_ins import (
    StandInServer,
    chat_request,
    hang,
    message,
    read_message,
    router_with_endpoints,
    run,
    within,
)

from llm_router.transport.clock import to_seconds
from llm_router.transport.http_server import MIN_IDLE_TIME


def test_a_client_connection_over_the_limit_replaces_an_idle_one_or_is_rejected(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path, limits={"memory_mb": 96, "sockets": 64}) as program:
            idle, idle_writer = await program.connect()
            idle_writer.write(message("GET /health/ready HTTP/1.1", Host="h"))
            assert (await within(read_message(idle)))[0].split()[1] == "200"
            active = []
            await asyncio.sleep(1.1 * to_seconds(MIN_IDLE_TIME))
            for number in range(21):  # The last connection replaces the idle one.
                reader, writer = await program.connect()
                head = chat_request(id=f"r{number}").partition(b"\r\n\r\n")[0]
                writer.write(head + b"\r\nExpect: 100-continue\r\n\r\n")
                assert (await within(read_message(reader)))[0].split()[1] == "100"
                active.append(writer)
            assert await within(idle.read()) == b""
            first, headers, _ = await program.exchange(chat_request(id="over"))
            assert first.split()[1] == "503" and headers["retry-after"] and headers["connection"] == "close"

    run(test())


def test_bodies_are_rejected_before_they_exceed_the_memory_limit(tmp_path):
    async def test():
        limits = {"memory_mb": 96, "sockets": 1024}
        async with router_with_endpoints(tmp_path, prefill=hang, limits=limits) as program:
            body = b'{"a":"' + b"x" * 262000 + b'"}'
            requests = [chat_request(id=f"r{n}", time_remaining_ms=3000, body=body) for n in range(120)]
            answers = await asyncio.gather(*map(program.exchange, requests))
            assert {first.split()[1] for first, _, _ in answers} == {"503"}
            assert sum(body == b"the router is overloaded\n" for _, _, body in answers) >= 120 - 48
            with open(f"/proc/{program.process.pid}/status") as status:
                peak = next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))
            assert peak < 96 * 1024, "peak memory in KiB"
            assert await program.stop() == 0

    run(test())


def test_idle_clients_up_to_the_limit_with_discovery_down_leave_sockets_for_requests(tmp_path):
    sockets = 96

    async def test():
        async with StandInServer(hang) as silent_discovery:
            limits = {"memory_mb": 192, "sockets": sockets}
            async with router_with_endpoints(
                tmp_path, discovery=silent_discovery.address, limits=limits
            ) as program:
                idle = []
                for _ in range(4):
                    idle += await asyncio.gather(*(program.connect() for _ in range(60)))
                    open_descriptors = len(os.listdir(f"/proc/{program.process.pid}/fd"))
                    assert open_descriptors <= sockets
                await asyncio.sleep(0.5)
                for n in range(5):
                    assert (await program.exchange(chat_request(f"r{n}")))[0].endswith("200 OK")
                for _, client in idle:
                    client.close()
                assert not await program.stop_and_read_internal_errors()

    run(test())
