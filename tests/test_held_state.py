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
    message,
    platform,
    within,
)

from hoplane.core import events as ev
from hoplane.core.held import HeldState, Holding
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
    told = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "connect_timeout": 1_000_000_000},
            "family_info": {**SETTINGS["family_info"], **two_seconds}}

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

        async def call(self, method, address, path, wait, sent):
            self.calls += 1
            await self.up.wait()
            sent.set()
            self.written += 1
            return 200

    async def test():
        async with Server(accept_release) as reader, Server(accept_release) as writer:
            runtime = start(reader, writer)
            pool, runtime.pool = runtime.pool, SlowPool()
            prefill = asyncio.get_running_loop().create_future()
            reserving = asyncio.ensure_future(runtime.post_reservation("a:1", "/v1/holds/q", prefill))
            await asyncio.sleep(0)
            prefill.set_result(None)
            assert await within(reserving) is False
            runtime.pool.up.set()
            await asyncio.sleep(0)
            assert (runtime.pool.calls, runtime.pool.written) == (1, 0)
            await pool.close()
    asyncio.run(test())


def test_a_new_state_ends_the_release_of_the_old_one():
    unheard = asyncio.Event()

    async def mute(call, writer):
        unheard.set()
        await asyncio.Event().wait()

    async def test():
        async with Server(mute) as reader, Server(accept_release) as writer:
            runtime = start(reader, writer)
            endpoints = tuple(each for each in runtime.state.fleet.values() if each.name == "r1")
            runtime.release(ev.Release("q", endpoints, timedelta(seconds=9)))
            await within(unheard.wait())
            (release,) = runtime.releases.values()

            async def miss():
                return ev.Ended("q", 0, Status.MISS)

            task = asyncio.ensure_future(miss())
            runtime.attempts["q", 0], runtime.sent["q", 0] = task, asyncio.Event()
            await task
            runtime.over(ev.Forward("q", 0, endpoints[0], SECOND, True), task)
            await within(asyncio.wait({release}))
            assert release.cancelled() and not runtime.releases
            await runtime.pool.close()
    asyncio.run(test())


@pytest.fixture
def core():
    return Core()


def test_a_reservation_left_behind_a_release_is_seen_to_though_the_request_goes_on(core):
    request = hold_with_nothing_out(core)
    core.do(ev.ReservationEnded("q", 0, None), 100 * MS)
    assert core.of(ev.Release) and not request.closed


def hold_with_nothing_out(core):
    """Play a prefill that breaks while its reservation is out, with no server left for another attempt."""
    core.ask()
    core.do(ev.Listed((endpoint("r", "reader", State.DRAINING),), False))
    core.state.router.stranded = lambda job: False  # it waits for a server to come back
    core.do(ev.Ended("q", 0, Status.RESET), 10 * MS)
    request = core.state.requests["q"]
    assert core.of(ev.Release) and not request.out and request.held.reservations == 1
    return request


def test_the_servers_that_just_failed_are_asked_last_for_a_release(core):
    core.ask()
    silent = core.read().endpoint
    core.do(ev.Ended("q", 1, Status.CONNECT_FAILED), 10 * MS)
    core.do(ev.Left("q"), MS)
    for index, attempt in enumerate(core.state.requests["q"].attempts):
        if not attempt.over:
            core.do(ev.Ended("q", index, Status.CANCELLED), MS)
    (release,) = core.of(ev.Release)
    assert release.endpoints[0].name == "r", "it answered last"
    assert release.endpoints[-1] == silent


def test_what_is_held_is_released_when_due_though_the_decisions_forget_it(core):
    core.ask()
    core.state.router.handle = lambda now, event: []
    core.do(ev.ReservationEnded("q", 0, None))
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
    held.decode_ended(SECOND + first, Status.CONNECT_FAILED)
    second = held.connect_within(SECOND + first)
    assert timedelta() < second and first + second <= LIMIT - 25 * MS
    assert timedelta() < held.connect_within(SECOND + LIMIT) <= MS


@pytest.mark.parametrize("status", OUT_OF_TIME)
def test_the_time_counts_from_the_last_outcome_but_for_connections_that_failed(status):
    held = HeldState(LIMIT)
    held.prefill_ended(SECOND, Status.MISS)
    held.decode_ended(2 * SECOND, Status.CONNECT_FAILED)
    assert held.due < SECOND + LIMIT
    held.decode_ended(2 * SECOND, status)
    assert 2 * SECOND < held.due < 2 * SECOND + LIMIT


@pytest.mark.parametrize("status", [Status.MISS, *OUT_OF_TIME])
def test_a_prefill_that_may_have_ended_well_leaves_something(status):
    held = HeldState(LIMIT)
    held.prefill_ended(SECOND, status)
    assert held.holding is Holding.HELD
    held.released()
    assert held.holding is Holding.RELEASED and held.due is None


@pytest.mark.parametrize("status", [Status.CONNECT_FAILED, Status.FULL, Status.MOOT])
def test_a_prefill_that_never_ran_leaves_nothing(status):
    held = HeldState(LIMIT)
    held.prefill_ended(SECOND, status)
    assert held.holding is Holding.NOTHING and held.due is None


def test_a_stream_takes_all_that_is_held():
    held = HeldState(LIMIT)
    held.prefill_ended(SECOND, Status.MISS)
    held.taken()
    held.released()
    assert held.holding is Holding.NOTHING


def test_a_state_that_its_writer_cannot_find_is_released(desk):
    desk.ask()
    desk.outcome(Status.MISS, desk.sent()[0])
    desk.outcome(Status.FULL, desk.sent()[0], attempt=1, note=1)
    assert desk.of(api.Release) == [api.Release("r")]


def test_a_release_time_of_zero_bounds_no_connection():
    core = Core(release_within=0)
    core.ask()
    assert core.read().connect_within is None


@pytest.mark.parametrize("within", [0, 1, 40, 100])
def test_a_short_release_time_leaves_the_first_decode_server_its_try(within):
    desk = Desk(release_within=within * 1_000_000)
    desk.ask()
    desk.outcome(Status.MISS, desk.sent()[0])
    assert len(desk.sent()) == 1 and not desk.of(api.Release)
