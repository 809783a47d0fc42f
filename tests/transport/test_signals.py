"""Checks SIGHUP with an invalid or missing configuration file, and signals that follow SIGTERM."""

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


def missing(router):
    router.file.unlink()


def truncated(router):
    router.file.write_text(json.dumps(router.configuration)[:-40])


def not_an_object(router):
    router.file.write_text("[1, 2]")


def without_classes(router):
    settings = {**router.configuration["settings"], "lanes": []}
    router.file.write_text(json.dumps({**router.configuration, "settings": settings}))


def with_bytes_that_are_not_text(router):
    router.file.write_bytes(b"\xff\xfe{}")


@pytest.mark.parametrize(
    "damage",
    [
        missing,
        truncated,
        not_an_object,
        without_classes,
        with_bytes_that_are_not_text,
    ],
)
def test_reloading_an_invalid_file_logs_one_line_and_changes_nothing(tmp_path, damage):
    async def test():
        async with router_with_endpoints(tmp_path) as router:
            damage(router)
            router.process.send_signal(signal.SIGHUP)
            line = await router.wait_for_log("configuration_reload_failed")
            assert "\n" not in line["error"] and line["error"]
            assert (await router.exchange(chat_request()))[0].split()[1] == "200"
            assert not await router.stop_and_read_internal_errors()
            assert sum(each["event"] == "configuration_reload_failed" for each in router.log) == 1

    asyncio.run(test())


@pytest.mark.parametrize("then", [signal.SIGTERM, signal.SIGHUP])
def test_a_signal_after_sigterm_does_not_end_an_open_stream(tmp_path, then):
    resume_stream = asyncio.Event()

    async def test():
        async with router_with_endpoints(tmp_path, decode=paused_stream(resume_stream)) as router:
            reader, writer = await router.connect()
            writer.write(chat_request())
            await router.decode_server.wait_for("POST /v1/chat")
            router.process.terminate()
            await router.wait_for_log("stopping")
            router.process.send_signal(then)
            late = await router.exchange(message("GET /health/ready HTTP/1.1", Host="h"))
            assert late[0].split()[1] == "503"
            resume_stream.set()
            assert (await within(read_message(reader)))[2] == EVENT + DONE
            writer.close()
            assert await within(router.process.wait()) == 0

    asyncio.run(test())
