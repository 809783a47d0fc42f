"""The work for one request, and for one change of the endpoint list, does not grow with the fleet."""

import sys

import pytest

from benchmarks.fleet_cost import PolicyWorkload, ReducerWorkload

ROUNDS = 20
WARM_UP_REQUESTS = 40
REQUEST_LIMIT = 1.4  # times the calls in the small fleet
CHANGE_LIMIT = 2  # times the calls in the small fleet


def calls_of(work):
    """Count the calls of functions, built-in ones too, that some rounds take: no clock is involved."""
    calls = 0

    def count(_frame, event, _argument):
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
@pytest.mark.parametrize("workload", [PolicyWorkload, ReducerWorkload])
def test_a_request_and_a_change_cost_as_much_with_sixteen_times_the_endpoints(workload, cell, monkeypatch):
    monkeypatch.setattr("benchmarks.fleet_cost.CELL", cell)
    small, large = workload(100, routers=200), workload(1600, routers=200)
    for fleet in (small, large):
        for _ in range(WARM_UP_REQUESTS):
            fleet.serve_request()
    assert calls_of(large.serve_request) <= REQUEST_LIMIT * calls_of(small.serve_request)
    assert calls_of(large.replace_endpoint) <= CHANGE_LIMIT * calls_of(small.replace_endpoint)
