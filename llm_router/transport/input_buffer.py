"""Buffers what clients send before its turn, within a budget for all connections together."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ReceivedPiece:
    """Bytes from a client, and the loop's time since which they may have waited in the kernel."""

    data: bytes
    since: float


@dataclass(slots=True)
class InputBudget:
    """The bytes that all connections together may still buffer; negative once it is exceeded."""

    available: int


class InputBuffer:
    """One connection's input that waits for its turn."""

    def __init__(self, budget: InputBudget, max_size: int) -> None:
        self._budget = budget
        self._max_size = max_size
        self._pieces: deque[ReceivedPiece] = deque()
        self._size = 0

    def __bool__(self) -> bool:
        return bool(self._pieces)

    @property
    def is_full(self) -> bool:
        """Whether the connection's or the common bound is exceeded."""
        return self._size > self._max_size or self._budget.available < 0

    def append(self, data: bytes, since: float) -> None:
        """Add bytes, also past the bounds: they have been received."""
        self._pieces.append(ReceivedPiece(data, since))
        self._size += len(data)
        self._budget.available -= len(data)

    def pop(self) -> ReceivedPiece:
        """Remove the oldest piece and return it."""
        piece = self._pieces.popleft()
        self._size -= len(piece.data)
        self._budget.available += len(piece.data)
        return piece

    def clear(self) -> None:
        """Drop everything."""
        self._budget.available += self._size
        self._size = 0
        self._pieces.clear()
