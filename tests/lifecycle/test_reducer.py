"""The reducer alone: no sockets, no clock but the one that the tests pass in."""

from dataclasses import replace
from datetime import timedelta

import pytest
from reducer_harness import MS, SECOND, SETTINGS, ReducerHarness, endpoint

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.idempotency_registry import IdempotencyRegistry
from llm_router.lifecycle.release_order import release_order
from llm_router.lifecycle.state import RouterState
from llm_router.lifecycle.units import to_ns, to_span
from llm_router.routing import actions as routing_actions
from llm_router.routing import events as routing_events
from llm_router.routing.events import AttemptStatus, EndpointStatus, LoadReport
from llm_router.routing.policy import RoutingPolicy


@pytest.fixture
def core():
    return ReducerHarness()


def test_a_request_goes_to_a_reader_with_a_hold_and_then_to_the_writer(core):
    core.submit()
    (forward,), (hold,) = core.effects_of(effects.OpenAttempt), core.effects_of(effects.Reserve)
    assert forward.endpoint.name == "r" and forward.is_prefill and forward.deadline == core.now + 4 * SECOND
    core.feed(events.ReservationEnded("q", 0, ReservationOutcome.RESERVED), MS)
    assert core.finish_prefill(holds=0).endpoint.name == hold.endpoint.name
    core.feed(events.ResponseStarted("q", 1), MS)
    core.feed(events.AttemptEnded("q", 1, AttemptStatus.OK), SECOND)
    assert not core.effects_of(effects.Release), "a stream that began has let go of all else"
    assert not core.state.requests


def test_a_hold_not_known_tells_the_module_nothing(core):
    core.submit()
    assert core.feed(events.ReservationEnded("q", 0, ReservationOutcome.UNANSWERED), MS) == []
    core.submit("p")
    core.feed(events.ReservationEnded("p", 0, ReservationOutcome.REJECTED), MS)
    assert core.effects_of(effects.Reserve), "the next writer is asked after a plain no"


def test_a_client_that_leaves_during_the_read_has_it_closed_and_then_released(core):
    core.submit()
    core.feed(events.ReservationEnded("q", 0, ReservationOutcome.RESERVED))
    core.feed(events.ClientDisconnected("q"), MS)
    assert core.effects_of(effects.AbortAttempt) == [effects.AbortAttempt("q", 0)] and not core.effects_of(
        effects.Release
    )
    core.feed(events.AttemptEnded("q", 0, AttemptStatus.CANCELLED), MS)
    assert not core.effects_of(effects.Release), "what a cut read leaves may show up a moment later"
    ended = core.now
    assert core.next_release() and ended < core.now < ended + 50 * MS
    assert core.state.requests, "until an endpoint has taken it"
    assert core.acknowledge_releases() == 2, "the second takes what came after the first"
    assert not core.state.requests


def test_a_release_is_asked_in_each_zone_by_turns_though_all_of_the_request_was_in_one(core):
    near, far = "here", "there"
    settings = replace(SETTINGS, zone=near)
    core.state = RouterState(settings, RoutingPolicy(settings, 1), IdempotencyRegistry(9, 10 * 60 * SECOND))
    servers = [("r", "reader", far), ("w", "writer", far), ("w2", "writer", far)]
    servers += [(f"s{n}", "writer", zone) for n, zone in enumerate([far] * 20 + [near] * 20)]
    core.feed(
        events.EndpointListReceived(
            tuple(replace(endpoint(name, kind), zone=zone) for name, kind, zone in servers), True
        )
    )
    seen = set()
    for id in ("q", "q2", "q3"):
        core.submit(id)
        core.feed(events.ClientDisconnected(id))
        core.feed(events.ReservationEnded(id, 0, ReservationOutcome.UNANSWERED))
        core.feed(events.AttemptEnded(id, 0, AttemptStatus.CANCELLED), 10 * MS)
        (release,) = core.next_release()
        endpoints = release_order(core.state, core.state.requests[id])
        assert release.endpoint == endpoints[0], "the first is asked first"
        assert endpoints[0].name == "r", "the reader that may hold the state"
        zones = [each.zone for each in endpoints[:6]]
        assert zones == [far, near] * 3, "one that can be reached is soon asked, whichever zone is cut off"
        assert len(endpoints) == len(set(endpoints)) == len(servers)
        seen.add(endpoints[1].name)
    assert len(seen) > 1, "not the same one by all"


def test_a_place_held_after_the_end_is_release(core):
    core.submit()
    core.feed(events.ClientDisconnected("q"))
    core.feed(events.AttemptEnded("q", 0, AttemptStatus.CANCELLED))
    core.acknowledge_releases(most=1)
    core.feed(events.ReservationEnded("q", 0, ReservationOutcome.UNANSWERED), 300 * MS)
    assert core.acknowledge_releases() and not core.state.requests


def test_a_stream_ends_with_its_client(core):
    core.submit()
    core.finish_prefill()
    core.feed(events.ResponseStarted("q", 1))
    core.feed(events.ClientDisconnected("q"), MS)
    assert core.effects_of(effects.AbortAttempt) == [effects.AbortAttempt("q", 1)]


def test_the_deadline_runs_no_more_once_the_answer_began(core):
    core.submit()
    deadline = core.deadline_timer()
    core.finish_prefill()
    core.feed(events.ResponseStarted("q", 1))
    assert core.feed(events.TimerFired(deadline.timer), 9 * SECOND) == []


@pytest.mark.parametrize(("cls", "answer"), [("safe", effects.SendRejection), ("once", effects.SendFailure)])
def test_a_deadline_that_passes_at_the_writer_ends_the_request_once(core, cls, answer):
    core.submit(cls=cls)
    deadline = core.deadline_timer()
    core.finish_prefill()
    core.feed(events.TimerFired(deadline.timer), 4 * SECOND)
    first = core.effects_of(effects.AbortAttempt)
    assert first == [effects.AbortAttempt("q", 1)] and len(core.effects_of(effects.SendFailure)) == 1
    core.feed(events.AttemptEnded("q", 1, AttemptStatus.CANCELLED), MS)
    assert not core.effects_of(answer) and core.acknowledge_releases() and not core.state.requests


def test_a_timer_of_an_earlier_request_with_the_same_id_does_nothing(core):
    core.submit()
    timers = [each.timer for each in core.effects_of(effects.ScheduleTimer)]
    core.feed(events.ReservationEnded("q", 0, ReservationOutcome.UNANSWERED))
    core.feed(events.ClientDisconnected("q"))
    core.feed(events.AttemptEnded("q", 0, AttemptStatus.CANCELLED))
    core.acknowledge_releases()
    core.submit(after=SECOND)
    core.now += 3 * SECOND
    for timer in timers:
        assert not [
            each
            for each in core.feed(events.TimerFired(timer))
            if not isinstance(each, effects.ScheduleTimer)
        ]
    core.feed(events.ReservationEnded("q", 0, ReservationOutcome.UNANSWERED))
    assert core.finish_prefill(holds=0).request_id == "q", "the module still knows the request"


def test_ids_that_may_have_run_clash_and_those_that_never_ran_do_not(core):
    core.submit("a", "once", idempotency_key="id")
    core.submit("b", "once", idempotency_key="id")
    assert core.effects_of(effects.SendFailure)[0].id_conflict and not core.effects_of(effects.OpenAttempt), (
        "it is running"
    )
    core.feed(events.ClientDisconnected("a"))
    core.feed(events.ReservationEnded("a", 0, ReservationOutcome.UNANSWERED))
    core.feed(events.AttemptEnded("a", 0, AttemptStatus.CANCELLED))
    core.submit("c", "once", idempotency_key="id")
    assert core.effects_of(effects.OpenAttempt), "a read has no effect: it never ran"
    core.finish_prefill("c")
    core.feed(events.ClientDisconnected("c"))
    core.feed(events.AttemptEnded("c", 1, AttemptStatus.CANCELLED))
    core.submit("d", "once", idempotency_key="id")
    assert core.effects_of(effects.SendFailure)[0].id_conflict, "a cancelled write may have run"
    core.now += timedelta(minutes=11)
    core.submit("e", "once", idempotency_key="id")
    assert core.effects_of(effects.OpenAttempt)


def test_the_ledger_is_bounded_and_refuses_rather_than_forgets():
    ledger = IdempotencyRegistry(2, SECOND)
    ledger.start("a")
    ledger.start("b")
    assert ledger.full
    ledger.end("a", timedelta(), True)
    assert ledger.full and ledger.clashes("a", SECOND)
    assert not ledger.clashes("a", 3 * SECOND) and not ledger.full


def test_a_whole_list_removes_and_changes_add(core):
    core.feed(
        events.EndpointListReceived(
            (endpoint("w2", "writer", EndpointStatus.REMOVED), endpoint("w3", "writer")), False
        )
    )
    assert sorted(e.name for e in core.state.endpoints.values()) == ["r", "w", "w3"]
    core.feed(events.EndpointListReceived((endpoint("r", "reader"), endpoint("odd", "unheard")), True))
    assert [e.name for e in core.state.endpoints.values()] == ["r"]


def test_two_names_never_share_a_number(core, monkeypatch):
    monkeypatch.setattr("llm_router.lifecycle.state.crc32", lambda data: 7)
    assert {core.state.number(name) for name in ("a", "b", "c")} == {7, 8, 9}


def test_spans_cross_the_border_and_timers_never_fire_early():
    assert to_ns(to_span(1_500_000)) == 1_500_000 and to_span(1) == timedelta(microseconds=1)


def test_endpoints_that_are_gone_leave_nothing_behind():
    core = ReducerHarness()
    for number in range(50):
        core.feed(events.EndpointListReceived((endpoint(f"new{number}", "writer"),), False))
        core.feed(
            events.EndpointListReceived((endpoint(f"new{number}", "writer", EndpointStatus.REMOVED),), False)
        )
    core.feed(events.EndpointListReceived((), False))
    assert len(core.state.numbers) == len(core.state.endpoints) == len(core.state.policy.endpoints) == 3
    before = core.state.number("r")
    core.feed(events.EndpointListReceived((endpoint("r", "reader", EndpointStatus.REMOVED),), False))
    core.feed(events.EndpointListReceived((endpoint("r", "reader"),), False))
    assert core.state.number("r") == before


def test_one_line_an_interval_tells_what_was_met_at_each_stage():
    core = ReducerHarness()
    core.submit()
    core.finish_prefill()
    core.feed(events.ResponseStarted("q", 1), 30 * MS)
    assert not [say for say in core.effects_of(effects.LogEvent) if say.name == "interval_metrics"]
    core.feed(events.AttemptEnded("q", 1, AttemptStatus.OK), 6 * SECOND)
    (line,) = core.effects_of(effects.LogEvent)
    facts = line.fields
    assert (line.name, facts["received"], facts["prefill_prefilled"], facts["decode_ok"]) == (
        "interval_metrics",
        1,
        1,
        1,
    )
    assert (facts["prefill_prefilled_ms"], facts["first_token_ms"], facts["first_token_max_ms"]) == (
        10,
        30,
        30,
    )
    core.submit("next", after=SECOND)
    assert not core.effects_of(effects.LogEvent), "the next line comes an interval later"


def test_the_line_tells_first_tokens_of_unread_prompts_from_those_after_a_read():
    core = ReducerHarness()
    writer = core.state.number("w")
    core.state.policy.handle = lambda now, event: (
        [routing_actions.StartAttempt("q", writer)] * (type(event) is routing_events.RequestReceived)
    )
    core.submit()
    core.feed(events.ResponseStarted("q", 0), 30 * MS)
    assert dict(core.state.metrics.counts) == {"received": 1, "first_token_append_prefill": 1}


def test_a_probe_goes_to_its_endpoint_and_its_report_to_the_module():
    core = ReducerHarness()
    seen, handle = [], core.state.policy.handle
    number = core.state.number("r")

    def decide(now, event):
        seen.append(event)
        return (
            [routing_actions.ProbeLoad(number), routing_actions.ProbeLoad(7)]
            if isinstance(event, routing_events.TimerFired)
            else handle(now, event)
        )

    core.state.policy.handle = decide
    core.feed(events.TimerFired(1))
    assert [(each.endpoint_id, each.endpoint.name) for each in core.effects_of(effects.FetchLoadReport)] == [
        (number, "r")
    ]
    core.feed(
        events.LoadReportReceived(number, AttemptStatus.OK, 3 * MS, LoadReport(queued_prompt_tokens=2500.0))
    )
    assert seen[-1] == routing_events.LoadProbeEnded(
        number, AttemptStatus.OK, 3_000_000, LoadReport(queued_prompt_tokens=2500.0)
    )
