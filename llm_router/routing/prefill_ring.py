"""The hash ring of prefill endpoints, weighted by the decode capacity in the cell of each endpoint."""

from __future__ import annotations

from math import log2

from llm_router.routing.candidate_subset import MAX_CANDIDATES
from llm_router.routing.endpoint_index import PREFILL_ROLES, EndpointIndex, RoleInCell
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.events import EndpointStatus
from llm_router.routing.hash_ring import HashRing
from llm_router.routing.settings import Role

# The number of ring points of a prefill endpoint.
# More points would distribute the load more evenly, but make updates of the ring more expensive.
POINTS_PER_ENDPOINT = 16
# A prefill endpoint with few decode endpoints in its cell keeps at least this share of POINTS_PER_ENDPOINT.
MIN_POINTS_SHARE = 0.5
# The role ratio of a large fleet is rounded to this many steps per doubling.
# All points of the ring are recomputed only if the rounded ratio changes.
RATIO_STEPS_PER_DOUBLING = 4


class PrefillRing:
    """The hash ring of prefill and mixed endpoints, and the role ratio that determined its points."""

    def __init__(self, index: EndpointIndex) -> None:
        self.index = index
        self.ring = HashRing()
        self._role_ratio = 0.0  # number of prefill endpoints per decode endpoint
        self._cell_points: dict[int, int] = {}  # number of ring points per prefill endpoint, by cell

    def update(self, changed: list[EndpointState]) -> None:
        """Update the ring after a change of the endpoint list.

        The update visits the endpoints of the changed cells. If the role ratio has changed, it visits all
        prefill endpoints."""
        for endpoint in self._affected(changed):
            self.ring.set_points(endpoint, self.points(endpoint))

    def points(self, endpoint: EndpointState) -> int:
        """Return the number of ring points of an endpoint. A cell with little decode capacity has fewer."""
        if endpoint.entry.status is not EndpointStatus.READY or endpoint.role not in PREFILL_ROLES:
            return 0
        if endpoint.role is Role.MIXED:
            # With more prefill endpoints per decode endpoint, a mixed endpoint is needed more for decoding.
            return round(POINTS_PER_ENDPOINT / (1 + self._role_ratio))
        return self._prefill_points(endpoint.entry.cell)

    def _affected(self, changed: list[EndpointState]) -> list[EndpointState]:
        """Return the endpoints whose number of points may differ after a change of the endpoint list."""
        before = self._role_ratio
        self._role_ratio = self._current_role_ratio()
        if before != self._role_ratio:
            self._cell_points = {cell: self._prefill_points(cell) for cell in self.index.by_cell}
            return list(dict.fromkeys((*changed, *self.index.ready(PREFILL_ROLES))))
        affected = dict.fromkeys(changed)
        for cell in {endpoint.entry.cell for endpoint in changed}:
            if self._update_cell(cell):
                affected.update(dict.fromkeys(self.index.by_cell.get(cell, ())))
        return list(affected)

    def _update_cell(self, cell: int) -> bool:
        """Recompute the points per prefill endpoint in a cell; return whether the number has changed."""
        before = self._cell_points.get(cell)
        self._cell_points[cell] = self._prefill_points(cell)
        return before != self._cell_points[cell]

    def _current_role_ratio(self) -> float:
        """Return the number of prefill endpoints per decode endpoint, rounded to a step in a large fleet."""
        prefill = self.index.count(Role.PREFILL)
        decode = self.index.count(Role.DECODE)
        ratio = prefill / max(1, decode)
        if prefill + decode <= MAX_CANDIDATES or not ratio:
            return ratio
        steps: int = round(log2(ratio) * RATIO_STEPS_PER_DOUBLING)
        return float(2 ** (steps / RATIO_STEPS_PER_DOUBLING))

    def _prefill_points(self, cell: int) -> int:
        """Return the number of ring points of each prefill endpoint in a cell."""
        decode = self.index.cell_counts[RoleInCell(Role.DECODE, cell)]
        prefill = self.index.cell_counts[RoleInCell(Role.PREFILL, cell)]
        share = self._role_ratio * decode / max(1, prefill)
        return round(POINTS_PER_ENDPOINT * min(1.0, max(MIN_POINTS_SHARE, share)))
