"""A consistent hash ring that is changed in place and walked lazily."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain
from zlib import crc32

from sortedcontainers import SortedList

from llm_router.routing.state import Server

MASK = 0xFFFFFFFFFFFFFFFF


def mix(text: str) -> int:
    """Hash a text to 32 bits, the same way in every process."""
    value = (crc32(text.encode()) + 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9 & MASK
    return ((value ^ value >> 31) * 0x94D049BB133111EB & MASK) >> 32


def jump_hash(key: int, buckets: int) -> int:
    """Give a bucket for a key in logarithmic time; few keys move when there are more buckets.

    Lamping and Veach, "A Fast, Minimal Memory, Consistent Hash Algorithm"."""
    chosen, following = -1, 0
    while following < buckets:
        chosen = following
        key = (key * 2862933555777941757 + 1) & MASK
        following = int((chosen + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return chosen


class Ring:
    """The points of servers on a ring, the same wherever servers have the same number of points.

    A change costs the points that come or go, each in logarithmic time."""

    def __init__(self) -> None:
        self.places = SortedList()  # of (place, server's number)
        self.servers: dict[int, Server] = {}
        self.parts: dict[int, int] = {}  # points by server's number

    @property
    def points(self) -> Iterator[tuple[int, Server]]:
        """Give every place with its server, in order."""
        return ((place, self.servers[number]) for place, number in self.places)

    def set_points(self, server: Server, points: int) -> None:
        """Give a server so many points; none removes it."""
        number = server.entry.endpoint_id
        before = self.parts.get(number, 0)
        for index in range(before, points):
            self.places.add((mix(f"{number} {index}"), number))
        for index in range(points, before):
            self.places.remove((mix(f"{number} {index}"), number))
        if points:
            self.parts[number], self.servers[number] = points, server
        else:
            self.parts.pop(number, None)
            self.servers.pop(number, None)

    def walk(self, key: str) -> Iterator[Server]:
        """Give each server once, in the order of the ring from a key's place."""
        start = (mix(key), -1)
        seen = set()
        for _, number in chain(self.places.irange(start), self.places.irange(None, start)):
            if number not in seen:
                seen.add(number)
                yield self.servers[number]
