"""Assignment of numbers to endpoints by name, with the same result at all router instances."""

from __future__ import annotations

from zlib import crc32


class EndpointNumbering:
    """The mapping from endpoint names to the numbers that the policy uses.

    The policy's hash ring hashes these numbers, so all router instances must give a name the same number."""

    def __init__(self) -> None:
        self.by_name: dict[str, int] = {}
        self._used: set[int] = set()

    def assign(self, name: str) -> int:
        """Return the number of an endpoint name, and assign one if necessary; no two names share a number."""
        if name not in self.by_name:
            number = crc32(name.encode())
            while number in self._used:
                number += 1
            self.by_name[name] = number
            self._used.add(number)
        return self.by_name[name]

    def remove(self, name: str) -> None:
        """Remove an endpoint name, and free its number for other names."""
        self._used.remove(self.by_name.pop(name))
