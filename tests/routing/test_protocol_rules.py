"""The five rules of the protocol, each checked by tests that fail if the code for the rule is removed."""

import pytest
from policy_harness import DECODE_A, DECODE_B, FLEET, MS, PREFILL_A, PREFILL_B, PolicyHarness, S, entry

from llm_router.routing import actions, events
from llm_router.routing.events import AttemptStatus, EndpointStatus
from llm_router.routing.settings import ClassSettings, DeduplicationScope, Idempotency, KindSettings, Role

NEVER_RAN = (AttemptStatus.OVERLOADED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)
MAY_HAVE_RUN = (AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED)


def decoding_request(idempotency, **changes):
    harness = PolicyHarness(idempotency=idempotency, **changes)
    harness.submit()
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    return harness, harness.attempted_endpoints()[0]


# --- Each request gets exactly one final answer.


def test_deadline_ends_a_request_with_an_open_attempt():
    harness = PolicyHarness(idempotency=Idempotency.NONE)
    harness.submit()
    ends = [
        a
        for a in harness.run_timers(harness.now + 4 * S)
        if isinstance(a, actions.RejectRequest | actions.FailRequest)
    ]
    assert ends == [actions.FailRequest("r")]


def test_deadline_ends_a_request_without_attempts_in_time():
    # All endpoints are in slow start.
    harness = PolicyHarness(fleet=[entry(s.endpoint_id, s.kind, s.cell, started_at=999 * S) for s in FLEET])
    for endpoint in harness.policy.endpoints.values():
        endpoint.next_slow_start_send = harness.now + 9 * S
    start = harness.now
    harness.submit(time_remaining=500 * MS)
    assert harness.attempted_endpoints() == [] and harness.final_answers() == []
    harness.run_timers(start + 500 * MS - 2 * MS)
    assert harness.final_answers() == [actions.RejectRequest]


def test_request_has_one_final_answer_and_no_attempt_after_it():
    harness = PolicyHarness()
    harness.submit()
    prefill_endpoint = harness.attempted_endpoints()[0]
    harness.run_timers(harness.now + 4 * S)
    assert len(harness.final_answers()) == 1
    harness.end_attempt(AttemptStatus.CANCELLED, prefill_endpoint)
    assert harness.attempted_endpoints() == [] and harness.final_answers() == []
    assert harness.actions_of(actions.Release)


def test_closed_request_gets_no_other_final_answer(harness):
    harness.serve()
    assert harness.final_answers() == []
    harness.run_timers(harness.now + 10 * S)
    assert harness.final_answers() == []


def test_started_stream_has_no_deadline():
    harness, decode_endpoint = decoding_request(Idempotency.NONE)
    harness.first_token(decode_endpoint)
    harness.run_timers(harness.now + 20 * S)
    assert harness.final_answers() == [] and harness.actions_of(actions.CancelAttempt) == []


def test_disconnect_after_the_final_answer_has_no_effect(harness):
    harness.submit()
    harness.run_timers(harness.now + 4 * S)
    harness.handle(events.ClientDisconnected("r"))
    assert harness.final_answers() == [] and harness.attempted_endpoints() == []


def test_disconnect_during_the_prefill_releases_its_kv_state(harness):
    harness.submit()
    prefill_endpoint = harness.attempted_endpoints()[0]
    harness.handle(events.ClientDisconnected("r"))
    assert harness.final_answers() == []
    harness.end_attempt(AttemptStatus.PREFILLED, prefill_endpoint)
    assert harness.attempted_endpoints() == [] and harness.actions_of(actions.Release) == [
        actions.Release("r")
    ]


# --- No request takes effect twice.


@pytest.mark.parametrize("status", NEVER_RAN)
@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_attempt_that_never_ran_is_retried_elsewhere(idempotency, status):
    harness, decode_endpoint = decoding_request(idempotency)
    harness.end_attempt(status, decode_endpoint, attempt=1)
    assert len(harness.attempted_endpoints()) == 1 and harness.final_answers() == []


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_non_idempotent_request_that_may_have_run_fails(status):
    harness, decode_endpoint = decoding_request(Idempotency.NONE)
    harness.end_attempt(status, decode_endpoint, attempt=1)
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.FailRequest]


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_idempotent_request_that_may_have_run_is_retried(status):
    harness, decode_endpoint = decoding_request(Idempotency.SAFE)
    harness.end_attempt(status, decode_endpoint, attempt=1)
    assert len(harness.attempted_endpoints()) == 1


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_failed_prefill_is_always_retried(idempotency, status):
    harness = PolicyHarness(idempotency=idempotency)
    harness.submit()
    harness.end_attempt(status, harness.attempted_endpoints()[0])
    assert len(harness.attempted_endpoints()) == 1


def decoding_request_with_key(scope, window=5 * S):
    cls = ClassSettings(
        "c", S, 4 * S, Idempotency.KEYED, deduplication_scope=scope, deduplication_window=window
    )
    fleet = FLEET + (entry(23, "decode", 0), entry(24, "decode", 1))
    harness = PolicyHarness(fleet=fleet, classes=(cls,))
    harness.submit()
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    return harness, harness.attempted_endpoints()[0]


def test_request_with_key_is_retried_within_its_deduplication_scope():
    harness, decode_endpoint = decoding_request_with_key(DeduplicationScope.CELL)
    harness.end_attempt(AttemptStatus.ERROR, decode_endpoint, attempt=1)
    cells = {DECODE_A: 0, 23: 0, DECODE_B: 1, 24: 1}
    assert [cells[s] for s in harness.attempted_endpoints()] == [cells[decode_endpoint]]


def test_request_with_key_is_not_retried_after_the_deduplication_window():
    harness, decode_endpoint = decoding_request_with_key(DeduplicationScope.ALL, window=100 * MS)
    harness.end_attempt(AttemptStatus.ERROR, decode_endpoint, attempt=1, after=200 * MS)
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]


def test_request_with_key_of_narrow_scope_fails_once_it_may_have_run():
    harness, decode_endpoint = decoding_request_with_key(DeduplicationScope.CELL, window=100 * MS)
    harness.end_attempt(AttemptStatus.ERROR, decode_endpoint, attempt=1, after=200 * MS)
    assert harness.final_answers() == [actions.FailRequest]


def test_max_attempts_limits_the_attempts():
    harness = PolicyHarness(max_attempts=2)
    harness.submit()
    harness.end_attempt(AttemptStatus.RESET, harness.attempted_endpoints()[0])
    harness.end_attempt(AttemptStatus.RESET, harness.attempted_endpoints()[0], attempt=1)
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]


# --- A draining or removed endpoint gets no attempt.


@pytest.mark.parametrize("status", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
def test_draining_or_removed_endpoint_gets_no_attempt(status):
    harness = PolicyHarness()
    entries = entry(PREFILL_A, "prefill", 0, status), entry(DECODE_A, "decode", 0, status)
    harness.handle(events.EndpointListUpdate(entries, is_full=False))
    for number in range(6):
        harness.submit(f"r{number}")
        assert harness.attempted_endpoints() == [PREFILL_B]
        harness.end_attempt(AttemptStatus.PREFILLED, PREFILL_B, f"r{number}")
        assert harness.attempted_endpoints() == [DECODE_B]


def test_endpoint_missing_from_a_full_snapshot_is_removed():
    harness = PolicyHarness()
    harness.handle(events.EndpointListUpdate((FLEET[1], FLEET[2]), is_full=True))
    harness.submit()
    assert harness.attempted_endpoints() == [PREFILL_B]


def test_draining_decode_endpoints_get_no_prefilled_request():
    harness = PolicyHarness()
    harness.submit()
    prefill_endpoint = harness.attempted_endpoints()[0]
    draining = tuple(
        entry(s, "decode", c, EndpointStatus.DRAINING) for s, c in ((DECODE_A, 0), (DECODE_B, 1))
    )
    harness.handle(events.EndpointListUpdate(draining, is_full=False))
    harness.end_attempt(AttemptStatus.PREFILLED, prefill_endpoint)
    assert harness.attempted_endpoints() == []


# --- No endpoint is overloaded during slow start.


@pytest.mark.parametrize("routers", [1, 2, 4])
def test_endpoint_in_slow_start_stays_within_its_overload_limit(routers):
    """Check the attempts of all router instances together at a decode endpoint in slow start."""
    harnesses = [PolicyHarness(seed=seed, router_count=routers) for seed in range(routers)]
    sends = []
    for harness in harnesses:
        for number in range(400):
            if number == 100:
                harness.handle(
                    events.EndpointListUpdate(
                        (entry(DECODE_B, "decode", 1, started_at=harness.now),), is_full=False
                    )
                )
                started_at = harness.now
            name = f"r{number}"
            harness.submit(name, after=100 * MS)
            harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0], name)
            decode_endpoint = harness.attempted_endpoints()[0]
            if decode_endpoint == DECODE_B and number >= 100 and harness.now < started_at + 10 * S:
                sends.append(harness.now)
            harness.first_token(decode_endpoint, name)
            harness.end_attempt(
                AttemptStatus.OK, decode_endpoint, name, 1, after=10 * MS, request_closed=True
            )
    mean = routers * 10 / 1.3 / 2  # attempts per second at the other decode endpoint
    allowed = 2.5 * 0.3 * mean
    worst = max((sum(at <= other < at + S for other in sends) for at in sends), default=0)
    assert sends and worst <= max(routers, allowed)


def test_router_without_history_starts_slowly():
    fleet = (FLEET[0], entry(DECODE_A, "decode", 0, started_at=1000 * S))
    harness = PolicyHarness(fleet=fleet)
    for number in range(5):
        harness.submit(f"r{number}")
        harness.end_attempt(AttemptStatus.PREFILLED, PREFILL_A, f"r{number}", after=MS)
    assert len(harness.policy.endpoints[DECODE_A].open_attempts) <= 1


# --- All KV state is released in time.


def test_kv_state_without_decode_endpoint_is_released_in_time():
    harness = PolicyHarness(append_prefill=False)
    harness.submit()
    for decode_endpoint in (DECODE_A, DECODE_B):
        # The ejection ends before the request would be late.
        harness.policy.endpoints[decode_endpoint].ejected_until = harness.now + 700 * MS
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    assert harness.attempted_endpoints() == [] and harness.final_answers() == []
    start = harness.now
    released = []
    while harness.now < start + 500 * MS:
        released += [
            harness.now for a in harness.run_timers(harness.now + 10 * MS) if isinstance(a, actions.Release)
        ]
    assert released and released[0] <= start + 500 * MS


@pytest.mark.parametrize("status", [AttemptStatus.OVERLOADED, *MAY_HAVE_RUN])
def test_final_answer_after_a_prefill_releases_its_kv_state(status):
    harness, decode_endpoint = decoding_request(Idempotency.NONE, max_attempts=2)
    harness.end_attempt(status, decode_endpoint, attempt=1)
    assert len(harness.final_answers()) == 1 and harness.actions_of(actions.Release) == [actions.Release("r")]


def test_served_request_is_forgotten(harness):
    harness.serve()
    assert harness.policy.requests == {}


# --- Invalid input does no harm, and state stays bounded.


def test_events_about_unknown_requests_and_endpoints_have_no_effect(harness):
    harness.serve()
    for event in (
        events.AttemptEnded("r", 1, DECODE_A, AttemptStatus.OK, 5, request_closed=True),
        events.AttemptEnded("x", 0, 999, AttemptStatus.ERROR, 5),
        events.FirstToken("r", 0, PREFILL_A, 5),
        events.ClientDisconnected("x"),
        events.TimerFired(10**9),
        events.ReservationResult("r", 0, DECODE_A, True),
        events.LoadProbeEnded(DECODE_A, AttemptStatus.OK, 5),
        events.GossipReceived(3, b"x"),
        events.RequestReceived("y", "no such class", 1, 1, S),
        events.EndpointListUpdate((entry(77, "no such kind"),), is_full=False),
        events.EndpointListUpdate(None, is_full=False),
    ):
        assert [a for a in harness.handle(event) if not isinstance(a, actions.SetTimer)] == []


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"kinds": (KindSettings("prefill", Role.PREFILL),)}, "family_info.duty_by_kind"),
        ({"classes": ()}, "lanes"),
        ({"router_count": 0}, "balancers"),
        ({"slow_start_share": 0.0}, "rules.cold_share"),
        ({"max_attempts": 0}, "allowed.attempts_cap"),
        ({"release_timeout": -1}, "family_info.release_within"),
        ({"classes": (ClassSettings("c", -1, 1, Idempotency.SAFE),)}, "lanes c: target"),
    ],
)
def test_invalid_settings_are_named(change, name):
    with pytest.raises(ValueError, match=name):
        PolicyHarness(**change)


def test_many_routers_neither_overload_nor_starve_an_endpoint_in_slow_start():
    fleet = tuple(entry(100 + n, "prefill") for n in range(4)) + FLEET[2:]
    harnesses = [PolicyHarness(fleet=fleet, seed=seed) for seed in range(60)]
    start = harnesses[0].now
    moments = sorted((start + (number * 7919 % 1000) * 20 * MS, number) for number in range(1200))
    sends = {endpoint: [] for endpoint in range(100, 104)}
    for moment, number in moments:
        harness = harnesses[number % 60]
        if moment >= start + 8 * S and not harness.policy.endpoints[100].entry.started_at:
            harness.now = start + 8 * S
            harness.handle(
                events.EndpointListUpdate((entry(100, "prefill", started_at=start + 8 * S),), is_full=False)
            )
        harness.now = moment
        harness.submit(f"r{number}")
        for endpoint in harness.attempted_endpoints():
            sends[endpoint].append(moment)
            harness.end_attempt(AttemptStatus.PREFILLED, endpoint, f"r{number}", after=0)
            harness.disconnect(f"r{number}")
    usual = sum(len(sends[endpoint]) for endpoint in (101, 102, 103)) / 3 / 20
    starting = [moment for moment in sends[100] if start + 8 * S <= moment < start + 18 * S]
    worst = max(sum(begin <= moment < begin + S for moment in starting) for begin in starting)
    assert worst < 0.3 * 2.5 * usual  # The limit holds even if the other endpoints run at capacity.
    assert len(starting) > 0.05 * usual * 10


def test_cached_prefixes_of_an_endpoint_are_bounded(harness):
    prefill_endpoint = harness.policy.endpoints[PREFILL_A]
    for number in range(3000):
        harness.serve(f"r{number}", prefix=f"p{number}", prefix_tokens=1000)
    assert (
        len(prefill_endpoint.cached_prefixes) < 200
        and len(harness.policy.endpoints[PREFILL_B].cached_prefixes) < 200
    )


@pytest.mark.parametrize(
    "status", [AttemptStatus.RESET, AttemptStatus.ERROR, AttemptStatus.CANCELLED, AttemptStatus.TIMEOUT]
)
def test_failed_prefill_is_released_without_reservations(status, harness):
    harness.submit()
    prefill_endpoint = harness.attempted_endpoints()[0]
    assert not harness.actions_of(actions.Reserve)
    harness.end_attempt(status, prefill_endpoint)
    assert harness.actions_of(actions.Release) and not harness.final_answers()


def test_retry_carries_a_write_deadline():
    harness, decode_endpoint = decoding_request_with_key(DeduplicationScope.ALL, window=2 * S)
    sent_at = harness.now
    assert [send.write_deadline for send in harness.actions_of(actions.StartAttempt)] == [None], (
        "the first attempt has a write deadline"
    )
    harness.end_attempt(AttemptStatus.RESET, decode_endpoint, attempt=1)
    assert [send.write_deadline for send in harness.actions_of(actions.StartAttempt)] == [
        sent_at + 2 * S - 2 * MS
    ]
