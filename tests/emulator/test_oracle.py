"""The soak's judge finds each broken rule that it is shown, and none where the rules are kept."""

import asyncio

import pytest
from stand_ins import run

from llm_router.emulator.failing_calls import FaultPlan
from llm_router.emulator.oracle import Effect, Oracle, Rule, slow_start_budget

RELEASE_WITHIN, DRAIN_GRACE = 0.05, 0.1


class Clock:
    """A loop whose time the test sets."""

    def __init__(self):
        self.now = 100.0

    def time(self):
        return self.now


@pytest.fixture
def oracle(monkeypatch):
    clock = Clock()
    monkeypatch.setattr("llm_router.emulator.oracle.asyncio.get_running_loop", lambda: clock)
    made = Oracle(RELEASE_WITHIN, DRAIN_GRACE)
    made.clock = clock
    made.asks("q", "n0", Effect.UNSAFE)
    made.taken("q", 1.0)
    return made


def rules(oracle):
    return [each.rule for each in oracle.breaks]


def serve(oracle):
    oracle.begins("q", "p", 0.9)
    oracle.reads("q", "p")
    oracle.read_ended("q", "p", left=True)
    oracle.decodes("q", "d")
    oracle.first_token("q")
    oracle.answers("q", 200)
    oracle.decode_ended("q", began=True)


def test_a_request_that_is_served_breaks_nothing(oracle):
    serve(oracle)
    oracle.clock.now += 9
    oracle.judge_all()
    assert rules(oracle) == [] and not oracle.holding


def test_a_late_answer_and_a_close_without_one_lose_the_request(oracle):
    oracle.clock.now += 1.6
    oracle.answers("q", 503)
    oracle.asks("q2", "n0", Effect.SAFE)
    oracle.closed_unanswered("q2", "closed")
    assert rules(oracle) == [Rule.LOST, Rule.LOST]


def test_what_may_have_run_may_not_run_again(oracle):
    serve(oracle)
    oracle.decodes("q", "d")
    assert rules(oracle) == [Rule.DUPLICATE]


def test_a_second_attempt_beside_one_that_is_out_is_a_copy(oracle):
    oracle.reads("q", "p")
    oracle.reads("q", "p2")
    assert rules(oracle) == [Rule.COPY]


def test_an_attempt_for_a_client_that_left_is_a_break(oracle):
    oracle.leaves("q")
    oracle.clock.now += 0.05
    oracle.begins("q", "p", None)
    oracle.clock.now += 0.1
    oracle.begins("q", "p", None)
    assert rules(oracle) == [Rule.GONE]


def test_an_endpoint_may_not_be_told_more_time_than_is_left(oracle):
    oracle.begins("q", "p", 1.14)
    oracle.begins("q", "p", 1.16)
    assert rules(oracle) == [Rule.DEADLINE]


def test_a_drain_counts_from_when_it_was_told_and_at_the_latest_six_seconds_on(oracle):
    oracle.drains("p")
    oracle.clock.now += 6.05
    oracle.begins("q", "p", None)
    oracle.clock.now += 0.1
    oracle.begins("q", "p", None)
    oracle.drains("p2")
    oracle.is_told("n0", "p2")
    oracle.clock.now += 0.2
    oracle.begins("q", "p2", None)
    assert rules(oracle) == [Rule.DRAIN, Rule.DRAIN]


def test_what_is_held_with_no_attempt_out_is_pinned_after_its_time(oracle):
    oracle.reads("q", "p")
    oracle.read_ended("q", "p", left=True)
    oracle.clock.now += 0.3
    oracle.judge_all()
    assert rules(oracle) == []
    oracle.clock.now += 0.1
    oracle.judge_all()
    assert rules(oracle) == [Rule.PINNED]


def test_a_release_passes_by_what_a_decode_attempt_waits_for_and_takes_all_else(oracle):
    oracle.holds("q", "state at p")
    oracle.decodes("q", "d")
    oracle.releases("q")
    assert oracle.has_state("q")
    oracle.first_token("q")
    oracle.holds("q", "state at p2")  # of a read that went on after it broke
    oracle.releases("q")
    assert not oracle.has_state("q")


def test_what_a_killed_conductor_held_is_nobodys_fault(oracle):
    oracle.holds("q", "place at d")
    oracle.forgive_held("n0")
    oracle.clock.now += 9
    oracle.judge_all()
    assert rules(oracle) == []


def test_an_event_that_is_held_back_is_a_break_unless_its_endpoint_was_cut_off(oracle):
    oracle.event_came("q", "d", oracle.now - 0.2)
    oracle.event_came("q", "d", oracle.now - 0.4)
    oracle.cut["d"] = oracle.now
    oracle.event_came("q", "d", oracle.now - 0.4)
    assert rules(oracle) == [Rule.EVENT]


def test_the_lag_of_the_judges_own_loop_is_taken_off(oracle):
    oracle.lags.append((oracle.now, 0.2))
    oracle.begins("q", "p", 1.3)
    assert rules(oracle) == []


def test_the_lag_is_measured():
    async def test():
        oracle = Oracle(RELEASE_WITHIN, DRAIN_GRACE)
        measuring = asyncio.ensure_future(oracle.measure_lag())
        await asyncio.sleep(0.05)
        measuring.cancel()
        assert oracle.lag >= 0 and oracle.lags

    run(test())


@pytest.mark.parametrize(("calls", "budget"), [(4, 13), (25, 43), (100, 122)])
def test_the_budget_of_slow_start_is_the_pages(calls, budget):
    assert slow_start_budget(calls) == budget


@pytest.mark.parametrize(
    "text",
    [
        '{"calls": [{"call": "fly", "errors": ["EIO"]}]}',
        '{"calls": [{"call": "send", "errors": ["ENONE"]}]}',
        '{"calls": [{"call": "send"}]}',
        '{"often": 1}',
        "{",
    ],
)
def test_a_plan_that_cannot_be_read_is_an_error(text):
    with pytest.raises((ValueError, TypeError, KeyError)):
        FaultPlan.read(text)
