"""Actions that the routing policy calls for.

All times and spans are integer nanoseconds on the policy's clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send the request to an endpoint; attempts count from 0. `timeout` 0: until the client gives up.

    `write_deadline`: from this time on it may not be written, even if its connection comes up then."""

    request_id: str
    endpoint_id: int
    timeout: int = 0
    write_deadline: int | None = None


@dataclass(slots=True, frozen=True)
class Reserve:
    """Reserve capacity at a decode endpoint while the prefill runs."""

    request_id: str
    endpoint_id: int


@dataclass(slots=True, frozen=True)
class Release:
    """Release every KV state and reservation of a request that no attempt waits for."""

    request_id: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel one attempt."""

    request_id: str
    attempt: int


class AnswerReason(Enum):
    """Why a request gets a final answer of the router's own; for the log."""

    UNSPECIFIED = "unspecified"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"  # by their number, the class or the deduplication window
    NO_ENDPOINT_IN_TIME = "no_endpoint_in_time"  # none of a phase takes new work before it would be late
    QUEUEING_DELAY = "queueing_delay"  # queues would make it late


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Final answer: rejected, a retry is harmless. `retry_after` 0: no advice on when."""

    request_id: str
    retry_after: int = 0
    reason: AnswerReason = field(default=AnswerReason.UNSPECIFIED, compare=False)


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Final answer: failed, nothing is promised."""

    request_id: str
    reason: AnswerReason = field(default=AnswerReason.UNSPECIFIED, compare=False)


@dataclass(slots=True, frozen=True)
class MigrateStream:
    """End a running stream in good order; its client resumes it at another router instance."""

    request_id: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a TimerFired event at a time."""

    at: int
    timer_id: int


@dataclass(slots=True, frozen=True)
class ProbeLoad:
    """Ask an endpoint for a load report."""

    endpoint_id: int


@dataclass(slots=True, frozen=True)
class SendGossip:
    """Send a message to one router instance, or to all the others where `recipient` is None."""

    recipient: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to the endpoint list."""


@dataclass(slots=True, frozen=True)
class LogLine:
    """A line for the log."""

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
