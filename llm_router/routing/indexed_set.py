"""A set of which an even spread of items is found without a look at all of them."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item", bound=Hashable)


class IndexedSet(Generic[Item]):
    """A set whose items have places in a list. Adding and removing take constant time."""

    def __init__(self) -> None:
        self.items: list[Item] = []
        self.places: dict[Item, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def __iter__(self) -> Iterator[Item]:
        return iter(self.items)

    def add(self, item: Item) -> None:
        """Add an item that may be in already."""
        if item not in self.places:
            self.places[item] = len(self.items)
            self.items.append(item)

    def discard(self, item: Item) -> None:
        """Remove an item that may not be in; the last one takes its place."""
        place = self.places.pop(item, None)
        if place is None:
            return
        last = self.items.pop()
        if last is not item:
            self.items[place] = last
            self.places[last] = place

    def spread(self, most: int, turn: int) -> list[Item]:
        """Give at most so many items, evenly spaced; `turn` moves the spread on."""
        step = -(-len(self.items) // most)
        return self.items[turn % step :: step] if step > 1 else list(self.items)
