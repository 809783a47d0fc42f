"""The configuration of a router instance after all checks."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

from llm_router.routing.settings import Settings

MEGABYTE = 1 << 20
MAX_BODY_BYTES = 256 * 1024  # the protocol's bound on a body
BASELINE_MEMORY = 52 * MEGABYTE  # what the program takes with no request open, measured at 48
MAX_RESERVED_SOCKETS = (
    64  # enough for discovery, the log and rejected clients, however many sockets there are
)


class ConfigurationError(Exception):
    """A configuration that cannot be used; the message starts with the key or the file at fault."""


class HostAndPort(NamedTuple):
    """An address of TCP; an IPv6 host is without brackets."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class XdsFiles(NamedTuple):
    """The files that describe a standalone router's endpoints."""

    clusters: Path
    endpoints: Path


@dataclass(slots=True, frozen=True)
class ResourceLimits:
    """What the process may use: bytes of memory, and sockets."""

    memory_bytes: int
    sockets: int

    @property
    def reserved_sockets(self) -> int:
        """Descriptors for all else: discovery, the log, and clients that are rejected."""
        return min(MAX_RESERVED_SOCKETS, self.sockets // 4)

    @property
    def client_sockets(self) -> int:
        """Client connections: at most a third, as a request may need two to endpoints."""
        return self.sockets // 3

    @property
    def rejected_clients(self) -> int:
        """Client connections over that bound that are open until they have got their rejection."""
        return self.reserved_sockets // 2

    @property
    def upstream_sockets(self) -> int:
        """Connections to endpoints, idle ones included."""
        return self.sockets - self.client_sockets - self.reserved_sockets

    @property
    def body_memory(self) -> int:
        """Bytes of request bodies held at once, which count twice for the copies on their way out."""
        return max(
            8 * MAX_BODY_BYTES, min(self.memory_bytes // 8, (self.memory_bytes - BASELINE_MEMORY) // 4)
        )


@dataclass(slots=True, frozen=True)
class RouterConfig:
    """The configuration of one router instance.

    With `discovery` it serves the platform's protocol, with `xds_files` KServe v2."""

    name: str
    listen: HostAndPort
    settings: Settings
    seed: int
    limits: ResourceLimits
    discovery: HostAndPort | None = None
    initial_endpoints: Mapping[str, object] = field(
        default_factory=dict
    )  # an endpoint list of discovery's form
    connect_timeout: timedelta = timedelta(milliseconds=250)
    idle_timeout: timedelta = timedelta(seconds=15)  # after which endpoints close idle connections
    max_open_requests: int = 20_000
    idempotency_capacity: int = 50_000  # idempotency keys that are remembered
    idempotency_retention: timedelta = timedelta(minutes=10)
    xds_files: XdsFiles | None = None

    def changes_requiring_restart(self, new: RouterConfig) -> list[str]:
        """Return the fields of a reloaded configuration that differ and wait for the next start."""
        names = (each.name for each in fields(self))
        waiting = (name for name in names if name not in RELOADED_FIELDS | IGNORED_BY_RELOAD)
        return [name for name in waiting if getattr(self, name) != getattr(new, name)]


RELOADED_FIELDS = frozenset({"discovery", "xds_files", "limits"})  # what a reload puts in force
IGNORED_BY_RELOAD = frozenset({"seed", "initial_endpoints"})  # new with each start, and of no use to a reload
