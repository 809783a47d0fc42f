"""Checks that the router keeps serving when the consumer of its log has closed the pipe or stalls."""

import asyncio
import json

from stand_ins import chat_request, message, registry_entry, router_with_endpoints, run, within

DRAINING_ENTRIES = 1500  # The log line that names them all exceeds the capacity of a pipe.


async def get_readiness_status(router):
    return (await router.exchange(message("GET /health/ready HTTP/1.1", Host="h")))[0].split()[1]


def test_endpoint_list_changes_apply_after_the_log_pipe_was_closed(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as router:
            router.log_pipe.close()
            restart = await router.discovery.take_offline()
            await asyncio.sleep(0.3)
            await restart()
            await within(router.discovery.wait_for("GET /registry/instances "))
            draining = [{**each, "status": "Terminating"} for each in router.entries]
            await router.discovery.publish(draining)
            await asyncio.sleep(1)
            before = len(router.prefill_server.named("POST /v1/chat"))
            assert (await router.exchange(chat_request("late")))[0].split()[1] == "503"
            assert len(router.prefill_server.named("POST /v1/chat")) == before, (
                "a request was sent to a draining endpoint"
            )
            assert await router.stop() == 0

    run(test())


def stall_log_consumer(router):
    """Stop reading the log, and return an endpoint list whose log line fills the pipe."""
    router.log_pipe.pause_reading()
    name = "x" * 60
    others = (registry_entry(f"{name}{n}", f"127.0.0.1:{n + 1}", "decode") for n in range(DRAINING_ENTRIES))
    return [*router.entries, *({**each, "status": "Terminating"} for each in others)]


def test_requests_are_served_while_the_log_consumer_stalls(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as router:
            listed = stall_log_consumer(router)
            await router.discovery.publish(listed)
            await asyncio.sleep(0.5)
            for number in range(10):
                async with asyncio.timeout(5):
                    assert (await router.exchange(chat_request(f"r{number}")))[0].split()[1] == "200"
            router.log_pipe.resume_reading()
            assert await router.stop() == 0

    run(test())


def test_the_log_reports_how_many_lines_were_dropped(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as router:
            listed = stall_log_consumer(router)
            for _ in range(12):
                await router.discovery.publish(listed)
                await asyncio.sleep(0.2)
            assert await get_readiness_status(router) == "200"
            router.log_pipe.resume_reading()
            line = await router.wait_for_log("log_lines_dropped")
            assert line["lines"] > 0
            assert await router.stop() == 0
            last_lines = (await within(router.process.stderr.read())).splitlines()
            assert json.loads(last_lines[-1])["event"] == "stopped", (
                "the last lines must be written before the exit"
            )

    run(test())
