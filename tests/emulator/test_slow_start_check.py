"""The slow-start check of the soak uses the budget that the protocol defines."""

import pytest

from llm_router.emulator.oracle.slow_start_check import slow_start_budget


@pytest.mark.parametrize(("allowed_attempts", "budget"), [(4, 13), (25, 43), (100, 122)])
def test_the_slow_start_budget_is_that_of_the_protocol(allowed_attempts, budget):
    assert slow_start_budget(allowed_attempts) == budget
