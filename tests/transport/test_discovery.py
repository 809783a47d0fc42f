"""Discovery as a conductor meets it: after each kind of failed call the list is level again in time."""

import asyncio
import json
import socket
from contextlib import asynccontextmanager

import pytest
from stand_ins import SETTINGS, StandInServer, message, registry_entry, within

from llm_router.configuration import platform_configuration
from llm_router.frontends.registry_list import read_list
from llm_router.service import RouterService
from llm_router.transport.discovery import Discovery
from llm_router.transport.pool import DISCOVERY_SOCKETS, ConnectionPool, may_use_release_sockets

TOLD_WITHIN = 6.0  # seconds after discovery had a change and could be reached
OLD, NEW = registry_entry("old", "127.0.0.1:1", "prefill"), registry_entry("new", "127.0.0.1:2", "decode")
WHOLE = {"index": 7, "snapshot": True, "endpoints": [NEW]}


def well(body=WHOLE, **form):
    return message("HTTP/1.1 200 OK", json.dumps(body, **form).encode())


async def silent(writer):
    await asyncio.Event().wait()


async def refused(writer):
    writer.transport.abort()


async def unwell(writer):
    writer.write(message("HTTP/1.1 503 Service Unavailable"))


async def cut_in_the_head(writer):
    writer.write(well()[:20])
    writer.close()


async def cut_in_the_body(writer):
    writer.write(well()[:-9])
    writer.close()


async def silent_in_the_head(writer):
    writer.write(well()[:20])
    await asyncio.Event().wait()


async def silent_in_the_body(writer):
    writer.write(well()[:-9])
    await asyncio.Event().wait()


async def spoilt(writer):
    writer.write(message("HTTP/1.1 200 OK", b"{"))


async def late(writer):
    await asyncio.sleep(0.9)
    writer.write(well())


async def indented(writer):
    writer.write(well(indent=2))


FAILURES = [
    silent,
    refused,
    unwell,
    cut_in_the_head,
    cut_in_the_body,
    silent_in_the_head,
    silent_in_the_body,
    spoilt,
    late,
    indented,
]


@asynccontextmanager
async def watched(play, known=True):
    """A watch of a stand-in; gives it, what it was told, and the stand-in."""
    told = asyncio.Queue()
    async with StandInServer(play) as agent:
        config = platform_configuration(
            {"name": "n", "listen": "127.0.0.1:1", "discovery": agent.address, "settings": SETTINGS}
        )
        pool = ConnectionPool(config, DISCOVERY_SOCKETS)
        watch = Discovery(pool, agent.address, read_list, told.put_nowait)
        if known:
            watch.accept_list({"index": 5, "snapshot": True, "endpoints": [OLD]})
            told.get_nowait()
        watching = asyncio.create_task(watch.watch())
        try:
            yield watch, told, agent
        finally:
            watching.cancel()
            await pool.close()


def fails_once(failure):
    """Give what an agent plays: one call fails, whole lists are answered, watches wait."""
    failed = False

    async def play(call, writer):
        nonlocal failed
        if not failed:
            failed = True
            await failure(writer)
        elif "since=7" in call[0]:
            await asyncio.Event().wait()
        elif "since=" in call[0]:
            writer.write(well({"index": 7, "snapshot": False, "endpoints": []}))
        else:
            writer.write(well())

    return play


async def level(failure, known):
    """Play one failure and give whether the list that came is the whole one, and how long it took."""
    async with watched(fails_once(failure), known) as (_, told, _):
        begun = asyncio.get_running_loop().time()
        listed = await within(told.get())
        took = asyncio.get_running_loop().time() - begun
    return [each.name for each in listed.endpoints], listed.is_full, took


@pytest.mark.parametrize("known", [True, False], ids=["watching", "at the start"])
def test_the_list_is_level_within_six_seconds_of_each_kind_of_failed_call(known):
    async def test():
        ends = await asyncio.gather(*(level(failure, known) for failure in FAILURES))
        for failure, (names, whole, took) in zip(FAILURES, ends, strict=True):
            assert (names, whole) == (["new"], True), f"{failure.__name__}: a broken watch asks for all"
            assert took < TOLD_WITHIN, failure.__name__

    asyncio.run(test())


def test_two_silent_calls_in_a_row_leave_time_for_the_third():
    async def test():
        calls = 0

        async def play(call, writer):
            nonlocal calls
            calls += 1
            await (silent(writer) if calls <= 2 else indented(writer))

        async with watched(play) as (_, told, _):
            assert (await asyncio.wait_for(told.get(), TOLD_WITHIN)).is_full

    asyncio.run(test())


def test_an_address_that_takes_no_connection_is_left_in_time_when_a_reload_moves_the_watch():
    async def test():
        with socket.socket() as full:  # listens, yet nobody accepts: further connections hang
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            hangs = "{}:{}".format(*full.getsockname())
            held = [socket.socket() for _ in range(3)]
            for each in held:
                each.setblocking(False)
                each.connect_ex(full.getsockname())
            async with watched(fails_once(silent)) as (watch, told, agent):
                await agent.wait_for("GET")
                config = platform_configuration(
                    {"name": "n", "listen": "127.0.0.1:1", "discovery": hangs, "settings": SETTINGS}
                )
                moved = watch.moved(config)
                watching = asyncio.create_task(moved.watch())
                await asyncio.sleep(1)
                watching.cancel()
                again = moved.moved(
                    platform_configuration(
                        {
                            "name": "n",
                            "listen": "127.0.0.1:1",
                            "discovery": agent.address,
                            "settings": SETTINGS,
                        }
                    )
                )
                watching = asyncio.create_task(again.watch())
                assert (await asyncio.wait_for(told.get(), 1)).is_full, "asked for at once"
                watching.cancel()
            for each in held:
                each.close()

    asyncio.run(test())


def test_requests_that_hold_all_their_sockets_leave_discovery_its_own():
    async def test():
        async with StandInServer(fails_once(indented)) as agent:
            told = {
                "name": "n",
                "listen": "127.0.0.1:1",
                "discovery": agent.address,
                "settings": SETTINGS,
                "limits": {"sockets": 64, "memory_mb": 96},
            }
            conductor = RouterService(platform_configuration(told), lambda: platform_configuration(told))
            form = (socket.AF_INET, socket.SOCK_STREAM, 0)
            may_use_release_sockets.set(True)  # releases have taken theirs, too
            taken = [conductor.pool.open_socket(form) for _ in range(conductor.pool.max_sockets)]
            with pytest.raises(OSError):
                conductor.pool.open_socket(form)
            await agent.wait_for("GET /registry/instances?since=7")
            conductor.watch_supervisor.stop()
            for pool in conductor.pools:
                await pool.close()
            for made in taken:
                made.close()

    asyncio.run(test())


def test_a_call_that_hangs_past_discoverys_return_has_another_beside_it():
    async def test():
        back = asyncio.Event()

        async def play(call, writer):
            if not back.is_set():
                await silent(writer)  # what was asked before the return is never answered
            elif "since=" in call[0]:
                await asyncio.Event().wait()
            else:
                writer.write(well())

        for known in (True, False):
            back.clear()
            async with watched(play, known) as (_, told, agent):
                await agent.wait_for("GET /registry/instances HTTP")
                back.set()
                loop = asyncio.get_running_loop()
                begun = loop.time()
                assert (await within(told.get())).is_full
                assert loop.time() - begun < 0.6, "waited for a call that is never answered"

    asyncio.run(test())


def test_crowded_discovery_is_asked_little_more_and_its_answers_are_heard():
    async def test():
        async def play(call, writer):
            if "since=" in call[0]:
                await asyncio.Event().wait()
            await asyncio.sleep(0.9)  # every list takes long
            writer.write(well())

        async with watched(play, known=False) as (watch, told, agent):
            for _ in range(4):
                assert (await within(told.get())).is_full
                watch.index = None
                for transport in list(agent.open):
                    transport.abort()
            assert len(agent.named("GET /registry/instances HTTP")) <= 4 * 1.75

    asyncio.run(test())
