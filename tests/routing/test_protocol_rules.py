"""The five rules, without the bench: each test fails if the rule's line in the module is taken out."""

import pytest
from policy_harness import FLEET, MS, READER_A, READER_B, WRITER_A, WRITER_B, PolicyHarness, S, entry

from llm_router.routing import actions, events
from llm_router.routing.events import AttemptStatus, EndpointStatus
from llm_router.routing.settings import ClassSettings, DeduplicationScope, Idempotency, KindSettings, Role

PROVEN = (AttemptStatus.OVERLOADED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)
RISKY = (AttemptStatus.ERROR, AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED)


def at_writer(effect, **changes):
    harness = PolicyHarness(idempotency=effect, **changes)
    harness.submit()
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    return harness, harness.attempted_endpoints()[0]


# --- no request lost


def test_a_deadline_with_an_attempt_out_ends_the_request():
    harness = PolicyHarness(idempotency=Idempotency.NONE)
    harness.submit()
    ends = [
        a
        for a in harness.run_timers(harness.now + 4 * S)
        if isinstance(a, actions.RejectRequest | actions.FailRequest)
    ]
    assert ends == [actions.FailRequest("r")]


def test_a_deadline_with_none_out_ends_the_request_in_time():
    harness = PolicyHarness(
        fleet=[entry(s.endpoint_id, s.kind, s.cell, born=999 * S) for s in FLEET]
    )  # all cold
    for server in harness.router.servers.values():
        server.next_cold = harness.now + 9 * S
    start = harness.now
    harness.submit(time_remaining=500 * MS)
    assert harness.attempted_endpoints() == [] and harness.final_answers() == []
    harness.run_timers(start + 500 * MS - 2 * MS)
    assert harness.final_answers() == [actions.RejectRequest]


def test_exactly_one_end_and_nothing_sent_after_it():
    harness = PolicyHarness()
    harness.submit()
    reader = harness.attempted_endpoints()[0]
    harness.run_timers(harness.now + 4 * S)
    assert len(harness.final_answers()) == 1
    harness.end_attempt(AttemptStatus.CANCELLED, reader)
    assert harness.attempted_endpoints() == [] and harness.final_answers() == []
    assert harness.actions_of(actions.Release)


def test_an_outcome_that_closes_is_the_only_end(harness):
    harness.serve()
    assert harness.final_answers() == []
    harness.run_timers(harness.now + 10 * S)
    assert harness.final_answers() == []


def test_a_started_stream_has_no_deadline():
    harness, writer = at_writer(Idempotency.NONE)
    harness.first_token(writer)
    harness.run_timers(harness.now + 20 * S)
    assert harness.final_answers() == [] and harness.actions_of(actions.CancelAttempt) == []


def test_a_client_gone_in_the_same_batch_as_its_end(harness):
    harness.submit()
    harness.run_timers(harness.now + 4 * S)
    harness.handle(events.ClientDisconnected("r"))
    assert harness.final_answers() == [] and harness.attempted_endpoints() == []


def test_a_client_gone_while_a_read_is_out_leaves_nothing_held(harness):
    harness.submit()
    reader = harness.attempted_endpoints()[0]
    harness.handle(events.ClientDisconnected("r"))
    assert harness.final_answers() == []
    harness.end_attempt(AttemptStatus.PREFILLED, reader)
    assert harness.attempted_endpoints() == [] and harness.actions_of(actions.Release) == [
        actions.Release("r")
    ]


# --- no effect twice


@pytest.mark.parametrize("status", PROVEN)
@pytest.mark.parametrize("effect", list(Idempotency))
def test_what_never_ran_goes_to_another_writer(effect, status):
    harness, writer = at_writer(effect)
    harness.end_attempt(status, writer, attempt=1)
    assert len(harness.attempted_endpoints()) == 1 and harness.final_answers() == []


@pytest.mark.parametrize("status", RISKY)
def test_an_unsafe_request_that_may_have_run_only_fails(status):
    harness, writer = at_writer(Idempotency.NONE)
    harness.end_attempt(status, writer, attempt=1)
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.FailRequest]


@pytest.mark.parametrize("status", RISKY)
def test_a_safe_request_that_may_have_run_is_sent_again(status):
    harness, writer = at_writer(Idempotency.SAFE)
    harness.end_attempt(status, writer, attempt=1)
    assert len(harness.attempted_endpoints()) == 1


@pytest.mark.parametrize("status", RISKY)
@pytest.mark.parametrize("effect", list(Idempotency))
def test_a_read_never_has_an_effect(effect, status):
    harness = PolicyHarness(idempotency=effect)
    harness.submit()
    harness.end_attempt(status, harness.attempted_endpoints()[0])
    assert len(harness.attempted_endpoints()) == 1


def keyed(group, window=5 * S):
    cls = ClassSettings(
        "c", S, 4 * S, Idempotency.KEYED, deduplication_scope=group, deduplication_window=window
    )
    fleet = FLEET + (entry(23, "writer", 0), entry(24, "writer", 1))
    harness = PolicyHarness(fleet=fleet, classes=(cls,))
    harness.submit()
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    return harness, harness.attempted_endpoints()[0]


def test_a_keyed_request_stays_in_its_group():
    harness, writer = keyed(DeduplicationScope.CELL)
    harness.end_attempt(AttemptStatus.ERROR, writer, attempt=1)
    cells = {WRITER_A: 0, 23: 0, WRITER_B: 1, 24: 1}
    assert [cells[s] for s in harness.attempted_endpoints()] == [cells[writer]]


def test_a_keyed_request_is_not_sent_after_its_window():
    harness, writer = keyed(DeduplicationScope.ALL, window=100 * MS)
    harness.end_attempt(AttemptStatus.ERROR, writer, attempt=1, after=200 * MS)
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]


def test_a_keyed_request_with_a_narrow_group_is_not_refused_once_it_may_have_run():
    harness, writer = keyed(DeduplicationScope.CELL, window=100 * MS)
    harness.end_attempt(AttemptStatus.ERROR, writer, attempt=1, after=200 * MS)
    assert harness.final_answers() == [actions.FailRequest]


def test_the_attempt_cap_holds():
    harness = PolicyHarness(max_attempts=2)
    harness.submit()
    harness.end_attempt(AttemptStatus.RESET, harness.attempted_endpoints()[0])
    harness.end_attempt(AttemptStatus.RESET, harness.attempted_endpoints()[0], attempt=1)
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]


# --- drains kept


@pytest.mark.parametrize("state", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
def test_nothing_is_sent_to_a_server_told_to_drain(state):
    harness = PolicyHarness()
    told = entry(READER_A, "reader", 0, state), entry(WRITER_A, "writer", 0, state)
    harness.handle(events.EndpointListUpdate(told, is_full=False))
    for number in range(6):
        harness.submit(f"r{number}")
        assert harness.attempted_endpoints() == [READER_B]
        harness.end_attempt(AttemptStatus.PREFILLED, READER_B, f"r{number}")
        assert harness.attempted_endpoints() == [WRITER_B]


def test_a_server_left_out_of_a_whole_list_is_gone():
    harness = PolicyHarness()
    harness.handle(events.EndpointListUpdate((FLEET[1], FLEET[2]), is_full=True))
    harness.submit()
    assert harness.attempted_endpoints() == [READER_B]


def test_a_state_at_a_draining_fleet_waits_for_no_drained_writer():
    harness = PolicyHarness()
    harness.submit()
    reader = harness.attempted_endpoints()[0]
    gone = tuple(entry(s, "writer", c, EndpointStatus.DRAINING) for s, c in ((WRITER_A, 0), (WRITER_B, 1)))
    harness.handle(events.EndpointListUpdate(gone, is_full=False))
    harness.end_attempt(AttemptStatus.PREFILLED, reader)
    assert harness.attempted_endpoints() == []


# --- no cold server pushed over


@pytest.mark.parametrize("routers", [1, 2, 4])
def test_a_cold_server_gets_less_than_it_must_stand(routers):
    """The cold writer's sends stay under its budget in every span, over all routers."""
    desks = [PolicyHarness(seed=seed, router_count=routers) for seed in range(routers)]
    sends = []
    for harness in desks:
        for number in range(400):
            if number == 100:
                harness.handle(
                    events.EndpointListUpdate(
                        (entry(WRITER_B, "writer", 1, born=harness.now),), is_full=False
                    )
                )
                born = harness.now
            name = f"r{number}"
            harness.submit(name, after=100 * MS)
            harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0], name)
            writer = harness.attempted_endpoints()[0]
            if writer == WRITER_B and number >= 100 and harness.now < born + 10 * S:
                sends.append(harness.now)
            harness.first_token(writer, name)
            harness.end_attempt(AttemptStatus.OK, writer, name, 1, after=10 * MS, request_closed=True)
    mean = routers * 10 / 1.3 / 2  # sends a second that a warm writer takes here
    allowed = 2.5 * 0.3 * mean
    worst = max((sum(at <= other < at + S for other in sends) for at in sends), default=0)
    assert sends and worst <= max(routers, allowed)


def test_a_router_without_a_past_starts_low_at_a_cold_server():
    fleet = (FLEET[0], entry(WRITER_A, "writer", 0, born=1000 * S))
    harness = PolicyHarness(fleet=fleet)
    for number in range(5):
        harness.submit(f"r{number}")
        harness.end_attempt(AttemptStatus.PREFILLED, READER_A, f"r{number}", after=MS)
    assert sum(len(s.out) for s in harness.router.servers.values() if s.entry.endpoint_id == WRITER_A) <= 1


# --- nothing left pinned


def test_a_state_with_no_writer_to_take_it_is_released_in_time():
    harness = PolicyHarness(append_prefill=False)
    harness.submit()
    for writer in (WRITER_A, WRITER_B):
        harness.router.servers[writer].ejected_until = harness.now + 700 * MS  # back before it would be late
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    assert harness.attempted_endpoints() == [] and harness.final_answers() == []
    start = harness.now
    released = []
    while harness.now < start + 500 * MS:
        released += [
            harness.now for a in harness.run_timers(harness.now + 10 * MS) if isinstance(a, actions.Release)
        ]
    assert released and released[0] <= start + 500 * MS


@pytest.mark.parametrize("status", [AttemptStatus.OVERLOADED, *RISKY])
def test_an_end_after_a_read_releases_what_is_held(status):
    harness, writer = at_writer(Idempotency.NONE, max_attempts=2)
    harness.end_attempt(status, writer, attempt=1)
    assert len(harness.final_answers()) == 1 and harness.actions_of(actions.Release) == [actions.Release("r")]


def test_a_served_request_holds_nothing(harness):
    harness.serve()
    assert harness.router.jobs == {}


# --- a library that does not break


def test_events_that_speak_of_nothing_known_do_no_harm(harness):
    harness.serve()
    for event in (
        events.AttemptEnded("r", 1, WRITER_A, AttemptStatus.OK, 5, request_closed=True),
        events.AttemptEnded("x", 0, 999, AttemptStatus.ERROR, 5),
        events.FirstToken("r", 0, READER_A, 5),
        events.ClientDisconnected("x"),
        events.TimerFired(10**9),
        events.ReservationResult("r", 0, WRITER_A, True),
        events.LoadProbeEnded(WRITER_A, AttemptStatus.OK, 5),
        events.GossipReceived(3, b"x"),
        events.RequestReceived("y", "no such class", 1, 1, S),
        events.EndpointListUpdate((entry(77, "no such kind"),), is_full=False),
        events.EndpointListUpdate(None, is_full=False),
    ):
        assert [a for a in harness.handle(event) if not isinstance(a, actions.SetTimer)] == []


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"kinds": (KindSettings("reader", Role.PREFILL),)}, "kinds"),
        ({"classes": ()}, "classes"),
        ({"router_count": 0}, "routers"),
        ({"slow_start_share": 0.0}, "cold_share"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"release_timeout": -1}, "release_within"),
        ({"classes": (ClassSettings("c", -1, 1, Idempotency.SAFE),)}, "aim"),
    ],
)
def test_settings_that_cannot_be_are_named(change, name):
    with pytest.raises(ValueError, match=name):
        PolicyHarness(**change)


def test_many_routers_together_neither_push_a_cold_server_over_nor_starve_it():
    fleet = tuple(entry(100 + n, "reader") for n in range(4)) + FLEET[2:]
    desks = [PolicyHarness(fleet=fleet, seed=seed) for seed in range(60)]
    start = desks[0].now
    moments = sorted((start + (number * 7919 % 1000) * 20 * MS, number) for number in range(1200))
    sends = {server: [] for server in range(100, 104)}
    for moment, number in moments:
        harness = desks[number % 60]
        if moment >= start + 8 * S and not harness.router.servers[100].entry.started_at:
            harness.now = start + 8 * S
            harness.handle(
                events.EndpointListUpdate((entry(100, "reader", born=start + 8 * S),), is_full=False)
            )
        harness.now = moment
        harness.submit(f"r{number}")
        for server in harness.attempted_endpoints():
            sends[server].append(moment)
            harness.end_attempt(AttemptStatus.PREFILLED, server, f"r{number}", after=0)
            harness.disconnect(f"r{number}")
    warm = sum(len(sends[server]) for server in (101, 102, 103)) / 3 / 20
    cold = [moment for moment in sends[100] if start + 8 * S <= moment < start + 18 * S]
    worst = max(sum(begin <= moment < begin + S for moment in cold) for begin in cold)
    assert worst < 0.3 * 2.5 * warm  # what it may be sent even where warm ones are at their capacity
    assert len(cold) > 0.05 * warm * 10


def test_what_a_server_read_of_beginnings_is_bounded(harness):
    reader = harness.router.servers[READER_A]
    for number in range(3000):
        harness.serve(f"r{number}", prefix=f"p{number}", prefix_tokens=1000)
    assert len(reader.prefixes) < 200 and len(harness.router.servers[READER_B].prefixes) < 200


@pytest.mark.parametrize(
    "status", [AttemptStatus.RESET, AttemptStatus.ERROR, AttemptStatus.CANCELLED, AttemptStatus.TIMEOUT]
)
def test_what_a_read_that_broke_off_may_have_left_is_let_go_though_no_place_was_asked_for(status, harness):
    harness.submit()
    reader = harness.attempted_endpoints()[0]
    assert not harness.actions_of(actions.Reserve)
    harness.end_attempt(status, reader)
    assert harness.actions_of(actions.Release) and not harness.final_answers()


def test_a_repeat_tells_until_when_it_may_be_written():
    harness, writer = keyed(DeduplicationScope.ALL, window=2 * S)
    sent_at = harness.now
    assert [send.write_deadline for send in harness.actions_of(actions.StartAttempt)] == [None], (
        "the first one is no repeat"
    )
    harness.end_attempt(AttemptStatus.RESET, writer, attempt=1)
    assert [send.write_deadline for send in harness.actions_of(actions.StartAttempt)] == [
        sent_at + 2 * S - 2 * MS
    ]
