"""Check load probes in the platform's protocol."""

import asyncio

import pytest
from stand_ins import (
    DONE,
    EVENT,
    SETTINGS,
    STREAM,
    StandInServer,
    chat_request,
    chunk,
    message,
    prefill,
    registry_entry,
    router_with_endpoints,
    run,
    running_router,
)


def test_a_prefill_endpoint_is_probed_before_a_request_goes_to_it(tmp_path):
    async def answer_prefill(call, writer):
        if call[0].startswith("GET /stats"):
            writer.write(message("HTTP/1.1 200 OK", b"inflight=7,queue=2,x1=0.5"))
        elif call[0].startswith("POST /v1/chat"):
            writer.write(message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}'))
        else:
            writer.write(message("HTTP/1.1 204 No Content"))

    async def answer_decode(call, writer):
        if call[0].startswith("POST /v1/chat"):
            writer.write(STREAM + chunk(EVENT) + chunk(DONE) + b"0\r\n\r\n")
        else:
            writer.write(message("HTTP/1.1 409 Conflict"))

    async def test():
        settings = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "probes": True}}
        async with (
            StandInServer(answer_prefill) as prefill_server,
            StandInServer(answer_decode) as decode_server,
        ):
            entries = [
                registry_entry("r1", prefill_server.address, "prefill"),
                registry_entry("w1", decode_server.address, "decode"),
            ]
            async with running_router(tmp_path, entries, settings=settings) as program:
                response = await program.exchange(chat_request())
                assert response[0] == "HTTP/1.1 200 OK"
                assert [call[0].split()[1] for call in prefill_server.calls[:2]] == [
                    "/stats",
                    "/v1/chat/completions",
                ]
                assert not await program.stop_and_read_internal_errors()

    asyncio.run(test())


def test_an_endpoint_without_a_load_report_still_gets_requests(tmp_path):
    async def answer_prefill(call, writer):
        if call[0].startswith("GET /stats"):
            await asyncio.sleep(60)
        elif call[0].startswith("POST /v1/chat"):
            writer.write(message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}'))

    async def test():
        settings = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "probes": True}}
        async with (
            StandInServer(answer_prefill) as prefill_server,
            StandInServer(answer_prefill) as decode_server,
        ):
            entries = [
                registry_entry("r1", prefill_server.address, "prefill"),
                registry_entry("w1", decode_server.address, "decode"),
            ]
            async with running_router(tmp_path, entries, settings=settings) as program:
                request = asyncio.ensure_future(program.exchange(chat_request()))
                await prefill_server.wait_for("POST /v1/chat")
                request.cancel()
                assert not await program.stop_and_read_internal_errors()

    asyncio.run(test())


# Guards against requests that get no endpoint because a decision fails on an endpoint's absurd load report.
@pytest.mark.parametrize("gauge", ["1e308", "-1e308", "1e300", "inf", "nan"])
def test_an_implausible_load_report_leaves_requests_served(tmp_path, gauge):
    async def answer_prefill(call, writer):
        if call[0].startswith("GET /stats"):
            writer.write(message("HTTP/1.1 200 OK", f"inflight={gauge},queue={gauge},x1={gauge}".encode()))
        else:
            await prefill(call, writer)

    async def test():
        settings = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "probes": True}}
        async with router_with_endpoints(tmp_path, prefill=answer_prefill, settings=settings) as program:
            for number in range(3):  # The first response makes the prefill speed known.
                response = await program.exchange(chat_request(f"r{number}"))
                assert response[0] == "HTTP/1.1 200 OK"
            assert not await program.stop_and_read_internal_errors()

    run(test())
