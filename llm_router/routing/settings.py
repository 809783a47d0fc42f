"""Settings of the routing policy: endpoint kinds, request classes, tenants and limits.

All times are integer nanoseconds and all lengths are tokens. `None` means that the deployment does not say.
The names that deployments use for these fields stand in `llm_router.simulator.settings_codec`."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """What a kind of endpoint does."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


class Idempotency(Enum):
    """How far a request may be repeated once it may have run."""

    SAFE = "safe"  # any number of times
    KEYED = "keyed"  # within the deduplication scope and window of its class
    NONE = "none"  # never


class DeduplicationScope(Enum):
    """Which endpoints drop the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class KindSettings:
    """A kind of endpoint; `memory_tokens` is its KV cache in tokens."""

    name: str
    role: Role
    memory_tokens: int | None = None


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """A class of requests.

    `latency_objective` and `objective_per_1000_tokens` are the objective of the first token: a constant, and
    what each thousand prompt tokens add. `token_interval` is the objective between two tokens."""

    name: str
    latency_objective: int
    deadline: int
    idempotency: Idempotency
    priority_weight: float = 1.0
    late_weight: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0
    objective_per_1000_tokens: int = 0
    token_interval: int | None = None


@dataclass(slots=True, frozen=True)
class TenantSettings:
    """A tenant and its quota over all routers: a share of the capacity, and requests a second."""

    name: str
    capacity_share: float | None = None
    requests_per_second: float | None = None


@dataclass(slots=True, frozen=True)
class Settings:
    """What a router instance is configured with."""

    kinds: tuple[KindSettings, ...]
    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...] = ()
    router_count: int = 1
    router_index: int = 0
    zone: str | None = None
    timer_resolution: int = 0
    over_quota_weight: float = 1.0
    max_attempts: int | None = None
    may_cancel: bool = False
    hedging: bool = False
    load_probes: bool = False
    gossip: bool = False
    reservations: bool = False
    stream_migration: bool = False
    append_prefill: bool = False
    retry_after: bool = False
    max_retry_after: int | None = None
    must_subscribe: bool = False  # the endpoint list comes only to routers that subscribe
    transfer_price: float = 0.0
    probe_price: float = 0.0
    answer_grace: int = 0
    release_timeout: int | None = None
    drain_grace: int = 0
    slow_start_window: int = 0
    slow_start_share: float = 1.0
    overload_factor: float | None = None
    overload_window: int = 0

    def __post_init__(self) -> None:
        """Check that the settings are possible; raise ValueError with the setting's name if not."""
        if not any(kind.role is not Role.PREFILL for kind in self.kinds):
            raise ValueError("kinds: there is no writer and no mixed kind")
        if not self.classes:
            raise ValueError("classes: there are none")
        if self.router_count < 1:
            raise ValueError("routers: must be at least 1")
        if not 0 < self.slow_start_share <= 1:
            raise ValueError("cold_share: must be above 0 and at most 1")
        if self.max_attempts is not None and self.max_attempts < 1:
            raise ValueError("max_attempts: must be at least 1")
        times = {
            "tick": self.timer_resolution,
            "answer_slack": self.answer_grace,
            "release_within": self.release_timeout,
            "drain_grace": self.drain_grace,
            "cold": self.slow_start_window,
            "fall": self.overload_window,
            "max_retry_after": self.max_retry_after,
        }
        for request_class in self.classes:
            path = f"classes.{request_class.name}"
            times[f"{path}.aim"] = request_class.latency_objective
            times[f"{path}.deadline"] = request_class.deadline
            times[f"{path}.window"] = request_class.deduplication_window
            times[f"{path}.aim_per_1000"] = request_class.objective_per_1000_tokens
            times[f"{path}.token_aim"] = request_class.token_interval
        for name, nanoseconds in times.items():
            if (nanoseconds or 0) < 0:
                raise ValueError(f"{name}: a time cannot be negative")
