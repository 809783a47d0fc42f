"""Number endpoints by their names, alike at all router instances."""

from __future__ import annotations

from zlib import crc32


class EndpointNumbering:
    """The numbers by which the policy knows endpoints.

    The policy's hash ring hashes these numbers, so all router instances must give a name the same one."""

    def __init__(self) -> None:
        self.by_name: dict[str, int] = {}
        self._used: set[int] = set()

    def assign(self, name: str) -> int:
        """Return the number of a name, a new one if it has none; two names never share a number."""
        if name not in self.by_name:
            number = crc32(name.encode())
            while number in self._used:
                number += 1
            self.by_name[name] = number
            self._used.add(number)
        return self.by_name[name]

    def remove(self, name: str) -> None:
        """Free the number of a name."""
        self._used.remove(self.by_name.pop(name))
