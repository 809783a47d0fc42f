"""The order in which endpoints receive the release calls of a request."""

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

# Maximum number of endpoints that one pass of a release calls, taken evenly from a large fleet.
# The release also calls the endpoints that received attempts or reservation calls of the request.
MAX_ENDPOINTS = 64


class ContactRank(IntEnum):
    """How likely an endpoint is to answer a release call, from its last contact; lower values come first."""

    ANSWERED = 0
    UNKNOWN = 1
    FAILED = 2


def release_order(state: RouterState, request: Request) -> tuple[Endpoint, ...]:
    """Return the endpoints to call for a release, the one with the latest answer first.

    Endpoints to which a close may be late come before it: their answer shows that they are reachable.
    Any endpoint accepts a release call for any request. The other endpoints alternate between zones, because
    a network partition may cut off one zone with all endpoints that the request used. Endpoints whose last
    contact failed come at the end of their zone. Endpoints that the request used but that are not listed now
    come last; if the endpoint list is empty, they are the only ones to call."""
    by_contact = sorted(
        _candidates(state, request),
        key=lambda number: (
            number not in request.lease.unconfirmed_closes,
            _contact_key(state.endpoint_table.last_contacts.get(number)),
        ),
    )
    listed = [state.endpoints[number] for number in by_contact]
    unlisted = (each.endpoint for each in request.attempts if each.endpoint_id not in state.endpoints)
    ordered = (*_interleave_zones(listed, state.settings.zone), *unlisted)
    return tuple(dict.fromkeys(endpoint for endpoint in ordered if endpoint is not None))


def _candidates(state: RouterState, request: Request) -> Iterator[int]:
    """Yield the numbers of listed endpoints to call for a release.

    Endpoints that the request used come first, in reverse order of its attempts."""
    # The start differs between requests, so that the routers do not all call the same endpoint first.
    start = crc32(request.request_id.encode())
    others = state.endpoint_table.listed.sample(MAX_ENDPOINTS, start)
    offset = start % max(1, len(others))
    involved = [attempt.endpoint_id for attempt in reversed(request.attempts)]
    if request.reservation_endpoint_id is not None:
        involved.append(request.reservation_endpoint_id)
    for number in dict.fromkeys([*involved, *others[offset:], *others[:offset]]):
        if number in state.endpoints:
            yield number


def _interleave_zones(endpoints: list[Endpoint], own_zone: str | None) -> Iterable[Endpoint | None]:
    """Return the endpoints in an order that alternates between zones.

    The zone of the first endpoint comes first and the router's own zone second. None takes the place of an
    endpoint where a zone has fewer endpoints than others."""
    zones: dict[str | None, list[Endpoint]] = {endpoint.zone: [] for endpoint in endpoints[:1]}
    zones.setdefault(own_zone, [])
    for endpoint in endpoints:
        zones.setdefault(endpoint.zone, []).append(endpoint)
    return chain.from_iterable(zip_longest(*zones.values()))


def _contact_key(contact: Contact | None) -> tuple[ContactRank, timedelta]:
    """Return the sort key of an endpoint by its last contact.

    The latest answer comes first. Endpoints without contact follow, and the latest failure comes last."""
    if contact is None:
        return ContactRank.UNKNOWN, timedelta()
    if contact.answered:
        return ContactRank.ANSWERED, -contact.at
    return ContactRank.FAILED, contact.at
