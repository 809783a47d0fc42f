"""Events that the routing policy handles.

All times and spans are integer nanoseconds on the policy's clock, all lengths are tokens."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class EndpointStatus(Enum):
    """What the endpoint list says of an endpoint."""

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
    PREFILLED = "prefilled"  # the prompt was processed, and its KV state waits at the prefill endpoint


class ConnectionFault(Enum):
    """Why a failed connect or a reset says nothing of the endpoint."""

    NONE = auto()  # it does: the endpoint refused or broke the connection
    STALE = auto()  # an idle connection was used again; it may have been closed as idle
    LOCAL = auto()  # a system call on the router's own machine failed


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What an endpoint reports of its load; None for what it leaves out.

    `memory_share` is the part of its KV memory in use, `queued_prompt_tokens` the tokens that wait for
    prefill or transfer, `queued_requests` the requests that wait."""

    memory_share: float | None = None
    queued_prompt_tokens: float | None = None
    queued_requests: float | None = None

    def updated(self, later: LoadReport) -> LoadReport:
        """Return this report with the figures of a later one in place of its own."""
        return LoadReport(
            self.memory_share if later.memory_share is None else later.memory_share,
            self.queued_prompt_tokens if later.queued_prompt_tokens is None else later.queued_prompt_tokens,
            self.queued_requests if later.queued_requests is None else later.queued_requests,
        )


NO_REPORT = LoadReport()


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """An entry of the endpoint list; `started_at` is 0 if that was long ago."""

    endpoint_id: int
    kind: str
    zone: str
    cell: int
    status: EndpointStatus
    weight: float = 1.0
    started_at: int = 0


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """The endpoint list: a full snapshot, or the entries that changed.

    `entries` is None where the call to discovery failed."""

    entries: tuple[EndpointEntry, ...] | None
    is_full: bool


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A client's request; one final answer is owed from here on.

    `prefix` names a beginning that the prompt shares with others, of `prefix_tokens` tokens.
    `expected_duration` is that of the answer. `resumed`: its stream was migrated here from another router."""

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
    """The response of an attempt has started."""

    request_id: str
    attempt: int
    endpoint_id: int
    elapsed: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """How an attempt ended.

    `request_closed`: the client has its final answer or has gone.
    `cached_tokens`: prompt tokens that the endpoint found in its cache, with OK and PREFILLED.
    `state_missing`: with OVERLOADED, the KV state to fetch was not there.
    `connection_fault`: with RESET and CONNECT_FAILED."""

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
    """Whether the decode endpoint made the reservation that a Reserve action asked for."""

    request_id: str
    attempt: int
    endpoint_id: int
    reserved: bool


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected or cancelled; nothing is owed any more."""

    request_id: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set with SetTimer has expired."""

    timer_id: int


@dataclass(slots=True, frozen=True)
class LoadProbeEnded:
    """What came of a ProbeLoad action; the report counts where the status is OK."""

    endpoint_id: int
    status: AttemptStatus
    elapsed: int
    report: LoadReport = NO_REPORT


@dataclass(slots=True, frozen=True)
class GossipReceived:
    """A message from another router instance."""

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
