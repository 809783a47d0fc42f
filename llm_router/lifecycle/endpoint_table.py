"""The table of the endpoints that discovery lists."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.endpoint_numbering import EndpointNumbering
from llm_router.lifecycle.start_times import StartTimes
from llm_router.routing.events import EndpointStatus
from llm_router.routing.indexed_set import IndexedSet
from llm_router.routing.settings import KindSettings, Role

# Stands for the number of an unknown endpoint name. Real numbers come from crc32 and are never negative.
NO_NUMBER = -1


@dataclass(slots=True, frozen=True)
class Contact:
    """The last contact with an endpoint: whether it answered, and the time on the router's clock."""

    answered: bool
    at: timedelta


class EndpointTable:
    """The listed endpoints by number, with their start times and the last contact with each.

    The cost of a change does not depend on the size of the fleet."""

    def __init__(self, kinds: Iterable[KindSettings], start_times: StartTimes) -> None:
        self.roles: dict[str, Role] = {kind.name: kind.role for kind in kinds}
        self.start_times = start_times
        self.numbering = EndpointNumbering()
        self.endpoints: dict[int, Endpoint] = {}
        # The same numbers as in `endpoints`, from which an evenly spread sample can be taken.
        self.listed: IndexedSet[int] = IndexedSet()
        self.last_contacts: dict[int, Contact] = {}

    def role(self, endpoint: Endpoint) -> Role:
        """Return the role of an endpoint, which the settings define for its kind."""
        return self.roles[endpoint.kind]

    def find(self, name: str) -> Endpoint | None:
        """Return the endpoint with a name, or None if it is not listed."""
        return self.endpoints.get(self.numbering.by_name.get(name, NO_NUMBER))

    def complete(self, entry: Endpoint) -> Endpoint | None:
        """Return an entry of an endpoint list without malformed fields, or None if it must be ignored.

        If the address or the kind is malformed, the last known values of the endpoint are used instead. If
        the settings do not name the kind of a known endpoint, the endpoint counts as removed."""
        known = self.find(entry.name)
        if known is not None and not (entry.address and entry.kind):
            return replace(known, status=entry.status)
        if entry.address and entry.kind in self.roles:
            return entry
        return None if known is None else replace(known, status=EndpointStatus.REMOVED)

    def put(self, number: int, endpoint: Endpoint) -> None:
        """Add an endpoint to the table, or replace its entry."""
        self.endpoints[number] = endpoint
        self.listed.add(number)

    def remove(self, number: int, now: timedelta) -> None:
        """Remove an endpoint and its last contact; StartTimes keeps its start time for a while."""
        name = self.endpoints.pop(number).name
        self.listed.discard(number)
        self.last_contacts.pop(number, None)
        self.numbering.remove(name)
        self.start_times.remove(name, now)

    def record_contact(self, number: int, now: timedelta, *, answered: bool) -> None:
        """Record whether an endpoint answered now; release calls go first to endpoints that answered."""
        self.last_contacts[number] = Contact(answered, now)
