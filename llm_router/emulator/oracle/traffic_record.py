"""Store the observations of clients and endpoints for each request."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a request may run a second time; the values are those of the router's settings."""

    SAFE = "pure"
    NONE = "side_effect"


class ResourceKind(Enum):
    """A kind of resource that an endpoint can hold for a request."""

    KV_STATE = "KV state"
    RESERVATION = "reservation"


@dataclass(slots=True, frozen=True)
class LeasedResource:
    """KV state or a reservation that one endpoint holds for a request."""

    kind: ResourceKind
    endpoint: str

    def __str__(self) -> str:
        return f"{self.kind.value} at {self.endpoint}"


@dataclass(slots=True)
class RequestRecord:
    """The observations of one request."""

    id: str
    router: str
    idempotency: Idempotency
    deadline: float | None = None  # time at which the client gives up; None until the request is written
    written_at: float = 0.0  # time at which the last byte of the request was written
    disconnected_at: float | None = None  # time at which the client closed its connection
    answered: bool = False  # The client has received the final answer or its head.
    malformed_at: float | None = None  # time at which the latest stream for the request became malformed
    prefills: int = 0  # number of prefill attempts in flight
    decodes: int = 0  # number of decode attempts in flight
    decodes_before_first_token: int = 0  # decode attempts in flight without a token; they claim the leases
    overlap_began_at: float | None = None  # start of the time with two attempts in flight
    may_have_run: bool = False  # A decode attempt of the request has started.
    leased: set[LeasedResource] = field(default_factory=set)
    lease_timer_started_at: float | None = None  # start time of the release timeout, or None
    router_killed: bool = False  # If set, leases are not checked: endpoints free them some seconds later.

    @property
    def has_attempt_in_flight(self) -> bool:
        """Return whether an endpoint is processing an attempt of the request."""
        return self.prefills > 0 or self.decodes > 0


class TrafficRecord:
    """The records of all requests, with event counts and the partitions of endpoints."""

    def __init__(self) -> None:
        self.requests: dict[str, RequestRecord] = {}
        self.counts: Counter[str] = Counter()
        self.unreachable_until: dict[str, float] = {}  # end of the last network partition, keyed by endpoint
