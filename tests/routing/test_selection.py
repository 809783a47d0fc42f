"""The mechanism: later turns, averages, spill, rows; and the same actions for the same events."""

import os
import subprocess
import sys
from pathlib import Path

import pytest
from policy_harness import FLEET, MS, READER_A, READER_B, WRITER_A, WRITER_B, PolicyHarness, S, entry

from llm_router.routing import events, policy
from llm_router.routing.events import AttemptStatus
from llm_router.routing.state import Mean

LATER = {"prompt_tokens": 4000, "prefix_tokens": 3500, "session": "s", "prefix": "p"}


@pytest.fixture(autouse=True)
def no_remote_share(monkeypatch):
    monkeypatch.setattr(policy, "REMOTE_SHARE", 0.0)


def with_row(**changes):
    harness = PolicyHarness(**changes)
    return harness, harness.serve("r1", **LATER)


def fill(harness, local, remote):
    """Set the averages of every cell a later turn here can fall into."""
    for long in (0, 1):
        for heavy in (0, 1):
            for load in (0, 1):
                harness.router.cells[(long, heavy, load), True] = (Mean(local[0]), Mean(local[1]))
                harness.router.cells[(long, heavy, load), False] = (Mean(remote[0]), Mean(remote[1]))


def test_a_first_turn_passes_through_a_reader(harness):
    harness.submit()
    assert harness.attempted_endpoints()[0] in (READER_A, READER_B)


def test_the_state_goes_to_a_writer_of_the_readers_cell(harness):
    harness.submit()
    reader = harness.attempted_endpoints()[0]
    harness.end_attempt(AttemptStatus.PREFILLED, reader)
    assert harness.attempted_endpoints() == [{READER_A: WRITER_A, READER_B: WRITER_B}[reader]]


def test_a_later_turn_in_an_empty_cell_with_few_new_tokens_is_local():
    harness, writer = with_row()
    harness.router.cells.clear()
    harness.submit("r2", **LATER)
    assert harness.attempted_endpoints() == [writer]


def test_a_later_turn_in_an_empty_cell_with_many_new_tokens_is_remote():
    harness, _ = with_row()
    harness.router.cells.clear()
    harness.submit("r2", **{**LATER, "prompt_tokens": 20_000, "prefix_tokens": 17_000})
    assert harness.attempted_endpoints()[0] in (READER_A, READER_B)


def test_new_tokens_over_a_quarter_of_the_prompt_are_remote():
    harness, _ = with_row()
    harness.submit("r2", **{**LATER, "prefix_tokens": 2900})
    assert harness.attempted_endpoints()[0] in (READER_A, READER_B)


def test_a_busy_writer_is_left_for_the_reader_path():
    harness, writer = with_row(fleet=(*FLEET, entry(23, "writer", 1)))
    harness.router.servers[writer].streams = 50
    harness.submit("r2", **LATER)
    assert harness.attempted_endpoints()[0] in (READER_A, READER_B)


@pytest.mark.parametrize(
    ("local", "remote", "goes_local"),
    [
        ((50 * MS, 10 * MS), (100 * MS, 10 * MS), True),  # first tokens sooner, same pace
        ((100 * MS, 10 * MS), (50 * MS, 10 * MS), False),  # first tokens later
        ((50 * MS, 20 * MS), (100 * MS, 10 * MS), False),  # half the wait, but twice the pace: 0.5 - 1
        ((50 * MS, 14 * MS), (100 * MS, 10 * MS), True),  # 0.5 - 0.4
    ],
)
def test_the_score_decides_where_both_averages_are_known(local, remote, goes_local):
    harness, writer = with_row()
    fill(harness, local, remote)
    harness.submit("r2", **LATER)
    assert (harness.attempted_endpoints() == [writer]) is goes_local


def test_a_small_share_goes_remote_all_the_same(monkeypatch):
    harness, _ = with_row()
    fill(harness, (50 * MS, 10 * MS), (100 * MS, 10 * MS))
    monkeypatch.setattr(policy, "REMOTE_SHARE", 1.0)
    harness.submit("r2", **LATER)
    assert harness.attempted_endpoints()[0] in (READER_A, READER_B)


def test_an_idle_row_is_dropped():
    harness, _ = with_row()
    harness.submit("x", after=121 * S)
    harness.run_timers(harness.now + 100 * MS)
    assert "s" not in harness.router.rows


def test_a_row_without_a_session_is_kept_by_prefix():
    harness = PolicyHarness()
    writer = harness.serve("r1", **{**LATER, "session": None})
    assert harness.router.rows["p"].writer == writer


def test_answers_feed_both_averages_of_the_path_they_took():
    harness = PolicyHarness()
    harness.submit("r1", **LATER)
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0], "r1", after=30 * MS)
    writer = harness.attempted_endpoints()[0]
    harness.first_token(writer, "r1", after=20 * MS)
    harness.end_attempt(AttemptStatus.OK, writer, "r1", 1, after=2 * S, request_closed=True)
    ((key, (ttft, pace)),) = harness.router.cells.items()
    assert key[1] is False and ttft.value == 50 * MS and pace.value == 2 * S / 200


def test_one_prefix_is_read_at_one_home_from_every_router():
    fleet = tuple(entry(100 + n, "reader") for n in range(8)) + FLEET[2:]
    homes = set()
    for seed in range(4):
        harness = PolicyHarness(fleet=fleet, seed=seed)
        harness.submit("r", prefix="p7")
        homes.update(harness.attempted_endpoints())
    assert len(homes) == 1


def test_a_home_past_its_bound_spills_in_ring_order():
    fleet = tuple(entry(100 + n, "reader") for n in range(4)) + FLEET[2:]
    harness = PolicyHarness(fleet=fleet)
    harness.router.speed = 10_000.0  # a quarter of the aim: 2,500 tokens
    order = [server.entry.endpoint_id for server in harness.router.ring.walk("p7")]
    sent = []
    for number in range(5):
        harness.submit(f"r{number}", session="p7", prompt_tokens=2000)
        sent += harness.attempted_endpoints()
    assert sent[:5] == [order[0], order[0], order[1], order[1], order[2]]


def test_a_session_goes_back_to_the_reader_that_read_it():
    harness = PolicyHarness()
    harness.serve("r1", session="s", prefix="p")
    reader = harness.router.rows["s"].reader
    other = READER_A + READER_B - reader
    harness.router.rows["s"].reader = other
    harness.submit("r2", session="s", prefix="p")
    assert harness.attempted_endpoints() == [other]


def test_rows_of_a_writer_that_lost_its_kept_tokens_count_no_more():
    harness, writer = with_row()
    harness.submit("r2", **LATER)
    assert harness.attempted_endpoints() == [writer]
    harness.first_token(writer, "r2", 0)
    harness.end_attempt(AttemptStatus.OK, writer, "r2", 0, after=S, request_closed=True, cached_tokens=0)
    harness.router.rows["old"] = harness.router.rows["s"]
    harness.router.rows["old"].at -= 2 * S
    harness.submit("r3", **{**LATER, "session": "old"})
    assert harness.attempted_endpoints()[0] in (READER_A, READER_B)


def test_a_restarted_writer_holds_no_rows():
    harness, writer = with_row()
    cell = {WRITER_A: 0, WRITER_B: 1}[writer]
    harness.handle(
        events.EndpointListUpdate((entry(writer, "writer", cell, born=harness.now - S),), is_full=False),
        after=MS,
    )
    harness.submit("r2", **LATER)
    assert harness.attempted_endpoints()[0] in (READER_A, READER_B)


ROOT = Path(__file__).parents[2]
SCRIPT = """
from policy_harness import AttemptStatus, PolicyHarness, S, MS
harness = PolicyHarness(seed=5)
out = []
for n in range(200):
    told = {"session": f"s{n % 40}", "prefix": f"p{n % 7}", "prefix_tokens": 1800}
    out += harness.submit(f"r{n}", **told, after=20 * MS)
    if (endpoints := harness.attempted_endpoints()) and n % 3:
        out += harness.end_attempt(AttemptStatus.PREFILLED, endpoints[0], f"r{n}")
    out += harness.run_timers(harness.now + 5 * MS)
print(out)
"""


def test_the_same_events_give_the_same_actions_under_any_hash_seed():
    path = os.pathsep.join([str(ROOT), str(ROOT / "tests" / "support")])
    results = set()
    for seed in ("0", "1", "2"):
        env = {**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": path}
        run = subprocess.run([sys.executable, "-c", SCRIPT], env=env, capture_output=True, check=True)
        results.add(run.stdout)
    assert len(results) == 1 and len(results.pop()) > 1000


def test_the_same_prefix_has_the_same_home_at_every_router_and_a_hot_one_several():
    fleet = tuple(entry(100 + n, "reader") for n in range(20)) + FLEET[2:]
    homes = {
        PolicyHarness(fleet=fleet, seed=seed).submit("r", prefix="p")[-1].endpoint_id for seed in range(10)
    }
    assert len(homes) == 1
    harness, drawn = PolicyHarness(fleet=fleet), set()
    for number in range(60):
        harness.submit(f"r{number}", prefix="p", after=S)
        drawn.update(harness.attempted_endpoints())
        harness.disconnect(f"r{number}")
    assert 3 < len(drawn) <= 20


def test_a_reader_beside_few_writers_has_less_of_the_ring():
    fleet = (
        *(entry(100 + n, "reader", 0) for n in range(3)),
        entry(200, "writer", 0),
        entry(110, "reader", 1),
        *(entry(210 + n, "writer", 1) for n in range(3)),
    )
    ring = PolicyHarness(fleet=fleet).router.ring
    points = [server.entry.endpoint_id for _, server in ring.points]
    assert points.count(100) * 2 == points.count(110)
    assert 200 not in points


def test_equal_writers_are_not_chosen_alike_by_all_routers():
    fleet = (FLEET[0], *(entry(200 + n, "writer", 0) for n in range(6)))
    chosen = {PolicyHarness(fleet=fleet, seed=seed).serve() for seed in range(20)}
    assert len(chosen) > 3


def test_routers_that_count_a_prefix_a_little_differently_mostly_agree_on_a_sessions_reader():
    fleet = tuple(entry(100 + n, "reader") for n in range(20)) + FLEET[2:]
    few, many = PolicyHarness(fleet=fleet), PolicyHarness(fleet=fleet)
    for harness, count in ((few, 20), (many, 28)):
        for prefix, times in (("p", count), ("other", 80)):
            for number in range(times):
                harness.submit(f"{prefix}{number}", prefix=prefix, after=100 * MS)
                harness.disconnect(f"{prefix}{number}")
    same = 0
    for number in range(60):
        readers = {
            harness.submit(f"s{number}", prefix="p") and harness.attempted_endpoints()[0]
            for harness in (few, many)
        }
        same += len(readers) == 1
        for harness in (few, many):
            harness.disconnect(f"s{number}")
    assert same > 36
