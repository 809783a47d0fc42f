"""A set that is iterated in a reproducible order, from which an even spread of items can be taken."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)


class IndexedSet(Generic[Item]):
    """A set whose items stand in a list; adding and removing take constant time."""

    def __init__(self) -> None:
        self.items: list[Item] = []
        self._indexes: dict[Item, int] = {}

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self.items)

    def __iter__(self) -> Iterator[Item]:
        """Iterate over the items in the order of the list."""
        return iter(self.items)

    def add(self, item: Item) -> None:
        """Add an item, if it is not in the set."""
        if item not in self._indexes:
            self._indexes[item] = len(self.items)
            self.items.append(item)

    def discard(self, item: Item) -> None:
        """Remove an item, if it is in the set; the last item moves to its index."""
        index = self._indexes.pop(item, None)
        if index is None:
            return
        last = self.items.pop()
        if last is not item:
            self.items[index] = last
            self._indexes[last] = index

    def sample(self, limit: int, offset: int) -> list[Item]:
        """Return at most `limit` items, evenly spaced; each `offset` selects other ones."""
        step = -(-len(self.items) // limit)
        return self.items[offset % step :: step] if step > 1 else list(self.items)
