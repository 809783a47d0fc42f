"""Check failures, deadlines and client disconnects in the platform's protocol."""

import asyncio

import pytest
from stand_ins import (
    EVENT,
    STREAM,
    StandInServer,
    chat_request,
    chunk,
    decode,
    hang,
    never_prefill,
    registry_entry,
    router_with_endpoints,
    run,
    running_router,
    within,
)


def test_a_stream_that_its_endpoint_closes_ends_without_the_last_chunk(tmp_path):
    async def close_mid_stream(call, writer):
        if call[0].startswith("POST /v1/chat"):
            writer.write(STREAM + chunk(EVENT))
            await writer.drain()
            writer.close()
        else:
            await decode(call, writer)

    async def test():
        async with router_with_endpoints(tmp_path, decode=close_mid_stream) as program:
            reader, writer = await program.connect()
            writer.write(chat_request())
            received = await within(reader.read())
            assert EVENT in received and not received.endswith(b"0\r\n\r\n")
            assert len(program.decode_server.named("POST /v1/chat")) == 1, "the request must not be resent"

    run(test())


@pytest.mark.parametrize(("cls", "status", "attempts"), [("booking", "502", 1), ("lookup", "200", 2)])
def test_a_request_that_may_have_run_is_retried_only_if_its_class_permits(tmp_path, cls, status, attempts):
    failed = []

    async def fail_once(call, writer):
        if call[0].startswith("POST /v1/chat") and not failed:
            failed.append(call)
            writer.close()  # The endpoint has received the request, so it may have run.
        else:
            await decode(call, writer)

    async def test():
        async with (
            StandInServer(fail_once) as second,
            router_with_endpoints(tmp_path, decode=fail_once) as program,
        ):
            await program.discovery.publish(
                [*program.entries, registry_entry("w2", second.address, "decode")]
            )
            await program.wait_for_log("endpoint_list_updated")
            assert (await program.exchange(chat_request(cls=cls)))[0].split()[1] == status
            chats = program.decode_server.named("POST /v1/chat") + second.named("POST /v1/chat")
            assert len(chats) == attempts

    run(test())


def test_a_client_disconnect_aborts_the_prefill_and_releases_its_state(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path, prefill=never_prefill) as program:
            _, writer = await program.connect()
            writer.write(chat_request())
            await program.prefill_server.wait_for("POST /v1/chat")
            writer.close()
            assert (await within(program.prefill_server.closed.get()))[0].startswith("POST /v1/chat")
            assert (
                await program.prefill_server.wait_for("DELETE /v1/holds/r1")
            ) or program.decode_server.named("DELETE")

    run(test())


def test_a_request_past_its_deadline_is_rejected_and_released(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path, prefill=never_prefill) as program:
            first, headers, _ = await program.exchange(chat_request(time_remaining_ms=300))
            assert first.split()[1] == "503" and float(headers["retry-after"]) > 0
            await program.prefill_server.wait_for("DELETE /v1/holds/r1")

    run(test())


def test_a_request_without_a_usable_endpoint_is_rejected_at_once(tmp_path):
    async def test():
        unusable = [
            registry_entry("r1", "127.0.0.1:1", "prefill"),
            registry_entry("w1", "127.0.0.1:1", "decode", "Terminating"),
        ]
        async with running_router(tmp_path, unusable) as program:
            clock = asyncio.get_running_loop().time
            before = clock()
            first, headers, _ = await program.exchange(chat_request(time_remaining_ms=9000))
            assert first.split()[1] == "503" and float(headers["retry-after"]) > 0
            assert clock() - before < 3, "the rejection must not wait for the deadline"

    run(test())


def test_a_release_goes_to_another_endpoint_if_the_first_does_not_answer(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path, prefill=hang) as program:
            assert (await program.exchange(chat_request(time_remaining_ms=300)))[0].split()[1] == "503"
            assert await program.decode_server.wait_for("DELETE /v1/holds/r1")

    run(test())


@pytest.mark.parametrize(
    "pipelined",
    [
        [chat_request(f"more{n}") for n in range(60)],
        [chat_request(f"large{n}", body=b'{"a":"' + b"a" * 250_000 + b'"}') for n in range(2)],
    ],
    ids=["many requests", "large bodies"],
)
def test_a_client_disconnect_is_noticed_behind_pipelined_bytes(tmp_path, pipelined):
    async def test():
        async with router_with_endpoints(tmp_path, prefill=never_prefill, decode=hang) as program:
            _, client = await program.connect()
            client.write(chat_request("r1"))
            await program.prefill_server.wait_for("POST")
            client.write(b"".join(pipelined))
            await within(client.drain())
            await asyncio.sleep(0.2)
            client.close()
            await within(program.prefill_server.closed.get(), 1)
            await asyncio.sleep(0.3)
            posts = program.prefill_server.named("POST /v1/chat") + program.decode_server.named(
                "POST /v1/chat"
            )
            assert {call[1]["x-correlation-id"] for call in posts} == {"r1"}, (
                "pipelined requests must not reach an endpoint"
            )
            assert not await program.stop_and_read_internal_errors()

    run(test())
