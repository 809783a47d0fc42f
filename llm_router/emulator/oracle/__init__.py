"""Check the rules of the routing protocol against the observations of endpoints, discovery and clients.

The oracle does not rely on reports of the router itself. All times are in seconds of the event loop's
monotonic clock."""

from llm_router.emulator.oracle.oracle import Oracle
from llm_router.emulator.oracle.traffic_record import Idempotency
from llm_router.emulator.oracle.violations import Rule, Violation

__all__ = ["Idempotency", "Oracle", "Rule", "Violation"]
