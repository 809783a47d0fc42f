"""Check that both frontends answer a client alike after the same endpoint failure."""

import asyncio

import pytest
from kserve_sidecar import ANSWER, infer_request, sidecar
from stand_ins import (
    DONE,
    EVENT,
    SETTINGS,
    STREAM,
    StandInServer,
    chat_request,
    chunk,
    message,
    registry_entry,
    running_router,
    within,
)

MIXED = {**SETTINGS, "kinds": ["mixed"], "family_info": {"duty_by_kind": ["both"], "local_read": True}}


async def answer_error(_call, writer):
    writer.write(message("HTTP/1.1 500 Internal Server Error"))


async def close_connection(_call, writer):
    writer.close()


async def hang(_call, _writer):
    await asyncio.Event().wait()


async def reject(_call, writer):
    writer.write(message("HTTP/1.1 503 Service Unavailable", X_Unprocessed="1"))


async def answer_unavailable(_call, writer):
    writer.write(message("HTTP/1.1 503 Service Unavailable"))


async def answer(call, writer):
    if call[0].startswith("POST /v1"):
        writer.write(STREAM + chunk(EVENT + DONE) + b"0\r\n\r\n")
    else:
        writer.write(message("HTTP/1.1 200 OK", ANSWER))


@pytest.mark.parametrize(
    ("handler", "lookup", "booking"),
    [
        (answer, 200, 200),
        (answer_error, 503, 502),
        (close_connection, 503, 502),
        (hang, 503, 502),
        (reject, 503, 503),
        (answer_unavailable, 503, 502),
    ],
    ids=["answer", "error", "close", "hang", "reject", "unavailable"],
)
@pytest.mark.parametrize("frontend", ["platform", "kserve"])
def test_an_endpoint_failure_has_the_same_outcome_on_both_frontends(
    tmp_path, frontend, handler, lookup, booking
):
    async def test():
        async with StandInServer(handler) as server:
            if frontend == "platform":
                start = running_router(
                    tmp_path, [registry_entry("m", server.address, "mixed")], settings=MIXED
                )
            else:
                start = sidecar(tmp_path, server)
            async with start as program:
                for cls, code in (("booking", booking), ("lookup", lookup)):
                    calls_before = len(server.calls)
                    request = (
                        chat_request("x", cls, 400)
                        if frontend == "platform"
                        else infer_request("x", cls, time_left_ms=400)
                    )
                    status_line, headers, _ = await program.exchange(request)
                    assert int(status_line.split()[1]) == code
                    assert ("retry-after" in headers) == (code == 503), (
                        "rejections, and no other answers, must have a Retry-After header"
                    )
                    if cls == "booking" and handler is not reject:
                        assert len(server.calls) - calls_before == 1, (
                            "a request that may have run must not be resent"
                        )
                assert await program.stop() == 0

    asyncio.run(within(test(), 60))
