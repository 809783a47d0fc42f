import pytest
from reducer_harness import ReducerHarness


@pytest.fixture
def lifecycle():
    return ReducerHarness()
