"""Outlier ejection, which sends no requests to a failed endpoint for a limited time."""

from __future__ import annotations

from llm_router.routing.candidate_subset import CandidateSubset
from llm_router.routing.context import PolicyContext
from llm_router.routing.duration import SECOND
from llm_router.routing.endpoint_state import EndpointState

BASE_EJECTION_TIME = SECOND  # nanoseconds of the first ejection; each consecutive ejection doubles the time
MAX_EJECTION_TIME = 8 * SECOND  # nanoseconds; the limit lets a repaired endpoint get requests again soon


class OutlierEjection:
    """The ejection of endpoints; after its ejection time, an endpoint gets a single request as a test."""

    def __init__(self, context: PolicyContext, candidates: CandidateSubset) -> None:
        self.context = context
        self.candidates = candidates

    def eject(self, endpoint: EndpointState) -> bool:
        """Eject an endpoint that is not ejected yet, and return whether it was ejected.

        Each consecutive ejection lasts longer than the one before."""
        # In a large fleet, the selection of candidates draws a random number.
        # The candidates are not used; the draw keeps the random sequence independent of the ejection state.
        self.candidates.candidates((endpoint.role,))
        if self.context.now < endpoint.ejected_until:
            return False
        self._eject(endpoint)
        return True

    def eject_suspect(self, endpoint: EndpointState) -> bool:
        """Eject an endpoint that may have failed or may be under high load; return whether it was ejected.

        It is ejected only if at least half of the compared endpoints of its role remain."""
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
