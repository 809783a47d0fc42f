"""Signals at awkward moments: a bad or missing file on SIGHUP, SIGHUP while stopping, a second SIGTERM."""

import asyncio
import json
import signal

import pytest
from stand_ins import (
    DONE,
    EVENT,
    chat_request,
    message,
    paused_stream,
    read_message,
    router_with_endpoints,
    within,
)


def missing(program):
    program.file.unlink()


def cut_short(program):
    program.file.write_text(json.dumps(program.configuration)[:-40])


def not_an_object(program):
    program.file.write_text("[1, 2]")


def without_classes(program):
    settings = {**program.configuration["settings"], "lanes": []}
    program.file.write_text(json.dumps({**program.configuration, "settings": settings}))


def with_bytes_that_are_not_text(program):
    program.file.write_bytes(b"\xff\xfe{}")


@pytest.mark.parametrize(
    "damage",
    [
        missing,
        cut_short,
        not_an_object,
        without_classes,
        with_bytes_that_are_not_text,
    ],
)
def test_a_reload_of_a_bad_file_is_one_line_and_changes_nothing(tmp_path, damage):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            damage(program)
            program.process.send_signal(signal.SIGHUP)
            line = await program.wait_for_log("configuration_reload_failed")
            assert "\n" not in line["error"] and line["error"]
            assert (await program.exchange(chat_request()))[0].split()[1] == "200"
            assert not await program.stop_and_read_internal_errors()
            assert sum(each["event"] == "configuration_reload_failed" for each in program.log) == 1

    asyncio.run(test())


@pytest.mark.parametrize("then", [signal.SIGTERM, signal.SIGHUP])
def test_a_signal_while_a_stream_is_finished_after_sigterm_ends_nothing(tmp_path, then):
    go_on = asyncio.Event()

    async def test():
        async with router_with_endpoints(tmp_path, decode=paused_stream(go_on)) as program:
            reader, writer = await program.connect()
            writer.write(chat_request())
            await program.decode_server.wait_for("POST /v1/chat")
            program.process.terminate()
            await program.wait_for_log("stopping")
            program.process.send_signal(then)
            late = await program.exchange(message("GET /health/ready HTTP/1.1", Host="h"))
            assert late[0].split()[1] == "503"
            go_on.set()
            assert (await within(read_message(reader)))[2] == EVENT + DONE
            writer.close()
            assert await within(program.process.wait()) == 0

    asyncio.run(test())
