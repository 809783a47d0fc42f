"""Measures and buffers the input of one client connection that waits to be parsed or answered."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from llm_router.transport.memory_budget import MemoryShare

# Bytes of memory per byte of a request head: the parser keeps each header line as bytes and as text.
HEAD_MEMORY_FACTOR = 2
HEADER_LINE_MEMORY = 200  # bytes of memory for the objects of each header line


@dataclass(slots=True, frozen=True)
class ArrivalTime:
    """The loop times between which bytes from a client have arrived."""

    earliest: float
    received_at: float  # time at which the router received the bytes


@dataclass(slots=True, frozen=True)
class ReceivedPiece:
    """Bytes from a client, and their arrival."""

    data: bytes
    arrival: ArrivalTime


class InputBuffer:
    """The received bytes of one connection that cannot be parsed yet, in order."""

    def __init__(self) -> None:
        self._pieces: deque[ReceivedPiece] = deque()
        self.size = 0  # bytes in the buffer

    def __bool__(self) -> bool:
        return bool(self._pieces)

    def append(self, piece: ReceivedPiece) -> None:
        """Add a piece behind all others."""
        self._pieces.append(piece)
        self.size += len(piece.data)

    def put_back(self, piece: ReceivedPiece) -> None:
        """Add a piece before all others."""
        self._pieces.appendleft(piece)
        self.size += len(piece.data)

    def pop(self) -> ReceivedPiece:
        """Remove and return the oldest piece."""
        piece = self._pieces.popleft()
        self.size -= len(piece.data)
        return piece

    def clear(self) -> None:
        """Drop all pieces."""
        self._pieces.clear()
        self.size = 0


class RequestHeads:
    """The memory in bytes that the request heads of one connection take."""

    def __init__(self) -> None:
        # Bytes parsed since the last complete head or the last byte of a body.
        # They belong to a head, or to the chunk framing or the trailer of a body.
        self.incomplete_size = 0
        self._incomplete_memory = 0
        self._unanswered: deque[int] = deque()
        self.memory = 0  # memory of all heads together

    def add(self, data: bytes) -> None:
        """Add parsed bytes that completed nothing."""
        memory = HEAD_MEMORY_FACTOR * len(data) + HEADER_LINE_MEMORY * data.count(b"\n")
        self.incomplete_size += len(data)
        self._incomplete_memory += memory
        self.memory += memory

    def complete(self) -> None:
        """Record that the incomplete head is complete and waits for its answer."""
        self._unanswered.append(self._incomplete_memory)
        self.incomplete_size = self._incomplete_memory = 0

    def drop_incomplete(self) -> None:
        """Forget the incomplete head."""
        self.memory -= self._incomplete_memory
        self.incomplete_size = self._incomplete_memory = 0

    def drop_last(self) -> None:
        """Free the memory of the head that was completed last and still waits for its answer."""
        if self._unanswered:
            self.memory -= self._unanswered[-1]
            self._unanswered[-1] = 0

    def drop_answered(self) -> None:
        """Forget the oldest complete head, if there is one."""
        if self._unanswered:
            self.memory -= self._unanswered.popleft()


class ClientInput:
    """The input that one connection holds, and its share of the memory for all connections' input."""

    def __init__(self, share: MemoryShare, max_buffer_size: int) -> None:
        self.buffer = InputBuffer()
        self.heads = RequestHeads()
        self._share = share
        self._max_buffer_size = max_buffer_size

    def fits_in_memory(self) -> bool:
        """Update the connection's share of the memory, and return whether the connection may keep it."""
        return self._share.resize(self.heads.memory + self.buffer.size)

    def is_too_large(self) -> bool:
        """Return whether the buffered input is larger than the connection may keep."""
        fits = self.fits_in_memory()
        return bool(self.buffer) and (not fits or self.buffer.size > self._max_buffer_size)

    def release(self) -> None:
        """Drop all input and give the memory back."""
        self.buffer.clear()
        self.heads = RequestHeads()
        self._share.release()
