"""Events that the transport feeds to the reducer.

An event is plain data. All times are `timedelta` values on the router's clock."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from llm_router.lifecycle.endpoint import Endpoint
from llm_router.routing.events import NO_REPORT, AttemptStatus, ConnectionFault, LoadReport


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A client has sent a request, which must get exactly one final answer.

    `idempotency_key` is None if the request may run twice."""

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
    """The client has disconnected or has cancelled its request."""

    request_id: str


@dataclass(slots=True, frozen=True)
class AttemptWritten:
    """The connection of an attempt is established, and its bytes are being written."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class AttemptUnacknowledged:
    """The host of an endpoint has not acknowledged the last byte of an attempt after several round trips."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The first part of the response to an attempt is being forwarded to the client."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended, and its connection is idle or closed.

    The fields have the same meaning as in the policy's AttemptEnded event."""

    request_id: str
    attempt: int
    status: AttemptStatus
    cached_tokens: int = 0
    state_missing: bool = False
    connection_fault: ConnectionFault = ConnectionFault.NONE
    load_report: LoadReport = NO_REPORT


class ReservationOutcome(Enum):
    """The outcome of a reservation call; its value is the outcome's name in the log."""

    # The endpoint made the reservation.
    RESERVED = "reserved"
    # The endpoint knows the prefill and made no reservation.
    REJECTED = "reservation_rejected"
    # The call was not written, or the endpoint did nothing.
    NOT_MADE = "reservation_not_made"
    # The endpoint answered, but the answer does not show whether it made a reservation.
    UNKNOWN = "reservation_unknown"
    # The endpoint has not answered, and the call may still reach it.
    UNANSWERED = "reservation_unanswered"


@dataclass(slots=True, frozen=True)
class ReservationEnded:
    """A reservation call has ended."""

    request_id: str
    attempt: int
    outcome: ReservationOutcome


@dataclass(slots=True, frozen=True)
class ReleaseCallEnded:
    """A release call has ended; `acknowledged` is true if the endpoint acknowledged it.

    `failed_locally` is true if it was not made, because the router had no socket for it."""

    request_id: str
    accepted_at: timedelta
    call_number: int
    acknowledged: bool
    failed_locally: bool = False


@dataclass(slots=True, frozen=True)
class RequestDeadline:
    """Timer that fires shortly after the deadline of a request.

    In each timer, `accepted_at` distinguishes the request from an earlier one with the same id."""

    request_id: str
    accepted_at: timedelta


@dataclass(slots=True, frozen=True)
class AttemptTimeout:
    """Timer that fires when an attempt has run for the time that the policy allows."""

    request_id: str
    accepted_at: timedelta
    attempt: int


@dataclass(slots=True, frozen=True)
class ReleaseTimer:
    """Timer that fires when a release of a request, or the next round of its release calls, is due."""

    request_id: str
    accepted_at: timedelta


@dataclass(slots=True, frozen=True)
class ArrivalTimer:
    """Timer after which a running prefill without an answer counts as missing.

    It is set when a decode endpoint answers for the second time that it does not know the prefill."""

    request_id: str
    accepted_at: timedelta
    attempt: int


LifecycleTimer = RequestDeadline | AttemptTimeout | ReleaseTimer | ArrivalTimer


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that a ScheduleTimer effect set has fired; the policy's own timers are numbers."""

    timer: int | LifecycleTimer


@dataclass(slots=True, frozen=True)
class EndpointListReceived:
    """Discovery has sent an endpoint list, either a full snapshot or only the entries that changed.

    `since_last_answer` is the time since the previous answer of discovery, or None if there was none.
    `malformed` has the names of the malformed entries."""

    endpoints: tuple[Endpoint, ...]
    is_full: bool
    since_last_answer: timedelta | None = None
    malformed: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class LoadReportReceived:
    """A load probe has ended; `report` has values only if the endpoint answered in time."""

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
