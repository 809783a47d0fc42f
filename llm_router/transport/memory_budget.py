"""Limits the memory of the process that clients and endpoints can fill with the data they send."""

from __future__ import annotations


class MemoryBudget:
    """A budget in bytes of memory.

    `part` returns a budget for one kind of data. Its bytes are counted in the whole budget as well."""

    def __init__(self, capacity: int, parent: MemoryBudget | None = None, share: float = 1.0) -> None:
        self._own_capacity = capacity
        self._parent = parent
        self._share = share
        self._used = 0

    def part(self, share: float) -> MemoryBudget:
        """Return a budget for one kind of data, which may use `share` (0 to 1) of this budget."""
        return MemoryBudget(0, parent=self, share=share)

    @property
    def capacity(self) -> int:
        """The size of the budget in bytes."""
        if self._parent is None:
            return self._own_capacity
        return int(self._parent.capacity * self._share)

    @property
    def is_exceeded(self) -> bool:
        """Whether more is in use than this budget, or its whole budget, may hold."""
        return self._used > self.capacity or (self._parent is not None and self._parent.is_exceeded)

    def resize(self, capacity: int) -> None:
        """Set a new capacity in bytes, which its parts follow; data above it is left to be freed normally."""
        self._own_capacity = capacity

    def add(self, size: int) -> None:
        """Count `size` more bytes in use (fewer, if negative), even beyond the capacity."""
        self._used += size
        if self._parent is not None:
            self._parent.add(size)


class MemoryShare:
    """What one holder of data uses of a budget; its first `allowance` bytes are not counted.

    The allowance keeps small messages possible while others use up the budget."""

    def __init__(self, budget: MemoryBudget, allowance: int = 0) -> None:
        self._budget = budget
        self._allowance = allowance
        self._counted = 0

    def resize(self, size: int) -> bool:
        """Record that the holder uses `size` bytes, and return whether it may go on to use them.

        It may not if this is above its allowance while the budget is exceeded."""
        counted = max(0, size - self._allowance)
        if counted != self._counted:
            self._budget.add(counted - self._counted)
            self._counted = counted
        return not counted or not self._budget.is_exceeded

    def release(self) -> None:
        """Record that the holder uses no memory any more."""
        self.resize(0)
