"""Actions: the decisions that the routing policy returns for an event.

All times and durations are integer nanoseconds on the policy's clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send the request to an endpoint.

    The attempts of a request are numbered from 0 in the order of these actions. A `timeout` of 0 lets the
    attempt run until the client gives up. The request must not be written to a connection at or after
    `write_deadline`."""

    request_id: str
    endpoint_id: int
    timeout: int = 0
    write_deadline: int | None = None


@dataclass(slots=True, frozen=True)
class Reserve:
    """Reserve decode capacity at a decode endpoint while the request's prefill runs."""

    request_id: str
    endpoint_id: int


@dataclass(slots=True, frozen=True)
class Release:
    """Release the KV state and reservations of a request, except those that its running attempt needs."""

    request_id: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel one attempt of a request."""

    request_id: str
    attempt: int


class AnswerReason(Enum):
    """Why the router rejects or fails a request; the reason appears only in the log."""

    UNSPECIFIED = "unspecified"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    # The attempt limit, the class's idempotency or the deduplication window allows no further attempt.
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    # No prefill endpoint, or no decode endpoint, accepts new requests before this request would be late.
    NO_ENDPOINT_IN_TIME = "no_endpoint_in_time"
    # The expected wait in the endpoints' queues would make the request late.
    QUEUEING_DELAY = "queueing_delay"
    # A decision about the request failed with an internal error.
    INTERNAL_ERROR = "internal_error"


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Reject the request: the client learns that it had no effect, so that a retry is harmless.

    A `retry_after` of 0 gives the client no advice on when to retry."""

    request_id: str
    retry_after: int = 0
    reason: AnswerReason = field(default=AnswerReason.UNSPECIFIED, compare=False)


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Fail the request: the client does not learn whether it had an effect."""

    request_id: str
    reason: AnswerReason = field(default=AnswerReason.UNSPECIFIED, compare=False)


@dataclass(slots=True, frozen=True)
class MigrateStream:
    """End a running response stream in good order; its client resumes it at another router instance."""

    request_id: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a TimerFired event at the time `at`."""

    at: int
    timer_id: int


@dataclass(slots=True, frozen=True)
class ProbeLoad:
    """Ask an endpoint for a load report."""

    endpoint_id: int


@dataclass(slots=True, frozen=True)
class SendGossip:
    """Send a gossip message to one router instance, or to all others if `recipient` is None."""

    recipient: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to the endpoint list."""


@dataclass(slots=True, frozen=True)
class LogLine:
    """Write one line to the log."""

    text: str


Action = (
    StartAttempt
    | Reserve
    | Release
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | MigrateStream
    | SetTimer
    | ProbeLoad
    | SendGossip
    | WatchEndpoints
    | LogLine
)
