"""Choice between append-prefill and remote prefill for the later turns of a session."""

from itertools import product

import pytest
from policy_harness import (
    FLEET,
    LATER_TURN,
    MS,
    PREFILL_A,
    PREFILL_B,
    PolicyHarness,
    S,
    entry,
    harness_with_affinity,
)

from llm_router.routing import append_prefill
from llm_router.routing.append_prefill import PathAverages, PathKey
from llm_router.routing.events import AttemptStatus
from llm_router.routing.statistics import MovingAverage
from llm_router.routing.tracked_request import WorkloadBucket

pytestmark = pytest.mark.usefixtures("no_exploration")


def set_averages(harness, append, remote):
    """Set the averages of both paths, as (first token, token interval), in every workload bucket."""
    averages = harness.policy.append_prefill.averages
    for flags in product((False, True), repeat=3):
        workload = WorkloadBucket(*flags)
        for is_append, values in ((True, append), (False, remote)):
            averages[PathKey(workload, is_append)] = PathAverages(*map(MovingAverage, values))


def test_later_turn_with_few_new_tokens_is_append_prefill_without_averages():
    harness, decode_endpoint = harness_with_affinity()
    harness.policy.append_prefill.averages.clear()
    harness.submit("r2", **LATER_TURN)
    assert harness.attempted_endpoints() == [decode_endpoint]


def test_later_turn_with_many_new_tokens_is_prefilled_remotely_without_averages():
    harness, _ = harness_with_affinity()
    harness.policy.append_prefill.averages.clear()
    harness.submit("r2", **{**LATER_TURN, "prompt_tokens": 20_000, "prefix_tokens": 17_000})
    assert harness.attempted_endpoints()[0] in (PREFILL_A, PREFILL_B)


def test_new_tokens_over_a_quarter_of_the_prompt_are_prefilled_remotely():
    harness, _ = harness_with_affinity()
    harness.submit("r2", **{**LATER_TURN, "prefix_tokens": 2900})
    assert harness.attempted_endpoints()[0] in (PREFILL_A, PREFILL_B)


def test_busy_decode_endpoint_gets_no_append_prefill():
    harness, decode_endpoint = harness_with_affinity(fleet=(*FLEET, entry(23, "decode", 1)))
    harness.policy.endpoints[decode_endpoint].streams = 50
    harness.submit("r2", **LATER_TURN)
    assert harness.attempted_endpoints()[0] in (PREFILL_A, PREFILL_B)


@pytest.mark.parametrize(
    ("append", "remote", "is_append"),
    [
        # The first token comes sooner with append-prefill, and the token interval is equal.
        ((50 * MS, 10 * MS), (100 * MS, 10 * MS), True),
        # The first token comes later with append-prefill.
        ((100 * MS, 10 * MS), (50 * MS, 10 * MS), False),
        # Append-prefill halves the time to the first token but doubles the token interval: score 0.5 - 1.
        ((50 * MS, 20 * MS), (100 * MS, 10 * MS), False),
        # Append-prefill halves the time to the first token; the interval is 40% longer: score 0.5 - 0.4.
        ((50 * MS, 14 * MS), (100 * MS, 10 * MS), True),
    ],
)
def test_score_decides_between_the_paths_when_all_averages_are_known(append, remote, is_append):
    harness, decode_endpoint = harness_with_affinity()
    set_averages(harness, append, remote)
    harness.submit("r2", **LATER_TURN)
    assert (harness.attempted_endpoints() == [decode_endpoint]) is is_append


def test_later_turn_selected_for_exploration_is_prefilled_remotely(monkeypatch):
    harness, _ = harness_with_affinity()
    set_averages(harness, (50 * MS, 10 * MS), (100 * MS, 10 * MS))
    monkeypatch.setattr(append_prefill, "EXPLORATION_SHARE", 1.0)
    harness.submit("r2", **LATER_TURN)
    assert harness.attempted_endpoints()[0] in (PREFILL_A, PREFILL_B)


def test_answer_updates_both_averages_of_its_path():
    harness = PolicyHarness()
    harness.submit("r1", **LATER_TURN)
    harness.end_attempt(AttemptStatus.PREFILLED, harness.attempted_endpoints()[0], "r1", after=30 * MS)
    decode_endpoint = harness.attempted_endpoints()[0]
    harness.first_token(decode_endpoint, "r1", after=20 * MS)
    harness.end_attempt(AttemptStatus.OK, decode_endpoint, "r1", 1, after=2 * S, request_closed=True)
    ((key, path),) = harness.policy.append_prefill.averages.items()
    assert not key.append_prefill
    assert path.first_token.value == 50 * MS
    assert path.token_interval.value == 2 * S / 200
