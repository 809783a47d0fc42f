"""The endpoints that a router instance knows, with indexes by role and cell."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from itertools import islice
from typing import NamedTuple

from llm_router.routing.endpoint_state import AttemptKey, EndpointState
from llm_router.routing.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    FirstToken,
    ReservationResult,
)
from llm_router.routing.indexed_set import IndexedSet
from llm_router.routing.settings import KindSettings, Role
from llm_router.routing.tracked_request import Attempt

PREFILL_ROLES = (Role.PREFILL, Role.MIXED)
DECODE_ROLES = (Role.DECODE, Role.MIXED)


class RoleInCell(NamedTuple):
    """An endpoint role in one cell, used as a key."""

    role: Role
    cell: int


class EndpointIndex(dict[int, EndpointState]):
    """The known endpoints by ID, with indexes of the `READY` endpoints by role and cell.

    The cost of an update depends on the number of changed entries and not on the size of the fleet. A removed
    endpoint stays in the dictionary while it has an open attempt, but it is in none of the indexes."""

    def __init__(self, kinds: Iterable[KindSettings]) -> None:
        super().__init__()
        self.kinds = {kind.name: kind for kind in kinds}
        self.by_role: dict[Role, IndexedSet[EndpointState]] = {role: IndexedSet() for role in Role}
        self.by_cell: dict[int, IndexedSet[EndpointState]] = {}
        self.cell_counts: Counter[RoleInCell] = Counter()
        self.removed: dict[int, EndpointState] = {}
        # The `READY` endpoints that were used, by role, ordered by the time of their last use.
        self.recent: dict[Role, dict[EndpointState, None]] = {role: {} for role in Role}
        self.version = 0  # number of endpoint list updates applied

    def update_list(self, event: EndpointListUpdate, now: int) -> list[EndpointState]:
        """Apply an endpoint list update and return the changed endpoints.

        A full snapshot removes all endpoints that it does not list."""
        self.version += 1
        entries = [entry for entry in event.entries or () if entry.kind in self.kinds]
        changed = self._remove_unlisted(entries) if event.is_full else []
        self._delete_removed()
        changed += [self._update_entry(entry, now) for entry in entries]
        return changed

    def _remove_unlisted(self, entries: list[EndpointEntry]) -> list[EndpointState]:
        listed = {entry.endpoint_id for entry in entries}
        unlisted = [endpoint for endpoint_id, endpoint in self.items() if endpoint_id not in listed]
        for endpoint in unlisted:
            self._unindex(endpoint)
            endpoint.entry = replace(endpoint.entry, status=EndpointStatus.REMOVED)
            self._index(endpoint)
        return unlisted

    def _delete_removed(self) -> None:
        """Delete the removed endpoints that have no open attempt."""
        for endpoint_id, endpoint in list(self.removed.items()):
            if not endpoint.open_attempts:
                del self.removed[endpoint_id]
                del self[endpoint_id]

    def _update_entry(self, entry: EndpointEntry, now: int) -> EndpointState:
        kind = self.kinds[entry.kind]
        endpoint = self.get(entry.endpoint_id)
        if endpoint is None:
            endpoint = EndpointState(entry, kind.role, kind.memory_tokens or 0)
            self[entry.endpoint_id] = endpoint
        else:
            self._unindex(endpoint)
        endpoint.update_entry(entry, kind.role, now)
        self._index(endpoint)
        return endpoint

    def _index(self, endpoint: EndpointState) -> None:
        entry = endpoint.entry
        if entry.status is EndpointStatus.REMOVED:
            self.removed[entry.endpoint_id] = endpoint
        if entry.status is not EndpointStatus.READY:
            return
        self.by_role[endpoint.role].add(endpoint)
        self.by_cell.setdefault(entry.cell, IndexedSet()).add(endpoint)
        self.cell_counts[RoleInCell(endpoint.role, entry.cell)] += 1

    def _unindex(self, endpoint: EndpointState) -> None:
        entry = endpoint.entry
        self.removed.pop(entry.endpoint_id, None)
        if entry.status is not EndpointStatus.READY:
            return
        self.by_role[endpoint.role].discard(endpoint)
        self.recent[endpoint.role].pop(endpoint, None)
        cell = self.by_cell[entry.cell]
        cell.discard(endpoint)
        if not cell:
            del self.by_cell[entry.cell]
        role_in_cell = RoleInCell(endpoint.role, entry.cell)
        self.cell_counts[role_in_cell] -= 1
        if not self.cell_counts[role_in_cell]:
            del self.cell_counts[role_in_cell]

    def ready(self, roles: Iterable[Role]) -> list[EndpointState]:
        """Return the `READY` endpoints that have one of the given roles."""
        return [endpoint for role in roles for endpoint in self.by_role[role]]

    def count(self, *roles: Role) -> int:
        """Return the number of `READY` endpoints that have one of the given roles."""
        return sum(len(self.by_role[role]) for role in roles)

    def find_ready(self, endpoint_id: int | None, roles: Iterable[Role]) -> EndpointState | None:
        """Return the endpoint with this ID if it is `READY` and has one of the given roles, else None."""
        endpoint = None if endpoint_id is None else self.get(endpoint_id)
        if endpoint is None or endpoint.entry.status is not EndpointStatus.READY:
            return None
        return endpoint if endpoint.role in roles else None

    def mark_used(self, endpoint: EndpointState) -> None:
        """Mark an endpoint as the last used one of its role, after an attempt, response or load report."""
        if endpoint.entry.status is EndpointStatus.READY:
            recent = self.recent[endpoint.role]
            recent.pop(endpoint, None)
            recent[endpoint] = None

    def recently_used(self, role: Role, limit: int) -> list[EndpointState]:
        """Return up to `limit` recently used `READY` endpoints of a role, the last used one first."""
        return list(islice(reversed(self.recent[role]), limit))

    def open_attempt(self, event: FirstToken | ReservationResult | AttemptEnded) -> Attempt | None:
        """Return the open attempt to which an event belongs, or None if there is none."""
        endpoint = self.get(event.endpoint_id)
        if endpoint is None:
            return None
        return endpoint.open_attempts.get(AttemptKey(event.request_id, event.attempt))
