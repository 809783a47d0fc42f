"""The hash ring of the prefill endpoints, weighted by how much decode capacity is close to each."""

from __future__ import annotations

from math import log2

from llm_router.routing.candidate_subset import MAX_CANDIDATES
from llm_router.routing.endpoint_index import PREFILL_ROLES, EndpointIndex, RoleInCell
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.events import EndpointStatus
from llm_router.routing.hash_ring import HashRing
from llm_router.routing.settings import Role

POINTS = 16  # of a prefill endpoint on the ring; more would be more even, at a higher cost of changes
MIN_POINTS_SHARE = 0.5  # of POINTS for a prefill endpoint with few decode endpoints in its cell
RATIO_STEPS = 4  # steps to a doubling of the role ratio, at which a large fleet's ring is weighted anew


class PrefillRing:
    """The ring and the role ratio and cells by which its points were last weighted."""

    def __init__(self, index: EndpointIndex) -> None:
        self.index = index
        self.ring = HashRing()
        self._role_ratio = 0.0  # prefill endpoints to a decode endpoint
        self._cell_points: dict[int, int] = {}  # of a prefill endpoint, by cell

    def update(self, changed: list[EndpointState]) -> None:
        """Take over a change of the endpoint list.

        It costs the endpoints of the cells that changed, and all prefill endpoints when the role ratio has
        changed."""
        for endpoint in self._affected(changed):
            self.ring.set_points(endpoint, self.points(endpoint))

    def points(self, endpoint: EndpointState) -> int:
        """Return how many points an endpoint has: fewer where its cell has little decode capacity."""
        if endpoint.entry.status is not EndpointStatus.READY or endpoint.role not in PREFILL_ROLES:
            return 0
        if endpoint.role is Role.MIXED:
            # The more prefill endpoints there are to a decode endpoint, the more it is needed for decoding.
            return round(POINTS / (1 + self._role_ratio))
        return self._prefill_points(endpoint.entry.cell)

    def _affected(self, changed: list[EndpointState]) -> list[EndpointState]:
        """Return the endpoints whose points may differ after a change of the endpoint list."""
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
        """Weight a cell anew and return whether its prefill endpoints have other points now."""
        before = self._cell_points.get(cell)
        self._cell_points[cell] = self._prefill_points(cell)
        return before != self._cell_points[cell]

    def _current_role_ratio(self) -> float:
        """Return the prefill endpoints to a decode endpoint, for a large fleet rounded to a step."""
        prefill = self.index.count(Role.PREFILL)
        decode = self.index.count(Role.DECODE)
        ratio = prefill / max(1, decode)
        if prefill + decode <= MAX_CANDIDATES or not ratio:
            return ratio
        steps: int = round(log2(ratio) * RATIO_STEPS)
        return float(2 ** (steps / RATIO_STEPS))

    def _prefill_points(self, cell: int) -> int:
        """Return how many points a prefill endpoint of a cell has."""
        decode = self.index.cell_counts[RoleInCell(Role.DECODE, cell)]
        prefill = self.index.cell_counts[RoleInCell(Role.PREFILL, cell)]
        share = self._role_ratio * decode / max(1, prefill)
        return round(POINTS * min(1.0, max(MIN_POINTS_SHARE, share)))
