import pytest
from policy_harness import PolicyHarness

from llm_router.routing import append_prefill


@pytest.fixture
def harness():
    return PolicyHarness()


@pytest.fixture
def no_exploration(monkeypatch):
    """Send no append-prefill the usual path for exploration."""
    monkeypatch.setattr(append_prefill, "EXPLORATION_SHARE", 0.0)
