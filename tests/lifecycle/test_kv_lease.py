"""Reservation and release calls over real connections, whatever fails on the way."""

import asyncio
import time
from datetime import timedelta

from reducer_harness import SECOND, start
from stand_ins import (
    FACTS,
    SETTINGS,
    LateListener,
    StandInServer,
    accept_release,
    chat_request,
    hang,
    message,
    registry_entry,
    running_router,
    within,
)

from llm_router.lifecycle import effects
from llm_router.lifecycle.events import ReservationOutcome


def test_kv_state_is_released_in_time_though_no_decode_connection_comes_up(tmp_path):
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
            listeners = [LateListener() for _ in range(3)]  # they never come up
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


def test_a_reservation_call_not_written_by_the_end_of_the_prefill_is_dropped():
    class SlowPool:
        """Connections come up when `up` is set."""

        def __init__(self):
            self.up, self.calls, self.written = asyncio.Event(), 0, 0

        async def call(self, _method, _address, _path, _timeout, written, **_options):
            self.calls += 1
            await self.up.wait()
            written.set()
            self.written += 1
            return 200

    async def test():
        async with StandInServer(accept_release) as prefill, StandInServer(accept_release) as decode:
            runtime = start(prefill, decode)
            calls = runtime.held_calls
            pool, calls.pool = calls.pool, SlowPool()
            prefill = asyncio.get_running_loop().create_future()
            reserving = asyncio.ensure_future(calls.call_reservation("a:1", "/v1/holds/q", prefill))
            await asyncio.sleep(0)
            prefill.set_result(None)
            assert await within(reserving) is ReservationOutcome.REJECTED
            calls.pool.up.set()
            await asyncio.sleep(0)
            assert (calls.pool.calls, calls.pool.written) == (1, 0)
            await pool.close()

    asyncio.run(test())


def test_a_cancelled_release_call_is_closed_and_feeds_nothing_back():
    call_received = asyncio.Event()

    async def never_answer(_call, _writer):
        call_received.set()
        await asyncio.Event().wait()

    async def test():
        async with StandInServer(never_answer) as prefill, StandInServer(accept_release) as decode:
            runtime = start(prefill, decode)
            calls, fed_back = runtime.held_calls, []
            calls.feed = fed_back.append
            silent = next(each for each in runtime.state.endpoints.values() if each.name == "r1")
            calls.release(effects.Release("q", SECOND, 0, silent))
            await within(call_received.wait())
            ((release,),) = calls.releases.values()
            calls.stop_releases(effects.CancelReleases("q"))
            await within(asyncio.wait({release}))
            await within(prefill.closed.get())
            assert release.cancelled() and not calls.releases and fed_back == []
            await runtime.pool.close()

    asyncio.run(test())


def test_a_release_finds_a_socket_though_attempts_use_all_of_theirs():
    async def test():
        async with StandInServer(hang) as busy, StandInServer(accept_release) as decode:
            runtime = start(busy, decode, limits={"sockets": 64, "memory_mb": 96})
            calls = [runtime.pool.call("POST", busy.address, "/", timedelta(seconds=9)) for _ in range(40)]
            tasks = [asyncio.ensure_future(call) for call in calls]
            await busy.wait_for("POST", 20)
            free = next(each for each in runtime.state.endpoints.values() if each.name == "w1")
            assert await runtime.held_calls.call_release(effects.Release("q", SECOND, 0, free))
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
            await runtime.pool.close()

    asyncio.run(test())
