import pytest
from policy_harness import PolicyHarness

from llm_router.routing import append_prefill


@pytest.fixture
def harness():
    return PolicyHarness()


@pytest.fixture
def no_exploration(monkeypatch):
    """Disable exploration, which sends a share of append-prefills the usual path."""
    monkeypatch.setattr(append_prefill, "EXPLORATION_SHARE", 0.0)
