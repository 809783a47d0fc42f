"""A consistent hash ring that is changed in place and walked lazily."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain
from typing import NamedTuple
from zlib import crc32

from sortedcontainers import SortedList

from llm_router.routing.endpoint_state import EndpointState

MASK_64_BITS = 0xFFFFFFFFFFFFFFFF


def stable_hash(text: str) -> int:
    """Hash a text to 32 bits, the same way in every process.

    CRC-32 alone spreads similar texts badly; the rest is the finalizer of SplitMix64."""
    value = (crc32(text.encode()) + 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9 & MASK_64_BITS
    return ((value ^ value >> 31) * 0x94D049BB133111EB & MASK_64_BITS) >> 32


def jump_hash(key: int, buckets: int) -> int:
    """Return a bucket for a key in logarithmic time; few keys move when a bucket is added.

    Lamping and Veach, "A Fast, Minimal Memory, Consistent Hash Algorithm"."""
    chosen = -1
    following = 0
    while following < buckets:
        chosen = following
        key = (key * 2862933555777941757 + 1) & MASK_64_BITS
        following = int((chosen + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return chosen


class RingPoint(NamedTuple):
    """A point of an endpoint on the ring."""

    position: int
    endpoint_id: int


class HashRing:
    """The points of endpoints on a ring, the same in all processes where their numbers of points agree.

    A change costs the points that come or go, each in logarithmic time."""

    def __init__(self) -> None:
        self.points = SortedList()  # of RingPoint
        self._endpoints: dict[int, EndpointState] = {}
        self._point_counts: dict[int, int] = {}  # by endpoint number

    def set_points(self, endpoint: EndpointState, count: int) -> None:
        """Set how many points an endpoint has; 0 removes it."""
        endpoint_id = endpoint.endpoint_id
        before = self._point_counts.get(endpoint_id, 0)
        for index in range(before, count):
            self.points.add(self._point(endpoint_id, index))
        for index in range(count, before):
            self.points.remove(self._point(endpoint_id, index))
        if count:
            self._point_counts[endpoint_id] = count
            self._endpoints[endpoint_id] = endpoint
        else:
            self._point_counts.pop(endpoint_id, None)
            self._endpoints.pop(endpoint_id, None)

    def walk(self, key: str) -> Iterator[EndpointState]:
        """Yield each endpoint once, in the order of the ring from a key's position."""
        start = RingPoint(stable_hash(key), -1)
        seen = set()
        for _, endpoint_id in chain(self.points.irange(start), self.points.irange(None, start)):
            if endpoint_id not in seen:
                seen.add(endpoint_id)
                yield self._endpoints[endpoint_id]

    @staticmethod
    def _point(endpoint_id: int, index: int) -> RingPoint:
        return RingPoint(stable_hash(f"{endpoint_id} {index}"), endpoint_id)
