"""The endpoints that discovery lists."""

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

NO_NUMBER = -1  # of a name that has none; crc32 gives no negative numbers


@dataclass(slots=True, frozen=True)
class Contact:
    """The last sign of whether an endpoint answers, on the router's clock."""

    answered: bool
    at: timedelta


class EndpointTable:
    """The listed endpoints by number, with what is known of each.

    A change costs the same whatever the size of the fleet."""

    def __init__(self, kinds: Iterable[KindSettings], start_times: StartTimes) -> None:
        self.roles: dict[str, Role] = {kind.name: kind.role for kind in kinds}
        self.start_times = start_times
        self.numbering = EndpointNumbering()
        self.endpoints: dict[int, Endpoint] = {}
        self.listed: IndexedSet[int] = IndexedSet()  # the numbers in `endpoints`, for an even spread of them
        self.last_contacts: dict[int, Contact] = {}

    def role(self, endpoint: Endpoint) -> Role:
        """Return the role that the settings give an endpoint's kind."""
        return self.roles[endpoint.kind]

    def find(self, name: str) -> Endpoint | None:
        """Return the endpoint of a name, None if it is not listed."""
        return self.endpoints.get(self.numbering.by_name.get(name, NO_NUMBER))

    def complete(self, entry: Endpoint) -> Endpoint | None:
        """Return a listed entry with its malformed fields as they were known, None if it must be left out.

        A known endpoint whose kind is no longer named in the settings counts as removed."""
        known = self.find(entry.name)
        if known is not None and not (entry.address and entry.kind):
            return replace(known, status=entry.status)
        if entry.address and entry.kind in self.roles:
            return entry
        return None if known is None else replace(known, status=EndpointStatus.REMOVED)

    def put(self, number: int, endpoint: Endpoint) -> None:
        """Add an endpoint, or replace what was known of it."""
        self.endpoints[number] = endpoint
        self.listed.add(number)

    def remove(self, number: int, now: timedelta) -> None:
        """Remove an endpoint with all that is known of it, except for its start time (see StartTimes)."""
        name = self.endpoints.pop(number).name
        self.listed.discard(number)
        self.last_contacts.pop(number, None)
        self.numbering.remove(name)
        self.start_times.remove(name, now)

    def record_contact(self, number: int, now: timedelta, *, answered: bool) -> None:
        """Record whether an endpoint answered just now; release calls go first to those that did."""
        self.last_contacts[number] = Contact(answered, now)
