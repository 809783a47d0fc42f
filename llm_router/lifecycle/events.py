"""Events that the transport feeds to the reducer.

They are plain data; all times are `timedelta` on the router's clock."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from llm_router.lifecycle.endpoint import Endpoint
from llm_router.routing.events import NO_REPORT, AttemptStatus, ConnectionFault, LoadReport


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A client's request; one final answer is owed. `idempotency_key` is None where it may run twice."""

    request_id: str
    class_name: str
    prompt_tokens: int
    max_output_tokens: int
    time_remaining: timedelta
    session: str | None = None
    prefix: str | None = None
    prefix_tokens: int = 0
    tenant: str | None = None
    is_retry: bool = False
    resumed: bool = False
    idempotency_key: str | None = None


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected or cancelled."""

    request_id: str


@dataclass(slots=True, frozen=True)
class AttemptWritten:
    """An attempt's connection is up, and its bytes are being written."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class AttemptUnacknowledged:
    """The endpoint's machine has not acknowledged an attempt's last byte after several round trips."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The first event of an attempt's response is being forwarded."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended, and its connection is idle or closed; fields as in the policy's event."""

    request_id: str
    attempt: int
    status: AttemptStatus
    cached_tokens: int = 0
    state_missing: bool = False
    connection_fault: ConnectionFault = ConnectionFault.NONE
    load_report: LoadReport = NO_REPORT


class ReservationOutcome(Enum):
    """How a reservation call ended; the value names it in the log."""

    RESERVED = "reserved"
    REJECTED = "reservation_rejected"  # by an endpoint that knows of the prefill
    NOT_MADE = "reservation_not_made"  # it was not written, or its endpoint did nothing
    UNKNOWN = "reservation_unknown"  # it was answered, and may have been made all the same
    UNANSWERED = "reservation_unanswered"  # it may still be on its way


@dataclass(slots=True, frozen=True)
class ReservationEnded:
    """A reservation call has ended."""

    request_id: str
    attempt: int
    outcome: ReservationOutcome


@dataclass(slots=True, frozen=True)
class ReleaseCallEnded:
    """A release call has ended; `acknowledged`: the endpoint has acknowledged it."""

    request_id: str
    accepted_at: timedelta
    call_number: int
    acknowledged: bool


@dataclass(slots=True, frozen=True)
class RequestDeadline:
    """Timer: a client's time is over.

    `accepted_at`, here and in the other timers, distinguishes the request from an earlier one with the same
    id."""

    request_id: str
    accepted_at: timedelta


@dataclass(slots=True, frozen=True)
class AttemptTimeout:
    """Timer: an attempt has taken as long as the policy allows."""

    request_id: str
    accepted_at: timedelta
    attempt: int


@dataclass(slots=True, frozen=True)
class ReleaseTimer:
    """Timer: a release of what is held for a request is due, or the next round of its calls."""

    request_id: str
    accepted_at: timedelta


@dataclass(slots=True, frozen=True)
class ArrivalTimer:
    """Timer: a prefill that a decode endpoint did not know of has been answered by now, or is missing."""

    request_id: str
    accepted_at: timedelta
    attempt: int


LifecycleTimer = RequestDeadline | AttemptTimeout | ReleaseTimer | ArrivalTimer


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set with ScheduleTimer has fired; the policy's own timers are numbers."""

    timer: int | LifecycleTimer


@dataclass(slots=True, frozen=True)
class EndpointListReceived:
    """The endpoint list: a full snapshot, or the entries that changed.

    `since_last_answer` is how long before this list the previous answer of discovery came, None if there was
    none. `malformed` names the malformed entries."""

    endpoints: tuple[Endpoint, ...]
    is_full: bool
    since_last_answer: timedelta | None = None
    malformed: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class LoadReportReceived:
    """A load probe has ended: its report, where one came in time."""

    endpoint_id: int
    status: AttemptStatus
    elapsed: timedelta
    report: LoadReport


Event = (
    RequestReceived
    | ClientDisconnected
    | AttemptWritten
    | AttemptUnacknowledged
    | ResponseStarted
    | AttemptEnded
    | ReservationEnded
    | ReleaseCallEnded
    | TimerFired
    | EndpointListReceived
    | LoadReportReceived
)
