"""A router and load balancer for language-model servers that split prefill from decode."""

from llm_router.routing.policy import RoutingPolicy
from llm_router.routing.settings import Settings

__all__ = ["RoutingPolicy", "Settings"]
__version__ = "0.3.0"
