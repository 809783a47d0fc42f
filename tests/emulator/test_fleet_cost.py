"""The work for one request, and for one change of the list, does not grow with the fleet."""

import sys

import pytest

from benchmarks.fleet_cost import Decisions, ReducerHarness

ROUNDS = 20


def calls_of(work):
    """Give how many calls of functions, and of built-in ones, some rounds take: no clock is asked."""
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        for _ in range(ROUNDS):
            work()
    finally:
        sys.setprofile(None)
    return calls


@pytest.mark.parametrize("cell", [6, 10_000], ids=["small cells", "one cell"])
@pytest.mark.parametrize("layer", [Decisions, ReducerHarness])
def test_a_request_and_a_change_cost_as_much_with_sixteen_times_the_endpoints(layer, cell, monkeypatch):
    monkeypatch.setattr("benchmarks.fleet_cost.CELL", cell)
    usual, large = layer(100, routers=200), layer(1600, routers=200)
    for player in (usual, large):
        for _ in range(40):
            player.request()
    assert calls_of(large.request) <= 1.4 * calls_of(usual.request)
    assert calls_of(large.change) <= 2 * calls_of(usual.change)
