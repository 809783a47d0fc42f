"""Check the platform's configuration at the start and on a reload."""

import pytest
from stand_ins import (
    StandInDiscovery,
    StandInServer,
    chat_request,
    decode,
    registry_entry,
    router_with_endpoints,
    run,
    running_router,
    within,
)


def test_an_invalid_configuration_ends_the_start_and_names_the_key(tmp_path):
    async def test():
        with pytest.raises(AssertionError, match="limits.sockets: must be at least 64"):
            async with running_router(tmp_path, [], limits={"memory_mb": 192, "sockets": 32}):
                pass

    run(test())


def test_a_reload_replaces_the_watch_and_an_invalid_file_changes_nothing(tmp_path):
    async def test():
        async with StandInServer(decode) as other, router_with_endpoints(tmp_path) as program:
            await program.discovery.wait_for("GET /registry/instances?since=1")
            program.reload("{")
            assert "EDGE_CONFIG" in (await program.wait_for_log("configuration_reload_failed"))["error"]
            program.reload(discovery="nowhere")
            assert (
                "discovery: must be HOST:PORT"
                in (await program.wait_for_log("configuration_reload_failed"))["error"]
            )
            assert not program.discovery.closed.qsize(), "the watch must continue"
            new_entries = [program.entries[0], registry_entry("w2", other.address, "decode")]
            async with StandInDiscovery(new_entries) as new_discovery:
                program.reload(discovery=new_discovery.address, name="other")
                reloaded = await program.wait_for_log("configuration_reloaded")
                assert reloaded["watch"] == new_discovery.address and reloaded["at_next_start"] == ["name"]
                assert await within(program.discovery.closed.get()), "the old watch must be closed"
                (call, *_) = await new_discovery.wait_for("GET /registry/instances")
                assert "since" not in call[0], (
                    "list numbers of the old discovery are not valid for the new one"
                )
                while (await program.wait_for_log("endpoint_list_updated"))["known"] != 2:
                    pass
                assert (await program.exchange(chat_request()))[0].split()[1] == "200"
                assert len(other.named("POST /v1/chat")) == 1 and not program.decode_server.named("POST")
                await new_discovery.publish([{**new_entries[0], "status": "Terminating"}])
                while (await program.wait_for_log("endpoint_list_updated"))["not_ready"] != {
                    "r1": "draining"
                }:
                    pass

    run(test())
