"""The work for one request, or for one endpoint list change, does not grow with the size of the fleet."""

import sys

import pytest

from benchmarks.fleet_cost import PolicyWorkload, ReducerWorkload

ROUNDS = 20
WARM_UP_REQUESTS = 40
REQUEST_LIMIT = 1.4  # maximum ratio of function calls per request, large fleet to small fleet
CHANGE_LIMIT = 2  # maximum ratio of function calls per change, large fleet to small fleet


def count_calls(work):
    """Count the function calls of some rounds, with those of built-in functions.

    The count does not depend on the speed of the machine."""
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
def test_function_calls_of_a_request_and_a_change_do_not_grow_with_the_fleet(workload, cell, monkeypatch):
    monkeypatch.setattr("benchmarks.fleet_cost.CELL_SIZE", cell)
    small, large = workload(100, routers=200), workload(1600, routers=200)
    for fleet in (small, large):
        for _ in range(WARM_UP_REQUESTS):
            fleet.serve_request()
    assert count_calls(large.serve_request) <= REQUEST_LIMIT * count_calls(small.serve_request)
    assert count_calls(large.replace_endpoint) <= CHANGE_LIMIT * count_calls(small.replace_endpoint)
