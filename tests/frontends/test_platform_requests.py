"""Check that the platform's frontend forwards requests and responses, and rejects malformed requests."""

import pytest
from stand_ins import (
    DONE,
    EVENT,
    FACTS,
    USAGE,
    chat_request,
    message,
    prefill,
    read_message,
    router_with_endpoints,
    run,
    within,
)


def test_a_request_is_prefilled_then_decoded_and_its_events_are_forwarded_unchanged(tmp_path):
    routers = []

    async def prefill_after_reservation(call, writer):
        if call[0].startswith("POST /v1/chat"):
            await routers[0].decode_server.wait_for("POST /v1/holds/r1")
        await prefill(call, writer)

    async def test():
        async with router_with_endpoints(tmp_path, prefill=prefill_after_reservation) as program:
            routers.append(program)
            first, headers, body = await program.exchange(chat_request(body=b'{"stream": true,  "n":1}'))
            assert first.startswith("HTTP/1.1 200") and body == EVENT + USAGE + DONE
            for server in (program.prefill_server, program.decode_server):
                (call,) = server.named("POST /v1/chat/completions")
                assert call[2] == b'{"stream": true,  "n":1}' and call[1]["x-correlation-id"] == "r1"
                assert 0 < int(call[1]["x-time-left-ms"]) <= 4000
            (_reservation,) = await program.decode_server.wait_for("POST /v1/holds/r1")
            assert not program.prefill_server.named("DELETE") and not program.decode_server.named("DELETE")
            assert await program.stop() == 0

    run(test())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (chat_request(time_remaining_ms="soon"), 400),
        (chat_request(cls="other"), 400),
        (chat_request(id="a b"), 400),
        (chat_request(facts="max_out=2"), 400),
        (chat_request(facts=FACTS + ",prefix=" + "x" * 300), 400),
        (chat_request().replace(b"X-Session-Key: ", b"X-Session-Key: \xff"), 400),
        (chat_request(facts=FACTS + ",prefix=?").replace(b"?", b"\xff"), 400),
        (chat_request(body=b"{"), 400),
        (chat_request(body=b"[]"), 400),
        (chat_request(body=b'"' + b"x" * 262144 + b'"'), 413),
        (message("GET /v1/chat/completions HTTP/1.1", Host="h"), 405),
        (message("GET /x HTTP/1.1", Host="h"), 404),
        (b"nonsense\r\n\r\n", 400),
    ],
    ids=range(13),
)
def test_a_malformed_request_is_rejected_and_reaches_no_endpoint(tmp_path, data, status):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            assert (await program.exchange(data))[0].split()[1] == str(status)
            assert (await program.exchange(chat_request(id="good")))[0].split()[1] == "200"
            assert len(program.prefill_server.named("POST")) == 1, (
                "only the valid request may reach a prefill endpoint"
            )

    run(test())


def test_a_body_of_256_kib_is_forwarded(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            body = b'{"a":"' + b"x" * (262144 - 8) + b'"}'
            assert (await program.exchange(chat_request(body=body)))[0].split()[1] == "200"
            assert program.decode_server.named("POST /v1/chat")[0][2] == body

    run(test())


def test_path_and_query_are_forwarded_unchanged_also_from_an_absolute_url_and_after_100_continue(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            query = "?a=%7e%2F&b=+x"
            assert (await program.exchange(chat_request(query=query)))[0].split()[1] == "200"
            absolute = chat_request(id="r2", query=query).replace(b"POST /", b"POST http://service.internal/")
            assert (await program.exchange(absolute))[0].split()[1] == "200"
            for call in program.decode_server.named("POST /v1/chat"):
                assert call[0].split()[1] == "/v1/chat/completions" + query
            reader, writer = await program.connect()
            head, _, body = chat_request(id="r3").partition(b"\r\n\r\n")
            writer.write(head + b"\r\nExpect: 100-continue\r\n\r\n")
            assert (await within(read_message(reader)))[0].split()[1] == "100"
            writer.write(body)
            assert (await within(read_message(reader)))[0].split()[1] == "200"

    run(test())
