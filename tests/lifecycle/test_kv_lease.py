"""Release calls over real sockets when no connection to a decode endpoint can be established."""

import asyncio
import time

from stand_ins import (
    FACTS,
    SETTINGS,
    LateListener,
    StandInServer,
    accept_release,
    chat_request,
    message,
    registry_entry,
    running_router,
)


def test_kv_state_is_released_in_time_if_no_decode_connection_is_established(tmp_path):
    clock, prefilled_at, released_at = time.monotonic, [], []

    async def prefill_or_release(call, writer):
        if call[0].startswith("POST /v1/chat"):
            prefilled_at.append(clock())
            writer.write(message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}'))
        else:
            released_at.append(clock())
            await accept_release(call, writer)

    two_seconds = {"ahead": False, "release_within": 2_000_000_000}
    settings = {
        **SETTINGS,
        "allowed": {**SETTINGS["allowed"], "connect_timeout": 1_000_000_000},
        "family_info": {**SETTINGS["family_info"], **two_seconds},
    }

    async def test():
        async with StandInServer(prefill_or_release) as prefill:
            listeners = [LateListener() for _ in range(3)]  # connections to them are never established
            decode_entries = [
                registry_entry(f"w{n}", each.address, "decode") for n, each in enumerate(listeners)
            ]
            entries = [registry_entry("r", prefill.address, "prefill"), *decode_entries]
            async with running_router(tmp_path, entries, settings=settings) as program:
                first, _, _ = await program.exchange(chat_request(facts=FACTS))
                assert first.split()[1] == "503"
                await prefill.wait_for("DELETE /v1/holds/r1")
                assert len(prefilled_at) == 1 and released_at[0] - prefilled_at[0] < 2.0
            for each in listeners:
                each.close()

    asyncio.run(test())
