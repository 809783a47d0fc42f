"""The last look before an attempt is written: each rule forbids it alone, and a path round it is counted."""

import asyncio
from dataclasses import replace
from datetime import timedelta

import pytest
from core_driver import MS, SECOND, Core, endpoint, start
from standins import Server, accept_release, hang, run

from hoplane.core import events as ev
from hoplane.core.permits import Denial, check_write
from hoplane.decision.interface import State, Status


@pytest.fixture
def core():
    return Core(max_attempts=2)


def look(core, index=0, **changes):
    request = core.state.requests.get("q")
    deadline = changes.pop("deadline", core.now + SECOND)
    return check_write(core.state, core.now, request, index, deadline, **changes)


def second_attempt(core, cls, status):
    """Play a first attempt to its end at a decode server, and give the request with a second one."""
    core.ask(cls=cls)
    core.do(ev.Ended("q", 0, Status.MISS), MS)
    core.do(ev.Ended("q", 1, status), MS)
    request = core.state.requests["q"]
    request.closed = False
    request.attempts.append(replace(request.attempts[1], sent=False, over=False, may_have_run=False))
    return request


def test_an_attempt_whose_reason_holds_may_be_written(core):
    core.ask()
    assert look(core) is None


def test_nothing_is_written_for_a_client_that_left(core):
    core.ask()
    core.do(ev.Left("q"))
    assert look(core) is Denial.CLIENT_GONE


def test_nothing_is_written_for_a_request_that_is_forgotten(core):
    assert look(core) is Denial.CLIENT_GONE


def test_nothing_is_written_once_the_time_is_over(core):
    core.ask()
    assert look(core, deadline=core.now) is Denial.TIME_OVER


def test_no_repeat_is_written_past_its_window(core):
    core.ask()
    assert look(core, not_after=core.now) is Denial.REPEAT_WINDOW_OVER
    assert look(core, not_after=core.now + MS) is None


@pytest.mark.parametrize("state", [State.DRAINING, State.GONE])
def test_nothing_is_written_to_an_endpoint_that_drains_or_is_gone(core, state):
    core.ask()
    core.do(ev.Listed((endpoint("r", "reader", state),), False))
    assert look(core) is Denial.ENDPOINT_DRAINS


def test_no_more_attempts_are_written_than_the_settings_allow(core):
    request = second_attempt(core, "safe", Status.ERROR)
    assert core.state.settings.max_attempts == 2 and len(request.attempts) == 3
    assert look(core, index=2) is Denial.ATTEMPTS_USED


def test_no_second_copy_is_written_while_an_attempt_is_out():
    core = Core()
    request = second_attempt(core, "safe", Status.ERROR)
    request.attempts[1].over = False
    assert look(core, index=2) is Denial.COPY_OUT


@pytest.mark.parametrize("status", [Status.ERROR, Status.RESET, Status.TIMEOUT])
def test_what_may_have_run_is_written_again_only_where_its_class_allows(status):
    for cls, denial in (("once", Denial.MAY_HAVE_RUN), ("safe", None)):
        core = Core()
        second_attempt(core, cls, status)
        assert look(core, index=2) is denial


def test_what_is_written_against_a_rule_is_counted_and_told(core):
    core.ask()
    core.now += timedelta(seconds=9)
    core.do(ev.Sent("q", 0))
    (said,) = [say for say in core.of(ev.Say) if say.event == "invariant_broken"]
    assert said.facts["what"] == "time_over" and said.facts["request"] == "q"
    assert core.state.violations == {"written_against_rule": 1}


def test_a_final_answer_names_its_reason_and_the_attempts_before_it(core):
    core.ask()
    core.do(ev.Ended("q", 0, Status.ERROR), MS)
    core.do(ev.Ended("q", 1, Status.ERROR), MS)
    said = [say for say in core.of(ev.Say) if say.event == "request_refused"]
    assert said and said[0].facts["attempts"] == ["r error", "r error"]
    assert said[0].facts["why"] == "no_more_attempts"


def test_a_decode_server_that_drains_is_not_asked_a_second_time_for_a_place(core):
    core.ask()
    (reserve,) = core.of(ev.Reserve)
    core.do(ev.Listed((replace(reserve.endpoint, state=State.DRAINING),), False))
    core.do(ev.ReservationEnded("q", 0, ev.Reservation.UNKNOWN), 300 * MS)
    assert not core.of(ev.Reserve)


def test_a_reservation_is_looked_at_once_more_when_its_connection_is_up():
    async def test():
        async with Server(accept_release) as reader, Server(hang) as writer:
            runtime = start(reader, writer)
            runtime.exchanges["q"] = None
            asked = ev.Asked("q", "lookup", 100, 20, timedelta(seconds=3), session="s")
            runtime.state.router.handle = lambda now, event: []
            runtime.feed(asked)
            (drained,) = [each for each in runtime.state.fleet.values() if each.kind == "decode"]
            runtime.state.fleet[runtime.state.numbers[drained.name]] = replace(drained, state=State.DRAINING)
            sent, told = asyncio.Event(), []
            sent.set()
            runtime.held_calls.feed = told.append
            reading = asyncio.ensure_future(asyncio.sleep(1))
            await runtime.held_calls.reserve(ev.Reserve("q", 0, drained), sent, lambda: reading)
            assert [each.result for each in told] == [ev.Reservation.NOT_HELD]
            assert not writer.calls
            reading.cancel()
            await runtime.pool.close()

    run(test())
