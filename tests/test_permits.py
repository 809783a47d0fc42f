"""The last look before an attempt is written: each rule forbids it alone, and a path round it is counted."""

from dataclasses import replace
from datetime import timedelta

import pytest
from core_driver import MS, SECOND, Core, endpoint

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
