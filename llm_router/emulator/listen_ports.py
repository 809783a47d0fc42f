"""Reserves loopback ports for the processes of a test, so that no other process takes them first."""

from __future__ import annotations

import random
import socket
from collections import deque
from contextlib import suppress

LOOPBACK = "127.0.0.1"
# Range of listening ports. It is below the ephemeral ports, which the kernel assigns to outgoing connections.
LISTEN_PORTS = (12_000, 32_000)
MAX_RESERVED_PORTS = 256  # More would take up the descriptors of a long run; the oldest are given up.

# Sockets that are bound and do not listen.
_reservations: deque[socket.socket] = deque(maxlen=MAX_RESERVED_PORTS)


def reserve_port() -> int:
    """Return a loopback port that only a listener with SO_REUSEADDR can use while this process runs."""
    while True:
        reservation = socket.socket()
        with suppress(OSError):
            reservation.bind((LOOPBACK, random.randrange(*LISTEN_PORTS)))
            # Only after the bind, which would otherwise share the port of another reservation.
            reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            _reservations.append(reservation)
            return int(reservation.getsockname()[1])
        reservation.close()
