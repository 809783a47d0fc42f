"""Types for the checked configuration of a router instance."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

from llm_router.routing.settings import Settings

MEGABYTE = 1 << 20
MAX_BODY_BYTES = 256 * 1024  # maximum size of a request body in both client protocols
# The process uses 48 MB without open requests; the rest is a margin.
BASELINE_MEMORY = 52 * MEGABYTE
# With less, a few large requests at once would be rejected.
MIN_PEER_MEMORY = 6 * MEGABYTE
# Discovery, the log and rejected clients need no more sockets than this, even under a high socket limit.
MAX_RESERVED_SOCKETS = 64


class ConfigurationError(Exception):
    """Raised for an invalid configuration; the message starts with the invalid key or file."""


class HostAndPort(NamedTuple):
    """A TCP address; an IPv6 host has no brackets."""

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
    """Upper limits on the memory and the sockets of the process."""

    memory_bytes: int
    sockets: int

    @property
    def reserved_sockets(self) -> int:
        """Number of sockets reserved for discovery, the log and clients that are rejected."""
        return min(MAX_RESERVED_SOCKETS, self.sockets // 4)

    @property
    def client_sockets(self) -> int:
        """Maximum number of client connections.

        It is a third of all sockets because a request may need two connections to endpoints."""
        return self.sockets // 3

    @property
    def rejected_clients(self) -> int:
        """Maximum number of connections over `client_sockets` that are open to receive a rejection."""
        return self.reserved_sockets // 2

    @property
    def upstream_sockets(self) -> int:
        """Maximum number of connections to endpoints, including idle connections."""
        return self.sockets - self.client_sockets - self.reserved_sockets

    @property
    def peer_memory(self) -> int:
        """Maximum bytes of memory for the data that clients and endpoints send, with its copies.

        The rest is for the objects of connections and requests, and for messages too small to be counted."""
        available = min(self.memory_bytes // 2, self.memory_bytes - BASELINE_MEMORY)
        return max(MIN_PEER_MEMORY, available * 3 // 4)


@dataclass(slots=True, frozen=True)
class RouterConfig:
    """The configuration of one router instance.

    With `discovery` the instance serves the platform's protocol, with `xds_files` it serves KServe v2."""

    name: str
    listen: HostAndPort
    settings: Settings
    seed: int
    limits: ResourceLimits
    discovery: HostAndPort | None = None
    # Endpoint list in discovery's JSON format, used until discovery answers.
    initial_endpoints: Mapping[str, object] = field(default_factory=dict)
    connect_timeout: timedelta = timedelta(milliseconds=250)
    # Endpoints close a connection that has been idle for this time.
    idle_timeout: timedelta = timedelta(seconds=15)
    max_open_requests: int = 20_000
    idempotency_capacity: int = 50_000  # maximum number of stored idempotency keys
    # The router stores an idempotency key for this time.
    idempotency_retention: timedelta = timedelta(minutes=10)
    # Whether the oldest key is forgotten when all are in use, rather than requests rejected.
    forgets_oldest_key: bool = False
    xds_files: XdsFiles | None = None

    def changes_requiring_restart(self, new: RouterConfig) -> list[str]:
        """Return the names of the changed fields that take effect at the next start, not on a reload."""
        names = (each.name for each in fields(self))
        restart_fields = (name for name in names if name not in RELOADED_FIELDS | IGNORED_BY_RELOAD)
        return [name for name in restart_fields if getattr(self, name) != getattr(new, name)]


# A reload applies new values of these fields.
RELOADED_FIELDS = frozenset({"discovery", "xds_files", "limits"})
# These fields differ at each start and are used only at the start, so a reload ignores changes to them.
IGNORED_BY_RELOAD = frozenset({"seed", "initial_endpoints"})
