"""The router serves on when the consumer of its log is gone or stalls."""

import asyncio
import json

from stand_ins import chat_request, message, registry_entry, router_with_endpoints, run, within

DRAINING_ENTRIES = 1500  # the line that names them all is larger than a pipe holds


async def get_ready(program):
    return (await program.exchange(message("GET /health/ready HTTP/1.1", Host="h")))[0].split()[1]


def test_list_changes_count_after_the_log_pipe_was_closed(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            program.log_pipe.close()
            restart = await program.discovery.take_offline()
            await asyncio.sleep(0.3)
            await restart()
            await within(program.discovery.wait_for("GET /registry/instances "))
            draining = [{**each, "status": "Terminating"} for each in program.entries]
            await program.discovery.publish(draining)
            await asyncio.sleep(1)
            before = len(program.prefill_server.named("POST /v1/chat"))
            assert (await program.exchange(chat_request("late")))[0].split()[1] == "503"
            assert len(program.prefill_server.named("POST /v1/chat")) == before, "sent to a draining endpoint"
            assert await program.stop() == 0

    run(test())


def fill_the_log(program):
    """Stop reading the log, and return an endpoint list whose log line fills its pipe."""
    program.log_pipe.pause_reading()
    name = "x" * 60
    others = (registry_entry(f"{name}{n}", f"127.0.0.1:{n + 1}", "decode") for n in range(DRAINING_ENTRIES))
    return [*program.entries, *({**each, "status": "Terminating"} for each in others)]


def test_requests_are_served_while_the_log_consumer_stalls(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            listed = fill_the_log(program)
            await program.discovery.publish(listed)
            await asyncio.sleep(0.5)
            for number in range(10):
                async with asyncio.timeout(5):
                    assert (await program.exchange(chat_request(f"r{number}")))[0].split()[1] == "200"
            program.log_pipe.resume_reading()
            assert await program.stop() == 0

    run(test())


def test_the_log_reports_how_many_lines_were_dropped(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            listed = fill_the_log(program)
            for _ in range(12):
                await program.discovery.publish(listed)
                await asyncio.sleep(0.2)
            assert await get_ready(program) == "200"
            program.log_pipe.resume_reading()
            line = await program.wait_for_log("log_lines_dropped")
            assert line["lines"] > 0
            assert await program.stop() == 0
            last_lines = (await within(program.process.stderr.read())).splitlines()
            assert json.loads(last_lines[-1])["event"] == "stopped", "the last lines are written at the end"

    run(test())
