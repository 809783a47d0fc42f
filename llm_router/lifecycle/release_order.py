"""The order in which endpoints are called to release what is held for a request."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import timedelta
from enum import IntEnum
from itertools import chain, zip_longest
from zlib import crc32

from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.endpoint_table import Contact
from llm_router.lifecycle.request import Request
from llm_router.lifecycle.state import RouterState

MAX_ENDPOINTS = 64  # that one pass goes through: of a large fleet an even spread


class ContactRank(IntEnum):
    """What the last contact with an endpoint promises, best first."""

    ANSWERED = 0
    UNKNOWN = 1
    FAILED = 2


def release_order(state: RouterState, request: Request) -> tuple[Endpoint, ...]:
    """Return the endpoint that answered last, then the others with the zones taking turns.

    Any endpoint takes a release. The zones take turns as one may be cut off: all endpoints that took part
    in a request may be in it, and so may all that come first in the list. The endpoints that just failed
    come last, and behind them those that took part and are no longer listed: they are all that is left when
    a list has become empty."""
    by_contact = sorted(
        _candidates(state, request),
        key=lambda number: _contact_key(state.endpoint_table.last_contacts.get(number)),
    )
    listed = [state.endpoints[number] for number in by_contact]
    unlisted = (each.endpoint for each in request.attempts if each.endpoint_id not in state.endpoints)
    ordered = (*_by_turns_of_zones(listed, state.settings.zone), *unlisted)
    return tuple(dict.fromkeys(endpoint for endpoint in ordered if endpoint is not None))


def _candidates(state: RouterState, request: Request) -> Iterator[int]:
    """Yield the numbers of listed endpoints, first those that took part in the request, latest first."""
    start = crc32(request.request_id.encode())  # lest all routers call the same one
    others = state.endpoint_table.listed.sample(MAX_ENDPOINTS, start)
    cut = start % max(1, len(others))
    involved = [attempt.endpoint_id for attempt in reversed(request.attempts)]
    if request.reservation_endpoint_id is not None:
        involved.append(request.reservation_endpoint_id)
    for number in dict.fromkeys([*involved, *others[cut:], *others[:cut]]):
        if number in state.endpoints:
            yield number


def _by_turns_of_zones(endpoints: list[Endpoint], own_zone: str | None) -> Iterable[Endpoint | None]:
    """Return endpoints with their zones taking turns; None stands where a zone has no more.

    The zone of the first endpoint begins, and the router's own comes second."""
    zones: dict[str | None, list[Endpoint]] = {endpoint.zone: [] for endpoint in endpoints[:1]}
    zones.setdefault(own_zone, [])
    for endpoint in endpoints:
        zones.setdefault(endpoint.zone, []).append(endpoint)
    return chain.from_iterable(zip_longest(*zones.values()))


def _contact_key(contact: Contact | None) -> tuple[ContactRank, timedelta]:
    """Return a sort key: latest answer first, then endpoints without contact, then latest failure last."""
    if contact is None:
        return ContactRank.UNKNOWN, timedelta()
    if contact.answered:
        return ContactRank.ANSWERED, -contact.at
    return ContactRank.FAILED, contact.at
