"""Outlier ejection: endpoints that failed get no requests for a while."""

from __future__ import annotations

from llm_router.routing.candidate_subset import CandidateSubset
from llm_router.routing.context import PolicyContext
from llm_router.routing.duration import SECOND
from llm_router.routing.endpoint_state import EndpointState

BASE_EJECTION_TIME = SECOND  # nanoseconds, doubled with each consecutive ejection
MAX_EJECTION_TIME = 8 * SECOND  # nanoseconds: a repaired endpoint is used again soon


class OutlierEjection:
    """Ejects endpoints; after its ejection time, a single request tries an endpoint again."""

    def __init__(self, context: PolicyContext, candidates: CandidateSubset) -> None:
        self.context = context
        self.candidates = candidates

    def eject(self, endpoint: EndpointState) -> bool:
        """Eject an endpoint, for longer each time in sequence; return whether that was done."""
        # The candidates are selected first in any case: for a large fleet that takes a random draw.
        self.candidates.candidates((endpoint.role,))
        if self.context.now < endpoint.ejected_until:
            return False
        self._eject(endpoint)
        return True

    def eject_suspect(self, endpoint: EndpointState) -> bool:
        """Eject an endpoint that may merely be loaded, if half of its role at least would remain."""
        peers = self.candidates.candidates((endpoint.role,))
        if self.context.now < endpoint.ejected_until:
            return False
        remaining = [
            peer for peer in peers if self.context.now >= peer.ejected_until and peer is not endpoint
        ]
        if 2 * len(remaining) < len(peers):
            return False
        self._eject(endpoint)
        return True

    def _eject(self, endpoint: EndpointState) -> None:
        endpoint.consecutive_ejections += 1
        ejection_time = BASE_EJECTION_TIME << (endpoint.consecutive_ejections - 1)
        endpoint.ejected_until = self.context.now + min(ejection_time, MAX_EJECTION_TIME)
