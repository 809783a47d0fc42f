"""Settings of the routing policy: endpoint kinds, request classes, tenants and limits.

All times are integer nanoseconds and all lengths are in tokens. A value is `None` if the deployment does not
give it. `llm_router.settings_codec` maps the names that deployments use to these fields."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """The role of a kind of endpoint: prefill, decode, or both."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


class Idempotency(Enum):
    """The rule for repeating a request after an attempt that may have run."""

    SAFE = "safe"  # The request may be repeated any number of times.
    KEYED = "keyed"  # The request may be repeated within the deduplication scope and window of its class.
    NONE = "none"  # The request must not be repeated.


class DeduplicationScope(Enum):
    """The group of endpoints within which repeats with the same idempotency key are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class KindSettings:
    """A kind of endpoint; `memory_tokens` is the size of its KV memory in tokens."""

    name: str
    role: Role
    memory_tokens: int | None = None


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """A class of requests.

    The objective for the time to the first token is `latency_objective` plus `objective_per_1000_tokens` for
    each 1000 prompt tokens. `token_interval` is the objective for the time between two tokens."""

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
    """A tenant and its quota over all router instances: a share of the capacity and a request rate."""

    name: str
    capacity_share: float | None = None
    requests_per_second: float | None = None


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one router instance's routing policy."""

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
    must_subscribe: bool = False  # Discovery sends the endpoint list only to routers that subscribe.
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
        """Validate the settings; raise ValueError with the operator's key of an invalid setting."""
        if not any(kind.role is not Role.PREFILL for kind in self.kinds):
            raise ValueError("family_info.duty_by_kind: must be write or both for at least one kind")
        if not self.classes:
            raise ValueError("lanes: must not be empty")
        if self.router_count < 1:
            raise ValueError(f"balancers: must be at least 1, got {self.router_count}")
        if not 0 < self.slow_start_share <= 1:
            raise ValueError(f"rules.cold_share: must be above 0 and at most 1, got {self.slow_start_share}")
        if self.max_attempts is not None and self.max_attempts < 1:
            raise ValueError(f"allowed.attempts_cap: must be at least 1, got {self.max_attempts}")
        times = {
            "tick": self.timer_resolution,
            "rules.answer_slack": self.answer_grace,
            "family_info.release_within": self.release_timeout,
            "rules.drain_grace": self.drain_grace,
            "rules.cold": self.slow_start_window,
            "rules.fall": self.overload_window,
            "allowed.max_retry_after": self.max_retry_after,
        }
        for request_class in self.classes:
            path = f"lanes {request_class.name}"
            times[f"{path}: target"] = request_class.latency_objective
            times[f"{path}: hard_limit"] = request_class.deadline
            times[f"{path}: window"] = request_class.deduplication_window
            times[f"{path}: family_info.aim_us_per_1000_prompt_tokens"] = (
                request_class.objective_per_1000_tokens
            )
            times[f"{path}: family_info.token_aim"] = request_class.token_interval
        for name, nanoseconds in times.items():
            if (nanoseconds or 0) < 0:
                raise ValueError(f"{name}: must not be negative, got {nanoseconds} ns")
