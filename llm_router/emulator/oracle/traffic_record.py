"""Hold what clients and endpoints observed of each request."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """How far a request may be repeated once it may have run; the values are those of the settings."""

    SAFE = "pure"
    NONE = "side_effect"


class ResourceKind(Enum):
    """What an endpoint can hold for a request."""

    KV_STATE = "KV state"
    RESERVATION = "reservation"


@dataclass(slots=True, frozen=True)
class LeasedResource:
    """Something that one endpoint holds for a request."""

    kind: ResourceKind
    endpoint: str

    def __str__(self) -> str:
        return f"{self.kind.value} at {self.endpoint}"


@dataclass(slots=True)
class RequestRecord:
    """What was observed of one request."""

    id: str
    router: str
    idempotency: Idempotency
    deadline: float | None = None  # when its client gives up; None until its last byte was written
    written_at: float = 0.0  # when its last byte was written
    disconnected_at: float | None = None
    answered: bool = False
    prefills: int = 0  # in flight
    decodes: int = 0  # in flight
    decodes_before_first_token: int = 0  # in flight: what is leased belongs to them
    overlap_began_at: float | None = None  # since when two attempts are in flight
    may_have_run: bool = False  # at a decode endpoint
    leased: set[LeasedResource] = field(default_factory=set)
    lease_timer_started_at: float | None = None  # None while the release timeout does not run
    router_killed: bool = False  # endpoints free what it had leased some seconds later

    @property
    def has_attempt_in_flight(self) -> bool:
        """Return whether an endpoint works on an attempt of the request."""
        return self.prefills > 0 or self.decodes > 0


class TrafficRecord:
    """All requests, and what else was observed of the traffic."""

    def __init__(self) -> None:
        self.requests: dict[str, RequestRecord] = {}
        self.counts: Counter[str] = Counter()
        self.unreachable_until: dict[str, float] = {}  # by endpoint: the end of its last network partition
