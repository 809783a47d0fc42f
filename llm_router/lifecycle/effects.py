"""Effects that the reducer returns for the transport to perform.

They are plain data; all times are `timedelta` on the router's clock."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.events import LifecycleTimer


@dataclass(slots=True, frozen=True)
class OpenAttempt:
    """Send the request to an endpoint, with the time that remains until `deadline`.

    `connect_timeout` limits the wait for a new connection where KV state cannot wait for it longer; None for
    no such limit. `write_deadline`: from this time on it may not be written. `awaits_release`: what an
    earlier attempt left is being released, and this one waits a moment for that."""

    request_id: str
    attempt: int
    endpoint: Endpoint
    deadline: timedelta
    is_prefill: bool
    connect_timeout: timedelta | None = None
    write_deadline: timedelta | None = None
    awaits_release: bool = False


@dataclass(slots=True, frozen=True)
class AbortAttempt:
    """Close an attempt's connection; the reducer still waits for its AttemptEnded."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Reserve:
    """Make a reservation at a decode endpoint, once the prefill attempt's last byte is written."""

    request_id: str
    attempt: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class Release:
    """Call an endpoint to release what is held for a request, at whichever endpoint that is.

    `accepted_at` and `call_number` come back in the ReleaseCallEnded."""

    request_id: str
    accepted_at: timedelta
    call_number: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class CancelReleases:
    """Cancel the running release calls of a request: what they were for has gone, or is needed once more."""

    request_id: str


@dataclass(slots=True, frozen=True)
class FetchLoadReport:
    """Fetch an endpoint's load report; `endpoint_id` is its number in the policy."""

    endpoint_id: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class SendRejection:
    """Final answer: rejected, a retry after `retry_after` is harmless."""

    request_id: str
    retry_after: timedelta
    reason: str


@dataclass(slots=True, frozen=True)
class SendFailure:
    """Final answer: failed, nothing is promised. `id_conflict`: a request with its id may have run before."""

    request_id: str
    reason: str
    id_conflict: bool = False


@dataclass(slots=True, frozen=True)
class ScheduleTimer:
    """Feed a TimerFired back at a clock time; a timer of the policy's own is a number."""

    at: timedelta
    timer: int | LifecycleTimer


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Write a line to the log; `rate_limited`: at most once a second."""

    name: str
    fields: dict[str, object]
    rate_limited: bool = False


Effect = (
    OpenAttempt
    | AbortAttempt
    | Reserve
    | Release
    | CancelReleases
    | FetchLoadReport
    | SendRejection
    | SendFailure
    | ScheduleTimer
    | LogEvent
)
