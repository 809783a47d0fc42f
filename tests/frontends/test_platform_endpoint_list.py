"""Check how the router follows discovery: drains, lost connections and a start without discovery."""

import pytest
from stand_ins import (
    StandInServer,
    chat_request,
    decode,
    hang,
    message,
    registry_entry,
    reserve_port,
    router_with_endpoints,
    run,
)


def test_a_draining_endpoint_gets_no_new_requests(tmp_path):
    async def test():
        async with StandInServer(decode) as other, router_with_endpoints(tmp_path) as program:
            drained = registry_entry("w1", program.decode_server.address, "decode", "Terminating")
            await program.discovery.publish(
                [program.entries[0], drained, registry_entry("w2", other.address, "decode")]
            )
            while (await program.wait_for_log("endpoint_list_updated"))["not_ready"] != {"w1": "draining"}:
                pass
            for number in range(6):
                assert (await program.exchange(chat_request(id=f"r{number}")))[0].split()[1] == "200"
            assert not program.decode_server.named("POST") and len(other.named("POST /v1/chat")) == 6

    run(test())


def test_the_watch_recovers_after_discovery_was_lost(tmp_path, monkeypatch):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            await program.discovery.wait_for("GET /registry/instances?since=1")
            with monkeypatch.context() as patch:
                patch.setattr(program.discovery, "handler", close_connection)
                await program.discovery.publish([])
                await program.wait_for_log("discovery_lost")
            await program.discovery.publish([{**program.entries[0], "status": "Terminating"}])
            while (await program.wait_for_log("endpoint_list_updated"))["not_ready"] != {"r1": "draining"}:
                pass
            await program.wait_for_log("discovery_recovered")

    run(test())


async def close_connection(_call, writer):
    writer.close()


@pytest.mark.parametrize("silent", [True, False], ids=["silent", "refused"])
def test_a_router_serves_from_the_initial_endpoints_while_discovery_is_down(tmp_path, silent):
    async def test():
        async with StandInServer(hang) as silent_discovery:
            unreachable = silent_discovery.address if silent else f"127.0.0.1:{reserve_port()}"
            async with router_with_endpoints(tmp_path, discovery=unreachable) as program:
                answer = await program.exchange(message("GET /health/ready HTTP/1.1", Host="h"))
                assert answer[0].endswith("200 OK")
                assert (await program.exchange(chat_request()))[0].endswith("200 OK")
                await program.wait_for_log("discovery_lost")
                assert (await program.exchange(chat_request("r2")))[0].endswith("200 OK")

    run(test())
