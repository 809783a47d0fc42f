"""Each defence against a kind of symptom, one small test a failure found."""

import pytest
from policy_harness import FLEET, MIXED, MS, READER_A, READER_B, WRITER_A, WRITER_B, PolicyHarness, S, entry

from llm_router.routing import actions, events
from llm_router.routing.events import AttemptStatus, EndpointStatus, LoadReport
from llm_router.routing.settings import Idempotency, Role, TenantSettings

MANY_READERS = tuple(entry(100 + n, "reader") for n in range(4)) + FLEET[2:]


def home(harness, request="probe"):
    harness.submit(request, session="p")
    return harness.attempted_endpoints()[0]


def test_a_dead_server_is_set_aside_and_tried_again_by_one_request(harness):
    first = home(harness)
    harness.end_attempt(AttemptStatus.CONNECT_FAILED, first, "probe", after=200 * MS)
    other = READER_A + READER_B - first
    assert harness.attempted_endpoints() == [other]
    harness.disconnect("probe")
    harness.submit("r2", session="p")
    assert harness.attempted_endpoints() == [other]
    harness.disconnect("r2")
    harness.submit("r3", session="p", after=S)
    assert harness.attempted_endpoints() == [first]
    harness.submit("r4", session="p")
    assert harness.attempted_endpoints() == [other]


def test_a_lone_reset_or_those_of_kept_connections_set_no_server_aside():
    harness = PolicyHarness(fleet=MANY_READERS)
    first = home(harness)
    harness.end_attempt(AttemptStatus.RESET, first, "probe", after=2 * MS)
    assert harness.attempted_endpoints() and harness.attempted_endpoints() != [first], (
        "yet the next try goes elsewhere"
    )
    for number in range(4):
        harness.submit(f"r{number}", session="p")
        assert harness.attempted_endpoints() == [first]
        harness.end_attempt(
            AttemptStatus.RESET,
            first,
            f"r{number}",
            after=2 * MS,
            connection_fault=events.ConnectionFault.STALE,
        )
    harness.submit("again", session="p")
    harness.end_attempt(AttemptStatus.RESET, first, "again", after=2 * MS)
    harness.submit("more", session="p")
    assert harness.attempted_endpoints() and harness.attempted_endpoints() != [first], (
        "two fresh ones in a row are another matter"
    )


def test_a_server_that_turns_all_away_at_once_does_not_draw_all_sends():
    harness = PolicyHarness(fleet=MANY_READERS)
    bad = home(harness)
    sends = 0
    for number in range(100):
        harness.submit(f"r{number}", session="p", after=20 * MS)
        while bad in harness.attempted_endpoints():
            sends += 1
            attempt = len(harness.router.jobs[f"r{number}"].attempts) - 1
            harness.end_attempt(AttemptStatus.OVERLOADED, bad, f"r{number}", attempt, after=3 * MS)
        for server in harness.attempted_endpoints():
            attempt = len(harness.router.jobs[f"r{number}"].attempts) - 1
            harness.end_attempt(AttemptStatus.PREFILLED, server, f"r{number}", attempt)
            harness.handle(events.ClientDisconnected(f"r{number}"))
    assert sends < 12


def test_a_silent_reader_is_left_before_its_requests_time_is_up():
    harness = PolicyHarness(fleet=MANY_READERS)
    reader = home(harness)
    harness.run_timers(harness.now + 2 * S)
    assert harness.actions_of(actions.CancelAttempt) == [actions.CancelAttempt("probe", 0)]
    harness.end_attempt(AttemptStatus.CANCELLED, reader, "probe")
    assert harness.final_answers() == [actions.RejectRequest]  # its time is nearly up: it is not read anew


def test_a_server_that_fails_at_once_again_and_again_is_set_aside():
    harness = PolicyHarness(fleet=MANY_READERS)
    first = home(harness)
    harness.end_attempt(AttemptStatus.ERROR, first, "probe")
    assert harness.attempted_endpoints() and harness.attempted_endpoints() != [first], (
        "the next try goes elsewhere"
    )
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0], "probe", 1)
    harness.submit("again", session="p")
    assert harness.attempted_endpoints() == [first], "one error alone is none of its own"
    harness.end_attempt(AttemptStatus.ERROR, first, "again")
    harness.submit("third", session="p")
    assert harness.attempted_endpoints() and harness.attempted_endpoints() != [first]
    harness.run_timers(harness.now + 3 * S)
    harness.submit("trial", session="p")
    assert harness.attempted_endpoints() == [first]


def test_a_silent_reader_is_left_while_there_is_time_to_read_elsewhere():
    harness = PolicyHarness(fleet=MANY_READERS)
    reader = home(harness)
    harness.run_timers(harness.now + 700 * MS)
    assert harness.actions_of(actions.CancelAttempt) == [actions.CancelAttempt("probe", 0)]
    harness.end_attempt(AttemptStatus.CANCELLED, reader, "probe")
    assert harness.attempted_endpoints() and harness.attempted_endpoints() != [reader]


def stuck(effect):
    """Give a desk at whose writer one request is lost, while one that came later is answered."""
    fleet = entry(READER_A, "reader"), entry(WRITER_A, "writer")
    harness = PolicyHarness(fleet=fleet, idempotency=effect, append_prefill=False)
    for request, after in (("lost", 0), ("later", 600 * MS)):
        harness.submit(request, after=after, time_remaining=60 * S)
        harness.end_attempt(AttemptStatus.PREFILLED, READER_A, request)
        assert harness.attempted_endpoints() == [WRITER_A]
    harness.first_token(WRITER_A, "later")
    return harness


def test_a_request_lost_at_a_writer_makes_no_others_late():
    harness = stuck(Idempotency.NONE)
    harness.run_timers(harness.now + 3 * S)
    assert harness.actions_of(actions.CancelAttempt) == [], "what may have run is left to wait"
    harness.submit("next", session="n")
    assert harness.final_answers() == [] and harness.attempted_endpoints() == [READER_A]


def test_a_lost_request_that_may_run_again_is_given_up_and_its_server_kept():
    harness = stuck(Idempotency.SAFE)
    harness.run_timers(harness.now + S)
    assert harness.actions_of(actions.CancelAttempt) == [actions.CancelAttempt("lost", 1)]
    assert harness.router.servers[WRITER_A] in harness.router.usable((Role.DECODE,))


def test_an_unsafe_request_at_a_silent_writer_is_left_to_wait():
    harness = PolicyHarness(idempotency=Idempotency.NONE)
    harness.submit()
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    harness.run_timers(harness.now + 3 * S)
    assert harness.actions_of(actions.CancelAttempt) == []


def test_silence_never_sets_more_than_half_of_a_role_aside():
    harness = PolicyHarness(fleet=MANY_READERS)
    for number in range(40):
        harness.submit(f"r{number}", prefix=f"p{number}")
    harness.run_timers(harness.now + S)
    aside = [s for s in harness.router.servers.values() if s.ejected_until > harness.now]
    assert 0 < len(aside) <= 2


def test_reads_given_up_on_leave_their_wait_behind():
    harness = PolicyHarness(append_prefill=False)
    for number in range(6):
        harness.submit(f"r{number}")
    waiting = {f"r{n}": harness.router.jobs[f"r{n}"].out[0].server.entry.endpoint_id for n in range(6)}
    for request, reader in waiting.items():
        harness.handle(events.ClientDisconnected(request))
        harness.handle(events.AttemptEnded(request, 0, reader, AttemptStatus.CANCELLED, 2 * S))
    harness.submit("next")
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]


def test_with_no_reader_left_a_writer_reads():
    harness = PolicyHarness(fleet=FLEET[2:])
    harness.submit()
    assert harness.attempted_endpoints()[0] in (WRITER_A, WRITER_B)


@pytest.mark.parametrize("fleet", [FLEET[2:], FLEET[:2], ()])
def test_with_no_server_left_of_a_stage_the_request_ends_at_once(fleet):
    harness = PolicyHarness(fleet=fleet, append_prefill=False)
    harness.submit()
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]


def test_with_every_writer_set_aside_beyond_its_aim_a_request_ends_at_once_and_is_told_when_to_return():
    harness = PolicyHarness(retry_after=True, max_retry_after=3 * S)
    for writer, span in ((WRITER_A, 5 * S), (WRITER_B, 2 * S)):
        harness.router.servers[writer].ejected_until = harness.now + span
    harness.submit()
    assert [a.retry_after for a in harness.actions_of(actions.RejectRequest)] == [2 * S]
    harness.router.servers[WRITER_B].ejected_until = harness.now + 9 * S
    harness.submit("r2")
    assert [a.retry_after for a in harness.actions_of(actions.RejectRequest)] == [
        3 * S
    ]  # as long as clients heed


def test_with_every_writer_back_before_it_is_late_a_request_waits():
    harness = PolicyHarness(fleet=FLEET[2:])
    for writer in (WRITER_A, WRITER_B):
        harness.router.servers[writer].ejected_until = harness.now + 100 * MS
    harness.submit()
    assert harness.attempted_endpoints() == [] and harness.final_answers() == []
    harness.run_timers(harness.now + 200 * MS)
    assert harness.attempted_endpoints()[0] in (WRITER_A, WRITER_B)


def test_a_read_state_that_no_writer_is_left_to_take_ends_and_is_released_at_once(harness):
    harness.submit()
    reader = harness.attempted_endpoints()[0]
    gone = tuple(entry(s, "writer", c, EndpointStatus.REMOVED) for s, c in ((WRITER_A, 0), (WRITER_B, 1)))
    harness.handle(events.EndpointListUpdate(gone, is_full=False))
    harness.end_attempt(AttemptStatus.PREFILLED, reader)
    assert harness.final_answers() == [actions.RejectRequest] and harness.actions_of(actions.Release) == [
        actions.Release("r")
    ]


def test_a_state_that_is_gone_is_read_anew(harness):
    harness.submit()
    reader = harness.attempted_endpoints()[0]
    harness.end_attempt(AttemptStatus.PREFILLED, reader)
    writer = harness.attempted_endpoints()[0]
    harness.end_attempt(AttemptStatus.OVERLOADED, writer, attempt=1, state_missing=True)
    assert harness.attempted_endpoints()[0] in (READER_A, READER_B)


def jam(harness, wait):
    """Let both readers have shown a wait just now."""
    for reader in (READER_A, READER_B):
        harness.router.servers[reader].lag = wait
        harness.router.servers[reader].lag_at = harness.now


def jammed(**changes):
    harness = PolicyHarness(**changes)
    harness.router.prompts.value = 10_000.0
    jam(harness, 2 * S)
    return harness


def test_where_readers_jam_an_idle_writer_reads():
    harness = jammed()
    harness.submit("r2")
    assert harness.attempted_endpoints()[0] in (WRITER_A, WRITER_B)


def test_where_readers_and_writers_jam_new_requests_are_refused_at_once():
    harness = jammed()
    for writer in (WRITER_A, WRITER_B):
        harness.router.servers[writer].lag = 2 * S
        harness.router.servers[writer].lag_at = harness.now
    harness.submit("r2")
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]


def test_over_share_tenants_are_refused_first():
    ends = {}
    for tenant in ("small", "large"):
        harness = PolicyHarness(append_prefill=False)
        for number in range(30):
            harness.serve(f"r{number}", tenant=tenant)
        jam(harness, 500 * MS)
        harness.router.asked[tenant].add(harness.now, 30)
        harness.submit("r", tenant=tenant)
        ends[tenant] = harness.final_answers()
    assert ends == {"small": [actions.RejectRequest], "large": []}


@pytest.mark.parametrize(
    "wait, retry, pauses",
    [
        (600 * MS, False, []),  # taken
        (600 * MS, True, [0]),  # another router may take it
        (1000 * MS, False, [4]),  # told to stay away for what is past the limit
        (1000 * MS, True, [4]),
    ],
)
def test_a_marked_repeat_is_turned_away_sooner_and_told_when_to_return(wait, retry, pauses):
    harness = PolicyHarness(append_prefill=False, retry_after=True, max_retry_after=2 * S)
    harness.serve("before")
    jam(harness, wait)
    harness.submit("r", is_retry=retry)
    assert [a.retry_after // (50 * MS) for a in harness.actions_of(actions.RejectRequest)] == pauses


def test_a_mixed_server_has_a_smaller_part_of_the_ring_than_a_reader():
    ring = PolicyHarness(fleet=(*FLEET, entry(31, "mixed"))).router.ring
    points = [server.entry.endpoint_id for _, server in ring.points]
    assert 0 < points.count(31) < points.count(READER_A)


@pytest.mark.parametrize(("readers", "writers", "points"), [(9, 3, 4), (6, 6, 8), (3, 9, 12), (0, 4, 16)])
def test_mixed_servers_read_less_the_more_readers_there_are_to_each_writer(readers, writers, points):
    kinds = ["reader"] * readers + ["writer"] * writers
    fleet = (*(entry(100 + n, kind) for n, kind in enumerate(kinds)), entry(MIXED, "mixed"))
    ring = PolicyHarness(fleet=fleet).router.ring
    assert [server.entry.endpoint_id for _, server in ring.points].count(MIXED) == points


def test_a_full_writer_is_passed_over_for_another_cell(harness):
    harness.submit()
    reader = harness.attempted_endpoints()[0]
    near = {READER_A: WRITER_A, READER_B: WRITER_B}[reader]
    harness.router.servers[near].held = 300_000
    harness.end_attempt(AttemptStatus.PREFILLED, reader)
    assert harness.attempted_endpoints() == [WRITER_A + WRITER_B - near]


def test_where_every_reader_is_dead_none_is_tried_again_and_a_writer_reads(harness):
    harness.router.prompts.value = 10_000.0
    first = home(harness)
    harness.end_attempt(AttemptStatus.CONNECT_FAILED, first, "probe", after=200 * MS)
    harness.end_attempt(AttemptStatus.CONNECT_FAILED, READER_A + READER_B - first, "probe", 1, after=200 * MS)
    assert harness.attempted_endpoints() and harness.attempted_endpoints()[0] in (WRITER_A, WRITER_B)


def test_a_reader_listed_with_a_fresh_start_is_taken_up_again(harness):
    first = home(harness)
    harness.end_attempt(AttemptStatus.CONNECT_FAILED, first, "probe", after=200 * MS)
    cell = {READER_A: 0, READER_B: 1}[first]
    harness.handle(
        events.EndpointListUpdate((entry(first, "reader", cell, born=harness.now - 20 * S),), is_full=False)
    )
    assert harness.router.servers[first] in harness.router.usable((Role.PREFILL,))


def test_a_request_that_no_server_takes_is_refused_at_once_when_it_would_be_late():
    harness = PolicyHarness(append_prefill=False)
    harness.router.servers[READER_A].ejected_until = harness.router.servers[READER_B].ejected_until = (
        harness.now + 9 * S
    )
    harness.submit()
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]


@pytest.mark.parametrize(
    "effect, end", [(Idempotency.SAFE, actions.RejectRequest), (Idempotency.NONE, actions.FailRequest)]
)
def test_attempts_spent_or_nothing_to_be_resent_ends_in_the_same_event(effect, end):
    harness = PolicyHarness(idempotency=effect, max_attempts=2)
    harness.submit()
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0])
    harness.end_attempt(AttemptStatus.RESET, harness.attempted_endpoints()[0], attempt=1)
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [end]


def test_a_wait_seen_once_fades_though_old_streams_still_end(harness):
    harness.serve("r1")
    harness.submit("r2")
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0], "r2")
    writer = harness.attempted_endpoints()[0]
    harness.first_token(writer, "r2", after=S)
    assert harness.router.delay(harness.router.servers[writer]) > S // 2
    harness.end_attempt(AttemptStatus.OK, writer, "r2", 1, after=9 * S, request_closed=True)
    assert harness.router.delay(harness.router.servers[writer]) == 0


def test_a_read_quicker_than_guessed_leaves_no_wait_at_any_time(harness):
    server = harness.router.servers[READER_A]
    server.lag, server.lag_at = -300 * MS, harness.now
    for after in (0, S, 20 * S, 2000 * S):
        harness.router.now = harness.now + after
        assert harness.router.delay(server) == 0


def test_full_for_one_tenant_leaves_the_server_to_the_others():
    harness = PolicyHarness(tenants=(TenantSettings("a"), TenantSettings("b")))
    harness.submit("r1", session="p", tenant="a")
    first = harness.attempted_endpoints()[0]
    harness.end_attempt(AttemptStatus.OVERLOADED, first, "r1", after=3 * MS)
    assert harness.attempted_endpoints() and first not in harness.attempted_endpoints()
    harness.disconnect("r1")
    harness.submit("r2", session="p", tenant="a")
    assert first not in harness.attempted_endpoints()
    harness.submit("r3", session="p", tenant="b")
    assert harness.attempted_endpoints() == [first]


def test_a_read_given_up_on_makes_the_next_silence_longer():
    harness = PolicyHarness(fleet=MANY_READERS)
    home(harness)
    before = harness.router.stage[True].value or 0
    harness.run_timers(harness.now + 2 * S)
    assert harness.router.stage[True].value > before + S // 2


def test_only_a_short_prompt_is_read_by_a_writer():
    harness = jammed()
    harness.submit("short", prompt_tokens=2000)
    assert harness.attempted_endpoints()[0] in (WRITER_A, WRITER_B)
    harness.disconnect("short")
    harness.submit("long", prompt_tokens=9_000)
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]


def test_a_mixed_server_reads_prompts_up_to_the_mean_where_readers_jam():
    harness = jammed(fleet=(*FLEET, entry(31, "mixed")))
    harness.submit("mean", prompt_tokens=9_000)
    assert harness.attempted_endpoints() == [31]


def ahead(**changes):
    harness = PolicyHarness(reservations=True, **changes)
    harness.submit()
    return harness, harness.attempted_endpoints()[0], harness.actions_of(actions.Reserve)[0].endpoint_id


def crowded(**changes):
    """Give a desk that asked for many places of late, none of them held."""
    harness = PolicyHarness(
        reservations=True, fleet=(*FLEET[:2], *(entry(200 + n, "writer") for n in range(4))), **changes
    )
    for number in range(40):
        harness.submit(f"r{number}")
        if not (readers := harness.attempted_endpoints()):
            return harness
        while harness.actions_of(actions.Reserve):
            harness.handle(events.ReservationResult(f"r{number}", 0, readers[0], reserved=False))
        harness.disconnect(f"r{number}")
    raise AssertionError("nothing was refused")


def test_where_no_places_are_held_of_late_new_requests_are_refused_at_once():
    harness = crowded()
    harness.submit("late")
    assert harness.attempted_endpoints() == [] and harness.final_answers() == [actions.RejectRequest]
    harness.submit("later", after=6 * S)  # what was asked has faded: the writers are tried anew
    assert len(harness.attempted_endpoints()) == 1 and harness.final_answers() == []


def test_where_no_places_are_held_of_late_no_writer_reads_for_jammed_readers():
    harness = crowded()
    harness.router.prompts.value = 10_000.0
    jam(harness, 2 * S)
    harness.submit("short")
    assert harness.attempted_endpoints() == []


def test_a_place_is_held_during_the_read_and_taken():
    harness, reader, writer = ahead()
    harness.handle(events.ReservationResult("r", 0, reader, reserved=True))
    assert harness.actions_of(actions.Reserve) == []
    harness.router.servers[writer].held = 10**6  # what we think of it no longer counts
    harness.end_attempt(AttemptStatus.PREFILLED, reader)
    assert harness.attempted_endpoints() == [writer]


def test_a_place_that_is_not_to_be_had_sends_us_to_the_next_writer():
    harness, reader, writer = ahead()
    harness.handle(events.ReservationResult("r", 0, reader, reserved=False))
    other = harness.actions_of(actions.Reserve)[0].endpoint_id
    assert other != writer
    harness.handle(events.ReservationResult("r", 0, reader, reserved=False))
    assert harness.actions_of(actions.Reserve) == []
    harness.end_attempt(AttemptStatus.PREFILLED, reader)
    assert len(harness.attempted_endpoints()) == 1


def test_a_place_held_is_let_go_where_the_read_fails():
    harness, reader, _ = ahead()
    harness.handle(events.ReservationResult("r", 0, reader, reserved=True))
    harness.end_attempt(AttemptStatus.ERROR, reader)
    assert actions.Release("r") in harness.actions


def test_no_place_is_asked_for_where_that_is_not_allowed(harness):
    harness.submit()
    assert harness.actions_of(actions.Reserve) == []


def test_a_place_or_probe_that_nobody_asked_for_does_no_harm(harness):
    harness.submit()
    before = harness.router.jobs["r"].out
    for event in (
        events.ReservationResult("r", 0, before[0].server.entry.endpoint_id, reserved=True),
        events.ReservationResult("x", 3, WRITER_A, reserved=False),
        events.LoadProbeEnded(WRITER_A, AttemptStatus.OK, MS),
        events.LoadProbeEnded(999, AttemptStatus.TIMEOUT, MS),
        events.GossipReceived(5, b""),
        events.GossipReceived(5, b"\xff\x00noise"),
        events.GossipReceived(-1, b"v9:" + bytes(250)),
    ):
        assert harness.handle(event) == []
    assert harness.router.jobs["r"].place is None and harness.router.jobs["r"].out == before


def slow_writer(**changes):
    """Play requests of quick first steps, then one whose step takes long; give the desk and that writer."""
    harness = PolicyHarness(
        fleet=(FLEET[0], *(entry(200 + n, "writer") for n in range(3))), reservations=True, **changes
    )
    for number in range(12):
        harness.submit(f"r{number}")
        harness.handle(events.ReservationResult(f"r{number}", 0, READER_A, reserved=True))
        harness.end_attempt(AttemptStatus.PREFILLED, READER_A, f"r{number}")
        writer = harness.attempted_endpoints()[0]
        slow = number == 11
        harness.first_token(writer, f"r{number}", after=(150 if slow else 10) * MS)
        told = harness.actions_of(actions.SendGossip)
        harness.end_attempt(AttemptStatus.OK, writer, f"r{number}", 1, after=S, request_closed=True)
    return harness, writer, told


def test_a_writer_whose_first_step_takes_long_is_left_for_others():
    harness, slow, _ = slow_writer(gossip=True)
    for number in range(20):
        harness.submit(f"n{number}", session="other")
        assert harness.actions_of(actions.Reserve)[0].endpoint_id != slow
        harness.disconnect(f"n{number}")


def test_nothing_is_told_where_there_are_no_peers(harness):
    assert slow_writer()[2] == []
    harness.submit()
    harness.end_attempt(AttemptStatus.CONNECT_FAILED, harness.attempted_endpoints()[0])
    assert harness.actions_of(actions.SendGossip) == []


def test_what_one_router_met_is_told_and_heeded_by_another():
    _, slow, told = slow_writer(gossip=True)
    harness = PolicyHarness(
        fleet=(FLEET[0], *(entry(200 + n, "writer") for n in range(3))), reservations=True, gossip=True
    )
    assert len(told) == 1 and told[0].recipient is None
    harness.handle(events.GossipReceived(3, told[0].data))
    assert harness.actions == []  # what was told is not told on
    for number in range(20):
        harness.submit(f"n{number}")
        assert harness.actions_of(actions.Reserve)[0].endpoint_id != slow
        harness.disconnect(f"n{number}")


def test_full_told_by_a_peer_holds_for_that_tenant_and_class_and_fades():
    one, other = PolicyHarness(gossip=True), PolicyHarness(gossip=True)
    one.submit(tenant="small")
    reader = one.attempted_endpoints()[0]
    one.end_attempt(AttemptStatus.OVERLOADED, reader)
    word = one.actions_of(actions.SendGossip)[0].data
    newer, noise = b"\x02" + word[1:], word[:1] + b"c" + word[2:]
    for junk in (b"", word[:-1], word + b"x", newer, noise, bytes(len(word))):
        other.handle(events.GossipReceived(0, junk))
    other.submit("before", tenant="small", session="r")
    assert other.attempted_endpoints() == [reader]
    other.disconnect("before")
    other.handle(events.GossipReceived(0, word))
    other.submit("theirs", tenant="small", session="r")
    other.submit("others", tenant="large", session="r")
    assert other.attempted_endpoints() == [reader]
    assert [a.server.entry.endpoint_id for a in other.router.jobs["theirs"].out] != [reader]
    for request in ("theirs", "others"):
        other.disconnect(request)
    other.submit("after", tenant="small", session="r", after=10 * S)
    assert other.attempted_endpoints() == [reader]


def test_a_server_found_dead_by_a_peer_is_set_aside():
    one, other = PolicyHarness(gossip=True), PolicyHarness(gossip=True)
    one.submit()
    reader = one.attempted_endpoints()[0]
    one.end_attempt(AttemptStatus.CONNECT_FAILED, reader, after=200 * MS)
    other.handle(events.GossipReceived(0, one.actions_of(actions.SendGossip)[0].data))
    other.submit()
    assert other.attempted_endpoints() == [READER_A + READER_B - reader]


def look(harness, status=AttemptStatus.OK, after=3 * MS, queued_thousands=None):
    """Answer the one probe that is out and give the server that was probed."""
    (probe,) = harness.actions_of(actions.ProbeLoad)
    report = LoadReport(queued_prompt_tokens=queued_thousands and 1000 * queued_thousands)
    harness.handle(events.LoadProbeEnded(probe.endpoint_id, status, after, report), after)
    return probe.endpoint_id


def learnt(**changes):
    """Give a desk whose router knows how fast readers read."""
    harness = PolicyHarness(fleet=MANY_READERS, load_probes=True, **changes)
    harness.submit("first")
    reader = look(harness, queued_thousands=0.0)
    assert harness.attempted_endpoints() == [reader]
    harness.end_attempt(
        AttemptStatus.PREFILLED, reader, "first", after=100 * MS
    )  # 2000 tokens: 20,000 a second
    harness.disconnect("first")
    harness.now += S
    return harness


def test_a_queue_that_others_filled_sends_a_request_on_along_the_ring():
    harness = learnt()
    harness.submit("r")
    assert harness.attempted_endpoints() == [], "the report of its home comes first"
    home = look(harness, queued_thousands=12.0)  # 0.6 s of reading, none of it ours
    assert harness.attempted_endpoints() == []
    next_one = look(harness, queued_thousands=0.5)
    assert next_one != home and harness.attempted_endpoints() == [next_one]
    harness.submit("r2", after=100 * MS, session="r")
    assert harness.attempted_endpoints() == [next_one] and not harness.actions_of(actions.ProbeLoad), (
        "the reports still hold"
    )


def test_a_request_is_refused_at_once_where_reported_queues_make_it_late():
    harness = learnt()
    harness.submit("r")
    for _ in range(3):
        look(harness, queued_thousands=40.0)
    (refuse,) = harness.actions_of(actions.RejectRequest)
    assert harness.attempted_endpoints() == [] and refuse.request_id == "r"


def test_a_report_that_does_not_come_holds_a_request_back_for_a_moment_only():
    harness = learnt()
    harness.submit("r")
    start = harness.now
    assert any(isinstance(each, actions.StartAttempt) for each in harness.run_timers(start + 61 * MS))


def test_no_report_is_asked_for_where_probes_are_not_allowed():
    harness = PolicyHarness(fleet=MANY_READERS)
    harness.submit("r")
    assert harness.attempted_endpoints() and not harness.actions_of(actions.ProbeLoad)
