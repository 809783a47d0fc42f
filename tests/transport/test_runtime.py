"""The runtime in this process, for what the real program meets too seldom to be tested from outside."""

import asyncio
import json
import socket
from datetime import timedelta
from types import SimpleNamespace

import pytest
from reducer_harness import start
from stand_ins import SETTINGS, StandInServer, accept_release, registry_entry, within

from llm_router.configuration import platform_configuration
from llm_router.frontends.kserve.responses import error_response
from llm_router.frontends.registry_list import read_list
from llm_router.lifecycle import reducer
from llm_router.lifecycle.events import AttemptEnded, ClientDisconnected, LoadReportReceived, RequestReceived
from llm_router.routing.events import AttemptStatus, ConnectionFault
from llm_router.transport.discovery import Discovery
from llm_router.transport.frontend_protocol import UpstreamRequest
from llm_router.transport.server import FrontendServer


def test_an_attempt_given_up_before_its_first_step_still_ends():
    async def test():
        async with StandInServer(accept_release) as reader, StandInServer(accept_release) as writer:
            runtime = start(reader, writer)
            runtime.proxied_requests["q"] = None
            runtime.feed(RequestReceived("q", "lookup", 100, 20, timedelta(seconds=3), session="s"))
            runtime.feed(ClientDisconnected("q"))
            await within(runtime.wait_until_idle())
            await reader.wait_for("DELETE /v1/holds/q")
            assert not runtime.state.requests and not reader.named("POST")
            await runtime.pool.close()

    asyncio.run(test())


def test_a_fault_of_ours_is_answered_in_the_words_of_the_front():
    async def broken(request):
        raise RuntimeError("a fault")

    async def test():
        told = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS}
        answer = await FrontendServer(platform_configuration(told), broken, error_response).handle(None)
        assert answer.status == 500 and json.loads(answer.body)["error"]

    asyncio.run(test())


def test_connections_are_bounded_and_idle_ones_give_way():
    async def test():
        async with StandInServer(accept_release) as reader, StandInServer(accept_release) as writer:
            runtime = start(reader, writer, limits={"sockets": 64, "memory_mb": 96})
            pool, second = runtime.pool, timedelta(seconds=5)
            assert pool.max_sockets == 27
            calls = (pool.call("DELETE", reader.address, "/v1/holds/a", second) for _ in range(40))
            done = await asyncio.gather(*calls)
            assert 1 <= done.count(204) <= 27 and done.count(None) == 40 - done.count(204)
            assert await pool.call("DELETE", writer.address, "/v1/holds/a", second) == 204
            await pool.close()

    asyncio.run(test())


def test_closed_connections_take_no_place():
    async def test():
        async with StandInServer(accept_release) as reader, StandInServer(accept_release) as writer:
            pool = start(reader, writer, limits={"sockets": 64, "memory_mb": 96}).pool
            second = timedelta(seconds=5)
            kind, room = (socket.AF_INET, socket.SOCK_STREAM, 0), pool.max_sockets - pool.release_sockets
            closed = [pool.open_socket(kind) for _ in range(room)]
            for made in closed:  # still referred to, as by the cycles that only the garbage collector ends
                made.close()
            assert await pool.call("DELETE", reader.address, "/v1/holds/a", second) == 204
            await pool.close()

    asyncio.run(test())


def test_silence_casts_doubt_on_the_connections_kept_from_before():
    async def mute(call, writer):
        if call[0].startswith("POST"):
            await asyncio.Event().wait()
        await accept_release(call, writer)

    async def test():
        async with StandInServer(mute) as reader, StandInServer(accept_release) as writer:
            runtime = start(reader, writer)
            pool, second = runtime.pool, timedelta(seconds=5)
            for server in (reader, writer):
                calls = (pool.call("DELETE", server.address, "/v1/holds/a", second) for _ in range(3))
                assert await asyncio.gather(*calls) == [204] * 3
            call = UpstreamRequest("POST", "/v1/chat/completions", {}, b"{}")
            told = asyncio.Event()
            runtime.proxied_requests["q"] = SimpleNamespace(
                call=lambda forward: call, refuse=lambda pause: told.set(), fail=lambda clash: told.set()
            )
            runtime.feed(RequestReceived("q", "lookup", 100, 20, timedelta(seconds=0.8), session="s"))
            await within(told.wait())
            assert pool.connector.drop_idle(reader.address) == 0, "none is left to wait on in vain"
            assert pool.connector.drop_idle(writer.address) == 3
            await within(runtime.wait_until_idle())
            await pool.close()

    asyncio.run(test())


def test_kept_connections_that_break_are_told_as_such_and_then_none_is_kept():
    broken = asyncio.Event()

    async def drops(call, writer):
        if broken.is_set():
            writer.transport.abort()
        else:
            await accept_release(call, writer)

    async def test():
        async with StandInServer(drops) as reader, StandInServer(accept_release) as writer:
            runtime = start(reader, writer)
            pool, ended = runtime.pool, []
            reduced, runtime.feed = runtime.feed, lambda event: (ended.append(event), reduced(event))
            calls = (pool.call("DELETE", reader.address, "/v1/holds/a", timedelta(seconds=5)) for _ in "ab")
            assert await asyncio.gather(*calls) == [204, 204] and pool.connector.keeping
            broken.set()
            assert await pool.call("DELETE", reader.address, "/v1/holds/b", timedelta(seconds=5)) is None
            assert pool.connector.keeping, "one alone may have been closed as idle"
            call, told = UpstreamRequest("POST", "/v1/chat/completions", {}, b"{}"), asyncio.Event()
            runtime.proxied_requests["q"] = SimpleNamespace(
                call=lambda forward: call, refuse=lambda pause: told.set(), fail=lambda clash: told.set()
            )
            runtime.feed(RequestReceived("q", "lookup", 100, 20, timedelta(seconds=3), session="s"))
            await within(told.wait())
            await within(runtime.wait_until_idle())
            ends = [(each.status, each.connection_fault) for each in ended if isinstance(each, AttemptEnded)]
            assert (
                ends[0] == (AttemptStatus.RESET, ConnectionFault.STALE)
                and (AttemptStatus.RESET, ConnectionFault.NONE) in ends
            ), "the next were new ones"
            assert not pool.connector.keeping
            await pool.close()

    asyncio.run(test())


def test_what_we_close_or_what_closes_while_idle_is_no_break():
    mute = asyncio.Event()

    async def answers(call, writer):
        if mute.is_set():
            await asyncio.Event().wait()
        await accept_release(call, writer)
        if call[0].startswith("GET"):
            writer.close()  # right behind the answer, as what is idle is closed

    async def test():
        async with StandInServer(answers) as reader, StandInServer(accept_release) as writer:
            pool, second = start(reader, writer).pool, timedelta(seconds=5)

            async def calls(method, within_s=second):
                asked = (pool.call(method, reader.address, "/v1/holds/a", within_s) for _ in range(4))
                return await asyncio.gather(*asked)

            assert await calls("DELETE") == [204] * 4
            assert await calls("GET") == [204] * 4, "on the connections kept from before"
            while await calls("DELETE") != [204] * 4:  # some may meet a close on its way
                pass
            kept = pool.connector.broken.copy()
            mute.set()
            assert await calls("DELETE", timedelta(milliseconds=50)) == [None] * 4
            await within(reader.closed.get())
            assert pool.connector.broken == kept
            await pool.close()

    asyncio.run(test())


def test_discovery_applies_lists_and_changes_and_asks_anew_after_a_step_back():
    told = []
    watch = Discovery(None, "", read_list, told.append)
    one, two = (
        registry_entry("a", "127.0.0.1:1", "prefill"),
        registry_entry("b", "127.0.0.1:2", "decode", "Odd"),
    )
    watch.accept_list({"index": 5, "snapshot": True, "endpoints": [one]})
    watch.accept_list({"index": 7, "snapshot": False, "endpoints": [two]})
    watch.accept_list({"index": 7, "snapshot": False, "endpoints": []})
    assert [(each.is_full, len(each.endpoints)) for each in told] == [(True, 1), (False, 1)]
    assert told[1].endpoints[0].state.value == "draining", "an unknown status gets nothing new"
    watch.accept_list({"index": 3, "snapshot": False, "endpoints": [one]})
    assert watch.index is None and len(told) == 2, "changes of another list are not applied"
    for wrong in ({}, [], {"index": 1, "endpoints": [{"name": "x"}]}, json.loads("null")):
        try:
            watch.accept_list(wrong)
        except ValueError:
            continue
        raise AssertionError(wrong)


def test_the_listener_is_closed_only_when_nobody_waits_to_be_accepted(monkeypatch):
    monkeypatch.setattr("llm_router.transport.server.LINGER", timedelta())
    monkeypatch.setattr("llm_router.transport.server.ACCEPT_LAST", timedelta(seconds=9))

    async def test():
        told = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS}
        server, closed = FrontendServer(platform_configuration(told), None, error_response), asyncio.Event()
        server.acceptor = SimpleNamespace(close=closed.set, drained=False, failing=False)
        stopping = asyncio.ensure_future(server.shut_down())
        await asyncio.sleep(0.03)
        assert not closed.is_set()
        server.acceptor.drained = True
        await within(stopping)
        assert closed.is_set()

    asyncio.run(test())


def test_a_request_given_up_half_written_is_never_written_to_its_end():
    large = b"x" * (32 << 20)  # more than both ends of a connection take for an endpoint that does not read

    async def test():
        arrived, resumed, ended = asyncio.Event(), asyncio.Event(), asyncio.Event()
        sizes = []

        async def reads_late(reader, writer):
            arrived.set()
            await resumed.wait()
            size = 0
            try:
                while data := await reader.read(1 << 20):
                    size += len(data)
            except ConnectionError:
                pass
            sizes.append(size)
            ended.set()
            writer.close()

        listener = await asyncio.start_server(reads_late, "127.0.0.1", 0)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        async with StandInServer(accept_release) as reader, StandInServer(accept_release) as writer:
            pool = start(reader, writer).pool

            async def send():
                await pool.request("POST", address, "/v1/chat/completions", data=large)

            sending = asyncio.ensure_future(send())
            await within(arrived.wait())
            sending.cancel()
            await within(asyncio.wait({sending}))
            await asyncio.sleep(0)
            resumed.set()
            await within(ended.wait())
            assert 0 < sizes[0] < len(large)
            await pool.close()
        listener.close()

    asyncio.run(test())


def test_an_event_that_breaks_leaves_those_behind_it_their_turn(monkeypatch):
    async def test():
        async with StandInServer(accept_release) as reader, StandInServer(accept_release) as writer:
            runtime, taken = start(reader, writer), []

            def breaks(state, now, event):
                runtime.feed(ClientDisconnected("behind"))  # it comes while this one is being handled
                raise RuntimeError("a fault of ours")

            monkeypatch.setitem(reducer.HANDLERS, LoadReportReceived, breaks)
            monkeypatch.setitem(reducer.HANDLERS, ClientDisconnected, lambda *_: taken.append("behind") or ())
            with pytest.raises(RuntimeError):
                runtime.feed(LoadReportReceived(1, AttemptStatus.OK, timedelta(), {}))
            assert taken == ["behind"]
            await runtime.pool.close()

    asyncio.run(test())
