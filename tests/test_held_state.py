"""What is held for a request is released in time, whatever fails on the way; each bad order is forced."""

import asyncio
import time
from datetime import timedelta

import pytest
from conftest import Desk
from core_driver import MS, SECOND, Core, endpoint, start
from standins import (
    FACTS,
    SETTINGS,
    LateListener,
    Server,
    accept_release,
    chat,
    entry,
    hang,
    message,
    platform,
    within,
)

from hoplane.core import events as ev
from hoplane.core.held import READS_ON, HeldState, Holding
from hoplane.core.reducer import reduce
from hoplane.core.release_calls import NEXT_MOST, ReleaseCalls
from hoplane.core.release_order import release_order
from hoplane.decision import interface as api
from hoplane.decision.interface import State, Status

LIMIT = timedelta(milliseconds=300)
OUT_OF_TIME = (Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)


def test_connections_that_never_come_up_leave_the_state_no_longer_than_told(tmp_path):
    clock, read_at, released_at = time.monotonic, [], []

    async def read(call, writer):
        if call[0].startswith("POST /v1/chat"):
            read_at.append(clock())
            writer.write(message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}'))
        else:
            released_at.append(clock())
            await accept_release(call, writer)

    two_seconds = {"ahead": False, "release_within": 2_000_000_000}
    told = {
        **SETTINGS,
        "allowed": {**SETTINGS["allowed"], "connect_timeout": 1_000_000_000},
        "family_info": {**SETTINGS["family_info"], **two_seconds},
    }

    async def test():
        async with Server(read) as reader:
            listeners = [LateListener() for _ in range(3)]  # they never come up
            writers = [entry(f"w{n}", each.address, "decode") for n, each in enumerate(listeners)]
            entries = [entry("r", reader.address, "prefill"), *writers]
            async with platform(tmp_path, entries, settings=told) as program:
                first, _, _ = await program.ask(chat(facts=FACTS))
                assert first.split()[1] == "503"
                await reader.wait_for("DELETE /v1/holds/r1")
                assert len(read_at) == 1 and released_at[0] - read_at[0] < 2.0
            for each in listeners:
                each.close()

    asyncio.run(test())


def test_a_reservation_call_not_written_by_the_end_of_the_prefill_is_dropped():
    class SlowPool:
        """Connections come up when `up` is set."""

        def __init__(self):
            self.up, self.calls, self.written = asyncio.Event(), 0, 0

        async def call(self, method, address, path, wait, sent, complete=None):
            self.calls += 1
            await self.up.wait()
            sent.set()
            self.written += 1
            return 200

    async def test():
        async with Server(accept_release) as reader, Server(accept_release) as writer:
            runtime = start(reader, writer)
            calls = runtime.held_calls
            pool, calls.pool = calls.pool, SlowPool()
            prefill = asyncio.get_running_loop().create_future()
            reserving = asyncio.ensure_future(calls.call_reservation("a:1", "/v1/holds/q", prefill))
            await asyncio.sleep(0)
            prefill.set_result(None)
            assert await within(reserving) is ev.Reservation.NOT_HELD
            calls.pool.up.set()
            await asyncio.sleep(0)
            assert (calls.pool.calls, calls.pool.written) == (1, 0)
            await pool.close()

    asyncio.run(test())


def test_a_release_call_that_is_given_up_is_closed_and_tells_nothing():
    unheard = asyncio.Event()

    async def mute(call, writer):
        unheard.set()
        await asyncio.Event().wait()

    async def test():
        async with Server(mute) as reader, Server(accept_release) as writer:
            runtime = start(reader, writer)
            calls, told = runtime.held_calls, []
            calls.feed = told.append
            silent = next(each for each in runtime.state.fleet.values() if each.name == "r1")
            calls.release(ev.Release("q", SECOND, 0, silent))
            await within(unheard.wait())
            ((release,),) = calls.releases.values()
            calls.stop_releases(ev.StopReleases("q"))
            await within(asyncio.wait({release}))
            await within(reader.closed.get())
            assert release.cancelled() and not calls.releases and told == []
            await runtime.pool.close()

    asyncio.run(test())


def test_a_release_finds_a_socket_though_attempts_have_taken_all_that_they_may():
    async def test():
        async with Server(hang) as busy, Server(accept_release) as writer:
            runtime = start(busy, writer, limits={"sockets": 64, "memory_mb": 96})
            calls = [runtime.pool.call("POST", busy.address, "/", timedelta(seconds=9)) for _ in range(40)]
            tasks = [asyncio.ensure_future(call) for call in calls]
            await busy.wait_for("POST", 20)
            free = next(each for each in runtime.state.fleet.values() if each.name == "w1")
            assert await runtime.held_calls.call_release(ev.Release("q", SECOND, 0, free))
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
            await runtime.pool.close()

    asyncio.run(test())


@pytest.fixture
def core():
    return Core()


def test_a_new_state_ends_the_release_of_the_old_one(core):
    core.ask()
    reduce(core.state, core.now, ev.Ended("q", 0, Status.RESET))  # the connection of the next read waits
    later = core.now + 100 * MS
    released = reduce(core.state, later, ev.Due(ev.ReleaseDue("q", core.now)))
    assert any(isinstance(each, ev.Release) for each in released)
    core.do(ev.Sent("q", 1), 110 * MS)
    core.do(ev.Ended("q", 1, Status.MISS), MS)
    assert core.of(ev.StopReleases) == [ev.StopReleases("q")], "it would take the new state as well"
    assert core.of(ev.Forward) and not core.of(ev.Release)


def test_a_reservation_left_behind_a_release_is_seen_to_though_the_request_goes_on(core):
    request = hold_with_nothing_out(core)
    core.do(ev.ReservationEnded("q", 0, ev.Reservation.UNANSWERED), 100 * MS)
    assert core.of(ev.Release) and not request.closed


def test_a_reservation_that_is_out_is_released_again_and_again_until_it_ends(core):
    request, begun = hold_with_nothing_out(core), core.now
    for _ in range(3):
        begun = core.now
        assert core.next_release() and core.now - begun <= 500 * MS
        core.do(ev.ReleaseAnswered("q", request.taken, request.release_calls - 1, True), MS)


def hold_with_nothing_out(core):
    """Play a prefill that breaks while its reservation is out, with no server left for another attempt."""
    core.ask()
    core.do(ev.Listed((endpoint("r", "reader", State.DRAINING),), False))
    core.state.router.stranded = lambda job: False  # it waits for a server to come back
    core.do(ev.Ended("q", 0, Status.RESET), 10 * MS)
    request = core.state.requests["q"]
    (release,) = core.next_release()
    core.do(ev.ReleaseAnswered("q", release.taken, release.number, True), MS)
    assert not request.out and request.held.reservations == 1
    return request


def test_the_servers_that_just_failed_are_asked_last_for_a_release(core):
    core.ask()
    silent = core.read().endpoint
    core.do(ev.Ended("q", 1, Status.CONNECT_FAILED), 10 * MS)
    core.do(ev.Left("q"), MS)
    for index, attempt in enumerate(core.state.requests["q"].attempts):
        if not attempt.over:
            core.do(ev.Ended("q", index, Status.CANCELLED), MS)
    (release,) = core.of(ev.Release) or core.next_release()
    order = release_order(core.state, core.state.requests["q"])
    assert release.endpoint.name == order[0].name == "r", "it answered last"
    assert order[-1] == silent


def test_what_is_held_is_released_when_due_though_the_decisions_forget_it(core):
    core.ask()
    core.state.router.handle = lambda now, event: []
    core.do(ev.ReservationEnded("q", 0, ev.Reservation.UNANSWERED))
    core.do(ev.Ended("q", 0, Status.MISS), 10 * MS)
    (wake,) = core.of(ev.Wake)
    assert isinstance(wake.timer, ev.ReleaseDue) and wake.at < core.now + 500 * MS
    core.now = wake.at
    core.do(ev.Due(wake.timer))
    assert core.of(ev.Release)
    core.do(ev.Due(wake.timer), MS)
    assert not core.of(ev.Release), "once"


# --- the state machine alone


def test_connection_time_is_shared_by_two_servers_within_the_release_time():
    held = HeldState(LIMIT)
    assert held.connect_within(SECOND) is None, "nothing is held"
    held.prefill_ended(SECOND, Status.MISS)
    first = held.connect_within(SECOND)
    second = held.connect_within(SECOND + first)
    assert timedelta() < second and first + second <= LIMIT - 25 * MS
    assert timedelta() < held.connect_within(SECOND + LIMIT) <= MS


@pytest.mark.parametrize("status", OUT_OF_TIME)
def test_the_time_counts_from_the_last_outcome_but_for_connections_that_failed(core, status):
    core.ask()
    core.read()
    core.state.router.handle = lambda now, event: []
    held, read_at = core.state.requests["q"].held, core.now
    due = held.release_at
    core.do(ev.Ended("q", 1, Status.CONNECT_FAILED), 20 * MS)
    assert held.release_at == due < read_at + 500 * MS
    held.decode_ended(core.now, status)
    assert core.now < held.release_at < core.now + 500 * MS


@pytest.mark.parametrize("status", [Status.MISS, *OUT_OF_TIME])
def test_a_prefill_that_may_have_ended_well_leaves_something(status):
    held = HeldState(LIMIT)
    held.prefill_ended(SECOND, status)
    assert held.holding is (Holding.READY if status is Status.MISS else Holding.LEFTOVER)
    held.begin_release(ReleaseCalls(SECOND))
    assert not held.done and held.release_at is None
    held.release_heard(SECOND)
    assert held.done is (status is Status.MISS), "what was cut off may show up later"
    held.begin_release(ReleaseCalls(SECOND))
    held.release_heard(SECOND + READS_ON)
    assert held.done


@pytest.mark.parametrize("status", [Status.CONNECT_FAILED, Status.FULL, Status.MOOT])
def test_a_prefill_that_never_ran_leaves_nothing(status):
    held = HeldState(LIMIT)
    held.prefill_ended(SECOND, status)
    assert held.done and held.release_at is None


def test_a_stream_takes_all_that_is_held():
    held = HeldState(LIMIT)
    held.prefill_ended(SECOND, Status.MISS)
    held.taken(SECOND)
    held.give_up(SECOND)
    assert held.done and held.release_at is None


def test_endpoints_that_refuse_a_release_are_asked_a_few_at_a_time(core):
    core.do(ev.Listed(tuple(endpoint(f"s{n}", "writer") for n in range(40)), False))
    core.ask()
    core.read()
    core.do(ev.Left("q"), MS)
    core.do(ev.Ended("q", 1, Status.CANCELLED), MS)
    calls, asked, taken = core.of(ev.Release) or core.next_release(), set(), core.state.requests["q"].taken
    while calls:
        asked.add(calls[0].endpoint.name)
        core.do(ev.ReleaseAnswered("q", taken, calls[0].number, False), MS)
        calls = core.of(ev.Release)
    assert len(asked) == 1 + NEXT_MOST
    assert {each.endpoint.name for each in core.next_release()}.isdisjoint(asked)


def test_a_release_that_nobody_hears_ends_with_a_line_for_the_log(core):
    core.ask()
    core.read()
    core.do(ev.Left("q"), MS)
    core.do(ev.Ended("q", 1, Status.CANCELLED), MS)
    begun, count = core.now, len(core.of(ev.Release))
    while calls := core.next_release():
        count += len(calls)
    assert core.now - begun > 3 * SECOND and count >= 25
    assert core.said.count("release_unheard") == 1 and not core.state.requests


def test_a_state_that_its_writer_cannot_find_is_released(desk):
    desk.ask()
    desk.outcome(Status.MISS, desk.sent()[0])
    desk.outcome(Status.FULL, desk.sent()[0], attempt=1, note=1)
    assert desk.of(api.Release) == [api.Release("r")]


@pytest.mark.parametrize("within", [0, 1, 40])
def test_a_release_time_of_next_to_nothing_leaves_a_connection_part_of_the_protocols_slack(within):
    core = Core(release_within=within * 1_000_000)
    core.ask()
    assert timedelta() < core.read().connect_within <= 100 * MS


@pytest.mark.parametrize("within", [0, 1, 40, 100])
def test_a_short_release_time_leaves_the_first_decode_server_its_try(within):
    desk = Desk(release_within=within * 1_000_000)
    desk.ask()
    desk.outcome(Status.MISS, desk.sent()[0])
    assert len(desk.sent()) == 1 and not desk.of(api.Release)
