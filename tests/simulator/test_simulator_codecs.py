"""The simulator's line protocol: decoding, encoding, and the replies to complete batches."""

import io
import subprocess
import sys

import pytest

from llm_router.field_codec import Fields
from llm_router.routing import actions, events
from llm_router.routing.events import AttemptStatus, LoadReport
from llm_router.routing.settings import ClassSettings, Idempotency
from llm_router.settings_codec import read_settings
from llm_router.simulator.action_codec import encode_action
from llm_router.simulator.event_codec import decode_event
from llm_router.simulator.host import NumberedLines, SimulatorHost

SETTINGS = (
    "allowed.attempts_cap=5 allowed.cancel=true balancers=2 family_info.duty_by_kind=read,write "
    "family_info.local_read=true family_info.memory_tokens=190000,150000 family_info.token_aim=60000000 "
    "family_info.aim_us_per_1000_prompt_tokens=40000.0 kinds=prefill,decode lanes.count=1 lanes.0.group=all "
    "lanes.0.hard_limit=4000000000 lanes.0.idempotency=pure lanes.0.name=chat lanes.0.target=1000000000 "
    "lanes.0.worth=2.0 lanes.0.window=5000000000 my_zone=z position=0 rules.cold=14000000000 tick=2000000 "
    "projects.count=1 projects.0.name=t projects.0.quota_per_s=8.0 discovery=push some.new_key=5"
)
START = f"""enlist router_id=router-1 random_seed=5 {SETTINGS}
list slot=0 records=2
entry engine=7 dc=z kind=prefill unit_group=0 condition=live weight=1 new_field=x
entry kind=decode engine=8 condition=live dc=z unit_group=0 born=0
fleet router_id=router-1 kind=Persisted revision=1 slot=0
"""
REQUEST = (
    "query router_id=router-1 max_tokens=256 req=rq_a n_prompt=1800 shared_len=1200 prefix=2b8e6401d9f37c10 "
    "party=t priority=chat thread=91f03b7c55d20a64 grace=4000000000\n"
)


def batch(messages, clock=1000):
    return f"begin_batch clock={clock}\n{messages}eof_batch\n"


def answer(*batches):
    output = io.StringIO()
    SimulatorHost().run(NumberedLines(io.StringIO("".join(batches))), output)
    return output.getvalue()


def test_an_empty_batch_is_answered():
    assert answer(batch("")) == "ok\n"


def test_a_request_is_sent_for_prefill_and_then_for_decode():
    prefilled = (
        "report_back router_id=router-1 req=rq_a ending=handover info=0 wait_time=90 engine=7 attempt=0\n"
    )
    first_token = "headers router_id=router-1 req=rq_a attempt=1 engine=8 wait_time=50\n"
    done = "report_back closed=1 req=rq_a ending=done router_id=router-1 wait_time=90 engine=8 attempt=1\n"
    replies = answer(
        batch(START + REQUEST), batch(prefilled, 2000), batch(first_token, 3000), batch(done, 4000)
    )
    assert "pass_on router_id=router-1 req=rq_a within=0 engine=7" in replies
    assert "pass_on router_id=router-1 req=rq_a within=0 engine=8" in replies
    assert replies.count("ok\n") == 4


def test_field_order_does_not_matter():
    head, *fields = REQUEST.split()
    assert answer(batch(START + REQUEST)) == answer(batch(START + " ".join([head, *reversed(fields)]) + "\n"))


def test_a_reused_list_slot_has_the_latest_list_for_each_router():
    second = START.replace("router-1", "router-2").replace("engine=7", "engine=17")
    replies = answer(batch(START + second + REQUEST + REQUEST.replace("router-1", "router-2")))
    assert "router-1 req=rq_a within=0 engine=7" in replies
    assert "router-2 req=rq_a within=0 engine=17" in replies


def test_a_router_restarted_within_a_batch_has_no_earlier_state():
    reply = answer(batch(START + REQUEST))
    restarted = answer(batch(START + REQUEST + "destroy router_id=router-1\n" + START + REQUEST))
    assert "req=rq_a" in reply and restarted == reply.removesuffix("ok\n") + reply


def test_missing_settings_have_their_defaults():
    settings = read_settings(Fields.parse(SETTINGS.split()))
    assert settings.classes == (
        ClassSettings(
            "chat",
            latency_objective=10**9,
            deadline=4 * 10**9,
            idempotency=Idempotency.SAFE,
            priority_weight=2.0,
            deduplication_window=5 * 10**9,
            objective_per_1000_tokens=40_000_000,
            token_interval=60_000_000,
        ),
    )
    assert [kind.memory_tokens for kind in settings.kinds] == [190000, 150000]
    assert (
        settings.slow_start_window == 14 * 10**9
        and settings.reservations is False
        and settings.max_retry_after is None
    )


@pytest.mark.parametrize(
    ("line", "event"),
    [
        ("bell handle=77", events.TimerFired(77)),
        ("timed_out_client req=a", events.ClientDisconnected("a")),
        ("headers req=a attempt=1 engine=8 wait_time=5", events.FirstToken("a", 1, 8, 5)),
        ("hold_result req=a attempt=0 engine=8 topic=2 value=0", events.ReservationResult("a", 0, 8, False)),
        (
            "probed ending=done engine=8 wait_time=5 gauge=x0:1",
            events.LoadProbeEnded(8, AttemptStatus.OK, 5, LoadReport(memory_share=1.0)),
        ),
        ("note_from origin_peer=2 msg=aGkgNw==", events.GossipReceived(2, b"hi 7")),
        ("note_from origin_peer=2 msg=-", events.GossipReceived(2, b"")),
        (
            "report_back req=a ending=busy info=1 wait_time=5 engine=8 attempt=2",
            events.AttemptEnded("a", 2, 8, AttemptStatus.OVERLOADED, 5, False, state_missing=True),
        ),
    ],
)
def test_each_event_is_decoded(line, event):
    name, *fields = line.split()
    assert decode_event(name, Fields.parse(fields)) == event


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (actions.StartAttempt("a", 7, 80), "pass_on router_id=r req=a within=80 engine=7"),
        (actions.Reserve("a", 7), "hold_place router_id=r req=a engine=7"),
        (actions.Release("a"), "unpin router_id=r req=a"),
        (actions.CancelAttempt("a", 1), "undo_send router_id=r req=a attempt=1"),
        (actions.RejectRequest("a", 5), "shed router_id=r req=a pause=5"),
        (actions.FailRequest("a"), "drop_request router_id=r req=a"),
        (actions.MigrateStream("a"), "reassign router_id=r req=a"),
        (actions.SetTimer(9, 1), "wake_me router_id=r fire_at=9 handle=1"),
        (actions.ProbeLoad(7), "ping router_id=r engine=7"),
        (actions.SendGossip(None, b"hi 7"), "broadcast_to router_id=r dest=-1 msg=aGkgNw=="),
        (actions.SendGossip(2, b""), "broadcast_to router_id=r dest=2 msg=-"),
        (actions.WatchEndpoints(), "observe router_id=r want=1"),
        (actions.LogLine("two\nlines"), "remark router_id=r line=two lines"),
    ],
)
def test_each_action_is_encoded(action, line):
    assert encode_action("r", action) == line


@pytest.mark.parametrize(
    ("text", "line", "word"),
    [
        ("bell router_id=router-1 handle=7\n", 1, "begin_batch"),
        ("begin_batch clock=soon\n", 1, "clock"),
        (batch("dance router_id=router-1\n"), 2, "dance"),
        (batch(START + "bell router_id=router-1 handle=x\n"), 7, "handle"),
        (batch(START + "bell router_id=router-1 handle\n"), 7, "handle"),
        (batch(START + REQUEST.replace("n_prompt=1800 ", "")), 7, "n_prompt"),
        (batch(START.replace("condition=live", "condition=odd", 1)), 4, "odd"),
        (batch(START.replace("records=2", "records=3")), 6, "entry"),
        (batch(START.replace("slot=0\n", "slot=4\n")), 6, "slot"),
        (batch("bell router_id=router-9 handle=1\n"), 2, "router-9"),
        (batch(START.replace("duty_by_kind=read,write", "duty_by_kind=read,read")), 2, "duty_by_kind: must"),
        ("begin_batch clock=5\n", 1, "ends"),
    ],
)
def test_an_error_about_a_malformed_line_names_its_number_in_one_line(text, line, word):
    command = [sys.executable, "-m", "llm_router.simulator"]
    run = subprocess.run(command, input=text, capture_output=True, text=True, check=False)
    assert run.returncode != 0 and run.stdout == ""
    assert len(run.stderr.splitlines()) == 1 and f"line {line}:" in run.stderr and word in run.stderr
