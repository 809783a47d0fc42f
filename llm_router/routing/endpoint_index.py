"""The servers that a router knows, with indexes that a change of the list costs its entries alone."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from itertools import islice

from llm_router.routing.events import (
    AttemptEnded,
    EndpointListUpdate,
    EndpointStatus,
    FirstToken,
    ReservationResult,
)
from llm_router.routing.indexed_set import IndexedSet
from llm_router.routing.settings import KindSettings, Role
from llm_router.routing.state import Attempt, Server


class Servers(dict[int, Server]):
    """The server list, level with what was told last."""

    def __init__(self, kinds: Iterable[KindSettings]) -> None:
        super().__init__()
        self.kinds = {kind.name: kind for kind in kinds}
        self.by_role: dict[Role, IndexedSet[Server]] = {role: IndexedSet() for role in Role}  # live ones
        self.by_cell: dict[int, IndexedSet[Server]] = {}  # live ones
        self.cells: Counter[tuple[Role, int]] = Counter()  # how many live ones, by role and cell
        self.gone: dict[int, Server] = {}  # that are kept while we await an attempt there
        self.recent: dict[Role, dict[Server, None]] = {role: {} for role in Role}  # lately used last
        self.version = 0  # of the list

    def update(self, event: EndpointListUpdate, now: int) -> list[Server]:
        """Take a list in and give the servers that changed; a whole one removes what it leaves out.

        A gone server stays while we await an attempt there."""
        self.version += 1
        entries = [entry for entry in event.entries or () if entry.kind in self.kinds]
        changed = []
        if event.is_full:
            named = {entry.endpoint_id for entry in entries}
            changed = [server for key, server in self.items() if key not in named]
            for server in changed:
                self.remove(server)
        self.drop_gone()
        for entry in entries:
            kind = self.kinds[entry.kind]
            server = self.get(entry.endpoint_id)
            if server is None:
                server = self[entry.endpoint_id] = Server(entry, kind.role, kind.memory_tokens or 0)
            else:
                self.unindex(server)
            server.renew(entry, kind.role, now)
            self.index(server)
            changed.append(server)
        return changed

    def remove(self, server: Server) -> None:
        """Note that a server is listed no more."""
        self.unindex(server)
        server.entry = replace(server.entry, status=EndpointStatus.REMOVED)
        self.index(server)

    def drop_gone(self) -> None:
        """Forget the gone servers where nothing is awaited any more."""
        for number, server in list(self.gone.items()):
            if not server.out:
                del self.gone[number]
                del self[number]

    def index(self, server: Server) -> None:
        """Enter a server into the indexes, by its state, role and cell."""
        entry = server.entry
        if entry.status is EndpointStatus.REMOVED:
            self.gone[entry.endpoint_id] = server
        if entry.status is not EndpointStatus.READY:
            return
        self.by_role[server.role].add(server)
        self.by_cell.setdefault(entry.cell, IndexedSet()).add(server)
        self.cells[server.role, entry.cell] += 1

    def unindex(self, server: Server) -> None:
        """Take a server out of the indexes, as it was entered."""
        entry = server.entry
        self.gone.pop(entry.endpoint_id, None)
        if entry.status is not EndpointStatus.READY:
            return
        self.by_role[server.role].discard(server)
        self.recent[server.role].pop(server, None)
        cell = self.by_cell[entry.cell]
        cell.discard(server)
        if not cell:
            del self.by_cell[entry.cell]
        self.cells[server.role, entry.cell] -= 1
        if not self.cells[server.role, entry.cell]:
            del self.cells[server.role, entry.cell]

    def live(self, roles: Iterable[Role]) -> list[Server]:
        """Give the servers of some roles that run and do not drain."""
        return [server for role in roles for server in self.by_role[role]]

    def count(self, *roles: Role) -> int:
        """Give how many servers of some roles run and do not drain."""
        return sum(len(self.by_role[role]) for role in roles)

    def live_one(self, number: int | None, roles: Iterable[Role]) -> Server | None:
        """Give a server by its number, if it runs, does not drain and has one of some roles."""
        server = self.get(number)
        if server is None or server.entry.status is not EndpointStatus.READY or server.role not in roles:
            return None
        return server

    def touch(self, server: Server) -> None:
        """Note that a server was used, or told of its load."""
        if server.entry.status is EndpointStatus.READY:
            recent = self.recent[server.role]
            recent.pop(server, None)
            recent[server] = None

    def lately_used(self, roles: Iterable[Role], most: int) -> list[Server]:
        """Give the live servers of some roles that were used last, at most so many of each."""
        return [server for role in roles for server in islice(reversed(self.recent[role]), most)]

    def attempt(self, event: FirstToken | ReservationResult | AttemptEnded) -> Attempt | None:
        """Give the attempt out that an event speaks of."""
        server = self.get(event.endpoint_id)
        return server.out.get((event.request_id, event.attempt)) if server else None
