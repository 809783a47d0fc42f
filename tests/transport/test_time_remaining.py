"""Tests that the time remaining and the permission to send are determined when a request is written."""

import asyncio
import json
from contextlib import suppress

from stand_ins import (
    DONE,
    EVENT,
    SETTINGS,
    STREAM,
    LateListener,
    StandInServer,
    chat_request,
    chunk,
    decode,
    message,
    prefill,
    read_message,
    registry_entry,
    router_with_endpoints,
    running_router,
    within,
)


def settings_with_long_timeouts(**allowed):
    """Return settings with a connect timeout of 3 s, a latency objective of 8 s, and a hard limit of 20 s."""
    classes = [{**each, "target": 8_000_000_000, "hard_limit": 20_000_000_000} for each in SETTINGS["lanes"]]
    allowed = {**SETTINGS["allowed"], "connect_timeout": 3_000_000_000, **allowed}
    return {**SETTINGS, "lanes": classes, "allowed": allowed}


def endpoint_that_records(received, answer):
    """Return a connection handler that appends each call to `received` and answers it with `answer`."""

    async def serve(reader, writer):
        with suppress(ConnectionError):
            while call := await read_message(reader):
                received.append(call)
                await answer(call, writer)

    return serve


def is_attempt(request_line):
    return request_line.startswith("POST /v1/chat")


def test_a_slow_connect_reduces_the_time_remaining_that_is_sent(tmp_path):
    received = []
    serve = endpoint_that_records(received, prefill)

    async def test():
        gate = LateListener()
        async with StandInServer(decode) as decode_endpoint:
            entries = [
                registry_entry("r1", gate.address, "prefill"),
                registry_entry("w1", decode_endpoint.address, "decode"),
            ]
            async with running_router(tmp_path, entries, settings=settings_with_long_timeouts()) as program:
                exchange = asyncio.ensure_future(program.exchange(chat_request(time_remaining_ms=4000)))
                await asyncio.sleep(0.3)  # the listener's full accept queue has dropped the first TCP SYN
                server = await gate.open(serve)
                assert (await within(exchange))[0].split()[1] in ("200", "503")
                remaining = next(
                    int(headers["x-time-left-ms"]) for line, headers, _ in received if is_attempt(line)
                )
                assert remaining <= 4000 - 300
                server.close()

    asyncio.run(test())


def test_an_attempt_is_withdrawn_if_its_endpoint_drains_during_the_connect(tmp_path):
    received = []
    serve = endpoint_that_records(received, prefill)

    async def test():
        gate = LateListener()
        async with StandInServer(prefill) as other, StandInServer(decode) as decode_endpoint:
            entries = [
                registry_entry("r1", gate.address, "prefill"),
                registry_entry("w1", decode_endpoint.address, "decode"),
            ]
            async with running_router(tmp_path, entries, settings=settings_with_long_timeouts()) as program:
                exchange = asyncio.ensure_future(program.exchange(chat_request(time_remaining_ms=4000)))
                await asyncio.sleep(0.3)
                drained = [
                    {**entries[0], "status": "Terminating"},
                    registry_entry("r2", other.address, "prefill"),
                ]
                await program.discovery.publish([*drained, entries[1]])
                while (await program.wait_for_log("endpoint_list_updated"))["not_ready"] != {
                    "r1": "draining"
                }:
                    pass
                server = await gate.open(serve)
                assert (await within(exchange))[0].split()[1] == "200"
                assert not [line for line, _, _ in received if is_attempt(line)]
                assert len(other.named("POST /v1/chat")) == 1
                server.close()

    asyncio.run(test())


def test_a_retry_is_not_written_after_the_deduplication_window(tmp_path):
    received = []
    serve = endpoint_that_records(received, decode)

    async def close_after_request(call, writer):
        if call[0].startswith("POST /v1/chat"):
            writer.close()  # the whole request was received, so it may have run
        else:
            await decode(call, writer)

    window = {"idempotency": "token", "group": "all", "window": 700_000_000}
    settings = settings_with_long_timeouts()
    settings["lanes"] = [{**settings["lanes"][0], **window}]
    settings["family_info"] = {**settings["family_info"], "ahead": False, "release_within": 9_000_000_000}

    async def test():
        gate = LateListener()
        async with (
            StandInServer(prefill) as prefill_endpoint,
            StandInServer(close_after_request) as decode_endpoint,
        ):
            far = {**registry_entry("w2", gate.address, "decode"), "group": 2}
            entries = [
                registry_entry("r1", prefill_endpoint.address, "prefill"),
                registry_entry("w1", decode_endpoint.address, "decode"),
                far,
            ]
            async with running_router(tmp_path, entries, settings=settings) as program:
                exchange = asyncio.ensure_future(program.exchange(chat_request(time_remaining_ms=4000)))
                await decode_endpoint.wait_for("POST /v1/chat")
                await asyncio.sleep(0.1)
                server = await gate.open(serve)  # the connect completes when TCP repeats its SYN after 1 s
                assert (await within(exchange))[0].split()[1] in ("502", "503")
                assert not [line for line, _, _ in received if is_attempt(line)]
                server.close()

    asyncio.run(test())


def test_the_time_remaining_of_a_pipelined_request_runs_from_its_receipt(tmp_path):
    """Guard against restarting the time of a second pipelined request, which waits for the first response."""
    go_on, remaining = asyncio.Event(), {}

    async def decode_first_late(call, writer):
        if call[0].startswith("POST /v1/chat"):
            if call[1]["x-correlation-id"] == "r1":
                await go_on.wait()
            writer.write(STREAM + chunk(EVENT) + chunk(DONE) + b"0\r\n\r\n")
        else:
            writer.write(message("HTTP/1.1 409 Conflict"))

    async def record_and_prefill(call, writer):
        if call[0].startswith("POST /v1/chat"):
            remaining[call[1]["x-correlation-id"]] = int(call[1]["x-time-left-ms"])
        await prefill(call, writer)

    async def test():
        async with router_with_endpoints(
            tmp_path, prefill=record_and_prefill, decode=decode_first_late
        ) as program:
            reader, writer = await program.connect()
            writer.write(
                chat_request(id="r1", time_remaining_ms=4000) + chat_request(id="r2", time_remaining_ms=4000)
            )
            await program.decode_server.wait_for("POST /v1/chat")
            delay = 0.4
            await asyncio.sleep(delay)
            go_on.set()
            for _ in range(2):
                assert (await within(read_message(reader)))[0].split()[1] == "200"
            assert remaining["r2"] <= 4000 - delay * 1000
            writer.close()

    asyncio.run(test())


def test_the_time_remaining_runs_from_the_last_byte_of_a_slow_body(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            reader, writer = await program.connect()
            data = chat_request(time_remaining_ms=4000)
            writer.write(data[:-3])
            await asyncio.sleep(0.5)
            writer.write(data[-3:])
            assert (await within(read_message(reader)))[0].split()[1] == "200"
            (call,) = program.prefill_server.named("POST /v1/chat")
            assert 3600 < int(call[1]["x-time-left-ms"]) <= 4000
            assert json.loads(call[2])
            writer.close()

    asyncio.run(test())
