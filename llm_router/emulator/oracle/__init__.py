"""Check the routing protocol from what endpoints, discovery and clients observe, not from a router's view.

All times are seconds of the event loop's clock, which is monotonic."""

from llm_router.emulator.oracle.oracle import Oracle
from llm_router.emulator.oracle.traffic_record import Idempotency
from llm_router.emulator.oracle.violations import Rule, Violation

__all__ = ["Idempotency", "Oracle", "Rule", "Violation"]
