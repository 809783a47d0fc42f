"""Tests of the reducer without sockets; the tests pass in the time."""

from dataclasses import replace
from datetime import timedelta

import pytest
from reducer_harness import MILLISECOND, SECOND, SETTINGS, endpoint, router_state

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.endpoint_numbering import EndpointNumbering
from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.idempotency_registry import IdempotencyRegistry
from llm_router.lifecycle.release_order import release_order
from llm_router.lifecycle.units import to_nanoseconds, to_timedelta
from llm_router.routing import actions as routing_actions
from llm_router.routing import events as routing_events
from llm_router.routing.events import AttemptStatus, EndpointStatus, LoadReport


def test_a_request_is_prefilled_with_a_reservation_and_then_decoded_there(lifecycle):
    lifecycle.submit()
    (opened,), (reserve,) = lifecycle.effects_of(effects.OpenAttempt), lifecycle.effects_of(effects.Reserve)
    assert opened.endpoint.name == "r" and opened.is_prefill
    assert opened.deadline == lifecycle.now + 4 * SECOND
    lifecycle.feed(events.ReservationEnded("q", 0, ReservationOutcome.RESERVED), MILLISECOND)
    assert lifecycle.finish_prefill(unanswered_reservations=0).endpoint.name == reserve.endpoint.name
    lifecycle.feed(events.ResponseStarted("q", 1), MILLISECOND)
    lifecycle.feed(events.AttemptEnded("q", 1, AttemptStatus.OK), SECOND)
    assert not lifecycle.effects_of(effects.Release), "the start of the response has freed the resources"
    assert not lifecycle.state.requests and lifecycle.state.is_idle


def test_a_reservation_of_unknown_outcome_is_not_reported_to_the_policy(lifecycle):
    lifecycle.submit()
    unanswered = events.ReservationEnded("q", 0, ReservationOutcome.UNANSWERED)
    assert lifecycle.feed(unanswered, MILLISECOND) == []
    lifecycle.submit("p")
    lifecycle.feed(events.ReservationEnded("p", 0, ReservationOutcome.REJECTED), MILLISECOND)
    assert lifecycle.effects_of(effects.Reserve), "after a rejection the next decode endpoint is tried"


def test_a_client_that_disconnects_during_the_prefill_has_it_aborted_and_then_released(lifecycle):
    lifecycle.submit()
    lifecycle.feed(events.ReservationEnded("q", 0, ReservationOutcome.RESERVED))
    lifecycle.feed(events.ClientDisconnected("q"), MILLISECOND)
    assert lifecycle.effects_of(effects.AbortAttempt) == [effects.AbortAttempt("q", 0)]
    assert not lifecycle.effects_of(effects.Release)
    lifecycle.feed(events.AttemptEnded("q", 0, AttemptStatus.CANCELLED), MILLISECOND)
    assert not lifecycle.effects_of(effects.Release), "an aborted prefill may leave KV state later"
    ended_at = lifecycle.now
    assert lifecycle.next_release() and ended_at < lifecycle.now < ended_at + 50 * MILLISECOND
    assert lifecycle.state.requests, "the request stays until a release is acknowledged"
    assert lifecycle.acknowledge_releases() == 2, (
        "the second release frees KV state that came after the first"
    )
    assert not lifecycle.state.requests


def test_release_calls_alternate_between_zones_for_a_request_in_one_zone(lifecycle):
    own, other = "own", "other"
    lifecycle.state = router_state(replace(SETTINGS, zone=own))
    involved = [("r", "prefill", other), ("w", "decode", other), ("w2", "decode", other)]
    zones = [other] * 20 + [own] * 20
    listed = [*involved, *((f"s{n}", "decode", zone) for n, zone in enumerate(zones))]
    entries = tuple(replace(endpoint(name, kind), zone=zone) for name, kind, zone in listed)
    lifecycle.feed(events.EndpointListReceived(entries, True))
    second_names = set()
    for request_id in ("q", "q2", "q3"):
        lifecycle.submit(request_id)
        lifecycle.feed(events.ClientDisconnected(request_id))
        lifecycle.feed(events.ReservationEnded(request_id, 0, ReservationOutcome.UNANSWERED))
        lifecycle.feed(events.AttemptEnded(request_id, 0, AttemptStatus.CANCELLED), 10 * MILLISECOND)
        (release,) = lifecycle.next_release()
        order = release_order(lifecycle.state, lifecycle.state.requests[request_id])
        assert release.endpoint == order[0], "the first endpoint of the order is called first"
        assert order[0].name == "r", "the prefill endpoint that may hold the KV state"
        assert [each.zone for each in order[:6]] == [other, own] * 3, (
            "a reachable endpoint is called soon if one zone is partitioned"
        )
        assert len(order) == len(set(order)) == len(listed)
        second_names.add(order[1].name)
    assert len(second_names) > 1, "requests differ in the endpoint that is called second"


def test_a_reservation_call_that_ends_after_its_request_causes_a_release(lifecycle):
    lifecycle.submit()
    lifecycle.feed(events.ClientDisconnected("q"))
    lifecycle.feed(events.AttemptEnded("q", 0, AttemptStatus.CANCELLED))
    lifecycle.acknowledge_releases(limit=1)
    lifecycle.feed(events.ReservationEnded("q", 0, ReservationOutcome.UNANSWERED), 300 * MILLISECOND)
    assert lifecycle.acknowledge_releases() and not lifecycle.state.requests


def test_a_response_is_aborted_when_its_client_disconnects(lifecycle):
    lifecycle.submit()
    lifecycle.finish_prefill()
    lifecycle.feed(events.ResponseStarted("q", 1))
    lifecycle.feed(events.ClientDisconnected("q"), MILLISECOND)
    assert lifecycle.effects_of(effects.AbortAttempt) == [effects.AbortAttempt("q", 1)]


def test_the_deadline_does_not_apply_after_the_response_has_started(lifecycle):
    lifecycle.submit()
    deadline = lifecycle.deadline_timer()
    lifecycle.finish_prefill()
    lifecycle.feed(events.ResponseStarted("q", 1))
    assert lifecycle.feed(events.TimerFired(deadline.timer), 9 * SECOND) == []


@pytest.mark.parametrize(
    ("class_name", "answer"), [("safe", effects.SendRejection), ("once", effects.SendFailure)]
)
def test_a_deadline_that_passes_during_decode_ends_the_request_once(lifecycle, class_name, answer):
    lifecycle.submit(class_name=class_name)
    deadline = lifecycle.deadline_timer()
    lifecycle.finish_prefill()
    lifecycle.feed(events.TimerFired(deadline.timer), 4 * SECOND)
    assert lifecycle.effects_of(effects.AbortAttempt) == [effects.AbortAttempt("q", 1)]
    assert len(lifecycle.effects_of(effects.SendFailure)) == 1
    lifecycle.feed(events.AttemptEnded("q", 1, AttemptStatus.CANCELLED), MILLISECOND)
    assert not lifecycle.effects_of(answer)
    assert lifecycle.acknowledge_releases() and not lifecycle.state.requests


def test_a_timer_of_an_earlier_request_with_the_same_id_does_nothing(lifecycle):
    lifecycle.submit()
    timers = [each.timer for each in lifecycle.effects_of(effects.ScheduleTimer)]
    lifecycle.feed(events.ReservationEnded("q", 0, ReservationOutcome.UNANSWERED))
    lifecycle.feed(events.ClientDisconnected("q"))
    lifecycle.feed(events.AttemptEnded("q", 0, AttemptStatus.CANCELLED))
    lifecycle.acknowledge_releases()
    lifecycle.submit(after=SECOND)
    lifecycle.now += 3 * SECOND
    for timer in timers:
        caused = lifecycle.feed(events.TimerFired(timer))
        assert not [each for each in caused if not isinstance(each, effects.ScheduleTimer)]
    lifecycle.feed(events.ReservationEnded("q", 0, ReservationOutcome.UNANSWERED))
    opened = lifecycle.finish_prefill(unanswered_reservations=0)
    assert opened.request_id == "q", "the policy still has the new request"


def test_idempotency_keys_conflict_if_the_request_may_have_run(lifecycle):
    lifecycle.submit("a", "once", idempotency_key="id")
    lifecycle.submit("b", "once", idempotency_key="id")
    assert lifecycle.effects_of(effects.SendFailure)[0].id_conflict, "a request with this key is running"
    assert not lifecycle.effects_of(effects.OpenAttempt)
    lifecycle.feed(events.ClientDisconnected("a"))
    lifecycle.feed(events.ReservationEnded("a", 0, ReservationOutcome.UNANSWERED))
    lifecycle.feed(events.AttemptEnded("a", 0, AttemptStatus.CANCELLED))
    lifecycle.submit("c", "once", idempotency_key="id")
    assert lifecycle.effects_of(effects.OpenAttempt), "a request that only had a prefill counts as not run"
    lifecycle.finish_prefill("c")
    lifecycle.feed(events.ClientDisconnected("c"))
    lifecycle.feed(events.AttemptEnded("c", 1, AttemptStatus.CANCELLED))
    lifecycle.submit("d", "once", idempotency_key="id")
    assert lifecycle.effects_of(effects.SendFailure)[0].id_conflict, "a cancelled decode attempt may have run"
    lifecycle.now += timedelta(minutes=11)
    lifecycle.submit("e", "once", idempotency_key="id")
    assert lifecycle.effects_of(effects.OpenAttempt)


def test_a_full_idempotency_registry_drops_no_key():
    registry = IdempotencyRegistry(2, SECOND)
    registry.start("a")
    registry.start("b")
    assert registry.is_full
    registry.end("a", timedelta(), True)
    assert registry.is_full and registry.conflicts("a", SECOND)
    assert not registry.conflicts("a", 3 * SECOND) and not registry.is_full


def test_a_registry_that_forgets_keys_keeps_the_running_and_the_latest_ones():
    registry = IdempotencyRegistry(3, SECOND, forgets_oldest=True)
    for key in ("a", "b", "c"):
        registry.start(key)
    registry.end("a", timedelta(), True)
    registry.end("b", timedelta(), True)
    assert not registry.is_full
    registry.start("d")
    assert [registry.conflicts(key, timedelta()) for key in "abcd"] == [False, True, True, True]


def test_a_full_snapshot_removes_endpoints_and_changes_add_them(lifecycle):
    changes = endpoint("w2", "decode", EndpointStatus.REMOVED), endpoint("w3", "decode")
    lifecycle.feed(events.EndpointListReceived(changes, False))
    assert sorted(each.name for each in lifecycle.state.endpoints.values()) == ["r", "w", "w3"]
    snapshot = endpoint("r", "prefill"), endpoint("other", "unknown kind")
    lifecycle.feed(events.EndpointListReceived(snapshot, True))
    assert [each.name for each in lifecycle.state.endpoints.values()] == ["r"]


def test_two_names_never_share_a_number(monkeypatch):
    monkeypatch.setattr("llm_router.lifecycle.endpoint_numbering.crc32", lambda _data: 7)
    numbering = EndpointNumbering()
    assert {numbering.assign(name) for name in ("a", "b", "c")} == {7, 8, 9}


def test_units_convert_both_ways_and_timers_never_fire_early():
    assert to_nanoseconds(to_timedelta(1_500_000)) == 1_500_000
    assert to_timedelta(1) == timedelta(microseconds=1)


def test_removed_endpoints_use_no_memory_and_numbers_stay_the_same(lifecycle):
    for number in range(50):
        added = endpoint(f"new{number}", "decode")
        lifecycle.feed(events.EndpointListReceived((added,), False))
        removed = replace(added, status=EndpointStatus.REMOVED)
        lifecycle.feed(events.EndpointListReceived((removed,), False))
    lifecycle.feed(events.EndpointListReceived((), False))
    state = lifecycle.state
    assert len(state.numbers) == len(state.endpoints) == len(state.policy.endpoints) == 3
    before = state.numbers["r"]
    removed = endpoint("r", "prefill", EndpointStatus.REMOVED)
    lifecycle.feed(events.EndpointListReceived((removed,), False))
    lifecycle.feed(events.EndpointListReceived((endpoint("r", "prefill"),), False))
    assert state.numbers["r"] == before


def test_one_log_event_per_interval_reports_counts_and_durations(lifecycle):
    lifecycle.submit()
    lifecycle.finish_prefill()
    lifecycle.feed(events.ResponseStarted("q", 1), 30 * MILLISECOND)
    assert not lifecycle.log_events("interval_metrics")
    lifecycle.feed(events.AttemptEnded("q", 1, AttemptStatus.OK), 6 * SECOND)
    (line,) = lifecycle.effects_of(effects.LogEvent)
    expected = {
        "received": 1,
        "prefill_prefilled": 1,
        "decode_ok": 1,
        "prefill_prefilled_ms": 10,
        "first_token_ms": 30,
        "first_token_max_ms": 30,
    }
    assert line.name == "interval_metrics"
    assert {name: line.fields[name] for name in expected} == expected
    lifecycle.submit("next", after=SECOND)
    assert not lifecycle.effects_of(effects.LogEvent), "the next log event comes one interval later"


def test_first_tokens_after_an_append_prefill_have_their_own_metric(lifecycle):
    decode = lifecycle.state.numbers["w"]
    lifecycle.state.policy.handle = lambda _now, event: (
        [routing_actions.StartAttempt("q", decode)] * isinstance(event, routing_events.RequestReceived)
    )
    lifecycle.submit()
    lifecycle.feed(events.ResponseStarted("q", 0), 30 * MILLISECOND)
    assert dict(lifecycle.state.metrics.counts) == {"received": 1, "first_token_append_prefill": 1}


def test_a_load_probe_goes_to_its_endpoint_and_its_report_to_the_policy(lifecycle):
    seen, handle = [], lifecycle.state.policy.handle
    number = lifecycle.state.numbers["r"]

    def handle_and_probe(now, event):
        seen.append(event)
        if isinstance(event, routing_events.TimerFired):
            return [routing_actions.ProbeLoad(number), routing_actions.ProbeLoad(7)]
        return handle(now, event)

    lifecycle.state.policy.handle = handle_and_probe
    lifecycle.feed(events.TimerFired(1))
    fetched = lifecycle.effects_of(effects.FetchLoadReport)
    assert [(each.endpoint_id, each.endpoint.name) for each in fetched] == [(number, "r")]
    report = LoadReport(queued_prompt_tokens=2500.0)
    lifecycle.feed(events.LoadReportReceived(number, AttemptStatus.OK, 3 * MILLISECOND, report))
    assert seen[-1] == routing_events.LoadProbeEnded(number, AttemptStatus.OK, 3_000_000, report)
