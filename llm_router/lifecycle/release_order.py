"""The order in which endpoints are asked to release what is held for a request."""

from __future__ import annotations

from datetime import timedelta
from itertools import chain, zip_longest
from zlib import crc32

from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.state import Request, RouterState

ASKED_MOST = 64  # endpoints that one pass goes through: of a large fleet an even spread


def release_order(state: RouterState, request: Request) -> tuple[Endpoint, ...]:
    """Give the endpoint that answered last first, then the others by turns in every zone.

    Any endpoint takes a release. Guards against a zone that is cut off: all that had part in a request may be
    in it, and so may all that come first in the list. The servers that just failed come last, and behind them
    those that had part and are listed no more: they are all that is left when a list has become empty."""
    start = crc32(request.asked.request_id.encode())  # lest all routers ask the same one
    others = state.listed.spread(ASKED_MOST, start)
    cut = start % max(1, len(others))
    had_part = [attempt.server for attempt in reversed(request.attempts)]
    if request.reserved_at is not None:
        had_part.append(request.reserved_at)
    known = (n for n in dict.fromkeys([*had_part, *others[cut:], *others[:cut]]) if n in state.endpoints)
    order = sorted(known, key=lambda number: last_sign(state, number))
    zones: dict[str | None, list[Endpoint]] = {state.endpoints[n].zone: [] for n in order[:1]}
    zones.setdefault(state.settings.zone, [])
    for endpoint in (state.endpoints[n] for n in order):
        zones.setdefault(endpoint.zone, []).append(endpoint)
    turns = chain.from_iterable(zip_longest(*zones.values()))
    unlisted = (each.endpoint for each in request.attempts if each.server not in state.endpoints)
    return tuple(dict.fromkeys(each for each in (*turns, *unlisted) if each is not None))


def last_sign(state: RouterState, number: int) -> tuple[int, timedelta]:
    """Give a sort key: servers that answered last come first, then unknown ones, then those that failed."""
    if number not in state.signs:
        return 1, timedelta()
    well, at = state.signs[number]
    return (0, -at) if well else (2, at)
