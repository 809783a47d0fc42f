"""Events that the routing policy handles.

All times and durations are integer nanoseconds on the policy's clock. All lengths are in tokens."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class EndpointStatus(Enum):
    """The status of an endpoint in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class AttemptStatus(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    PREFILLED = "prefilled"  # The prefill endpoint computed the KV state and keeps it for a decode attempt.


class ConnectionFault(Enum):
    """The cause of a connect failure or connection reset, if the endpoint did not cause it."""

    NONE = auto()  # The endpoint refused or reset the connection.
    STALE = auto()  # The attempt used an idle pooled connection, which the endpoint may have closed as idle.
    LOCAL = auto()  # A system call failed on the router's own host.


@dataclass(slots=True, frozen=True)
class LoadReport:
    """An endpoint's own figures of its load; a figure that it does not report is None.

    `memory_share` is the share of its KV memory in use. `queued_prompt_tokens` counts the prompt tokens
    that wait for prefill or transfer. `queued_requests` counts the waiting requests."""

    memory_share: float | None = None
    queued_prompt_tokens: float | None = None
    queued_requests: float | None = None

    def updated(self, later: LoadReport) -> LoadReport:
        """Return a copy of this report in which the figures of a later report replace the old ones."""
        return LoadReport(
            self.memory_share if later.memory_share is None else later.memory_share,
            self.queued_prompt_tokens if later.queued_prompt_tokens is None else later.queued_prompt_tokens,
            self.queued_requests if later.queued_requests is None else later.queued_requests,
        )


NO_REPORT = LoadReport()


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """An entry of the endpoint list.

    `started_at` is the endpoint's start time, or 0 if it started long ago."""

    endpoint_id: int
    kind: str
    zone: str
    cell: int
    status: EndpointStatus
    weight: float = 1.0
    started_at: int = 0


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """An update of the endpoint list: a full snapshot, or only the changed entries.

    `entries` is None if the call to discovery failed."""

    entries: tuple[EndpointEntry, ...] | None
    is_full: bool


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A client's request has arrived; the policy gives it exactly one final answer.

    `prefix` identifies a prefix of `prefix_tokens` tokens that the prompt shares with other prompts.
    `expected_duration` is the expected duration of the response. `resumed` is True if the response stream was
    migrated from another router instance."""

    request_id: str
    class_name: str
    prompt_tokens: int
    max_output_tokens: int
    time_remaining: int
    session: str | None = None
    prefix: str | None = None
    prefix_tokens: int = 0
    expected_duration: int | None = None
    tenant: str | None = None
    is_retry: bool = False
    resumed: bool = False


@dataclass(slots=True, frozen=True)
class FirstToken:
    """The first token of an attempt's response has arrived."""

    request_id: str
    attempt: int
    endpoint_id: int
    elapsed: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended.

    `request_closed` is True if the client has its final answer or has disconnected.
    `cached_tokens` counts the prompt tokens found in the endpoint's cache, if the status is OK or PREFILLED.
    `state_missing` is True if the status is OVERLOADED because the decode endpoint did not find the KV state.
    `connection_fault` is the cause of a connection failure, if the status is RESET or CONNECT_FAILED."""

    request_id: str
    attempt: int
    endpoint_id: int
    status: AttemptStatus
    elapsed: int
    request_closed: bool = False
    cached_tokens: int = 0
    state_missing: bool = False
    connection_fault: ConnectionFault = ConnectionFault.NONE
    load_report: LoadReport = NO_REPORT


@dataclass(slots=True, frozen=True)
class ReservationResult:
    """A decode endpoint has answered a reservation request; `reserved` is True if it made the reservation."""

    request_id: str
    attempt: int
    endpoint_id: int
    reserved: bool


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected or cancelled; it needs no final answer any more."""

    request_id: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that a SetTimer action started has expired."""

    timer_id: int


@dataclass(slots=True, frozen=True)
class LoadProbeEnded:
    """The load probe of a ProbeLoad action has ended; `report` is valid only if the status is OK."""

    endpoint_id: int
    status: AttemptStatus
    elapsed: int
    report: LoadReport = NO_REPORT


@dataclass(slots=True, frozen=True)
class GossipReceived:
    """A gossip message from another router instance has arrived."""

    sender: int
    data: bytes


Event = (
    EndpointListUpdate
    | RequestReceived
    | FirstToken
    | AttemptEnded
    | ReservationResult
    | ClientDisconnected
    | TimerFired
    | LoadProbeEnded
    | GossipReceived
)
