"""A consistent hash ring with updates in place and lazy iteration."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain
from typing import NamedTuple
from zlib import crc32

from sortedcontainers import SortedList

from llm_router.routing.endpoint_state import EndpointState

MASK_64_BITS = 0xFFFFFFFFFFFFFFFF


def stable_hash(text: str) -> int:
    """Return a 32-bit hash of a text that is the same in every process.

    Every text has a hash, also one with lone surrogates, which UTF-8 cannot encode. CRC-32 alone distributes
    similar texts unevenly, so the finalizer of SplitMix64 is applied to it."""
    checksum = crc32(text.encode(errors="surrogatepass"))
    value = (checksum + 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9 & MASK_64_BITS
    return ((value ^ value >> 31) * 0x94D049BB133111EB & MASK_64_BITS) >> 32


def jump_hash(key: int, buckets: int) -> int:
    """Return the bucket of a key by jump consistent hashing, in logarithmic time.

    Few keys change their bucket if a bucket is added. The algorithm is that of Lamping and Veach,
    "A Fast, Minimal Memory, Consistent Hash Algorithm"."""
    chosen = -1
    following = 0
    while following < buckets:
        chosen = following
        key = (key * 2862933555777941757 + 1) & MASK_64_BITS
        following = int((chosen + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return chosen


class RingPoint(NamedTuple):
    """A point of an endpoint on the hash ring."""

    position: int
    endpoint_id: int


class HashRing:
    """A consistent hash ring of endpoints, with one or more points per endpoint.

    Processes that give the same endpoints the same numbers of points have identical rings. Adding or removing
    a point takes logarithmic time."""

    def __init__(self) -> None:
        self.points = SortedList()  # all points, as RingPoint objects
        self._endpoints: dict[int, EndpointState] = {}
        self._point_counts: dict[int, int] = {}  # number of points by endpoint ID

    def set_points(self, endpoint: EndpointState, count: int) -> None:
        """Set the number of points that an endpoint has on the ring; 0 removes the endpoint."""
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
        """Yield each endpoint once, in ring order, starting at the position of a key."""
        start = RingPoint(stable_hash(key), -1)
        seen = set()
        for _, endpoint_id in chain(self.points.irange(start), self.points.irange(None, start)):
            if endpoint_id not in seen:
                seen.add(endpoint_id)
                yield self._endpoints[endpoint_id]

    @staticmethod
    def _point(endpoint_id: int, index: int) -> RingPoint:
        return RingPoint(stable_hash(f"{endpoint_id} {index}"), endpoint_id)
