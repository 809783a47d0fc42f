"""Buffers client input that cannot be parsed yet, within a memory budget shared by all connections."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ReceivedPiece:
    """Bytes from a client, and the earliest loop time at which they can have arrived."""

    data: bytes
    since: float


@dataclass(slots=True)
class InputBudget:
    """The number of bytes that all connections may still buffer; negative if it is exceeded."""

    available: int


class InputBuffer:
    """A buffer for the input of one connection that cannot be parsed yet."""

    def __init__(self, budget: InputBudget, max_size: int) -> None:
        self._budget = budget
        self._max_size = max_size
        self._pieces: deque[ReceivedPiece] = deque()
        self._size = 0

    def __bool__(self) -> bool:
        return bool(self._pieces)

    @property
    def is_full(self) -> bool:
        """Whether the connection's own limit or the shared budget is exceeded."""
        return self._size > self._max_size or self._budget.available < 0

    def append(self, data: bytes, since: float) -> None:
        """Add received bytes, even if this exceeds a limit."""
        self._pieces.append(ReceivedPiece(data, since))
        self._size += len(data)
        self._budget.available -= len(data)

    def pop(self) -> ReceivedPiece:
        """Remove and return the oldest piece."""
        piece = self._pieces.popleft()
        self._size -= len(piece.data)
        self._budget.available += len(piece.data)
        return piece

    def clear(self) -> None:
        """Drop all buffered input and return its bytes to the budget."""
        self._budget.available += self._size
        self._size = 0
        self._pieces.clear()
