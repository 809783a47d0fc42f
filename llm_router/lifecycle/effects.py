"""Effects that the reducer asks the transport for: plain data, all times on the router's clock."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.events import LifecycleTimer


@dataclass(slots=True, frozen=True)
class OpenAttempt:
    """Send the request to an endpoint, which is told the time that is left to `deadline`.

    `connect_within` bounds the wait for a new connection where KV state cannot wait for it longer."""

    request_id: str
    attempt: int
    endpoint: Endpoint
    deadline: timedelta
    is_prefill: bool
    connect_timeout: timedelta | None = None
    write_deadline: timedelta | None = None  # it may not be written from this time on
    awaits_release: bool = False  # what an earlier attempt left is being released; this waits a moment for it


@dataclass(slots=True, frozen=True)
class AbortAttempt:
    """Give an attempt up by closing its connection; its AttemptEnded is still awaited."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Reserve:
    """Make a reservation at a decode endpoint, once the prefill attempt's last byte is out."""

    request_id: str
    attempt: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class Release:
    """Call an endpoint to release what is held for a request, wherever that is."""

    request_id: str
    accepted_at: timedelta
    call_number: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class CancelReleases:
    """Give up the release calls of a request that are out: what they were for has gone, or is needed anew."""

    request_id: str


@dataclass(slots=True, frozen=True)
class FetchLoadReport:
    """Ask an endpoint for its load report; `server` is its number in the policy."""

    endpoint_id: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class SendRejection:
    """Final answer: rejected, a retry is harmless after a pause."""

    request_id: str
    retry_after: timedelta
    reason: str


@dataclass(slots=True, frozen=True)
class SendFailure:
    """Final answer: failed, nothing is promised. `clash`: a request with its id may have run before."""

    request_id: str
    reason: str
    id_conflict: bool = False


@dataclass(slots=True, frozen=True)
class ScheduleTimer:
    """Feed a TimerFired back at a clock time."""

    at: timedelta
    timer: int | LifecycleTimer


@dataclass(slots=True, frozen=True)
class LogEvent:
    """A line for the log; `seldom`: at most once a second."""

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
