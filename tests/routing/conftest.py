import pytest
from policy_harness import PolicyHarness


@pytest.fixture
def harness():
    return PolicyHarness()
