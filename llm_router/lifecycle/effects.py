"""Effects that the reducer returns and the transport performs.

An effect is plain data. All times are `timedelta` values on the router's clock."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.events import LifecycleTimer


@dataclass(slots=True, frozen=True)
class OpenAttempt:
    """Send the request to an endpoint, with the time that remains until `deadline`.

    `connect_timeout` limits the wait for a new connection, so that the KV state does not wait too long; None
    means no such limit. After `write_deadline` the attempt must not be written. If `awaits_release` is true,
    KV state of a previous attempt is being released, and this attempt waits briefly for that."""

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
    """Close the connection of an attempt; the reducer still expects the AttemptEnded event."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Reserve:
    """Make a reservation at a decode endpoint after the last byte of the prefill attempt is written."""

    request_id: str
    attempt: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class Release:
    """Call an endpoint to release the KV state and reservations of a request at all endpoints.

    The transport returns `accepted_at` and `call_number` in the ReleaseCallEnded event."""

    request_id: str
    accepted_at: timedelta
    call_number: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class CancelReleases:
    """Cancel the running release calls of a request, because its KV state is freed or needed again."""

    request_id: str


@dataclass(slots=True, frozen=True)
class FetchLoadReport:
    """Fetch the load report of an endpoint; `endpoint_id` is its number in the policy."""

    endpoint_id: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class SendRejection:
    """Send the final answer that the request is rejected; the client may safely retry after `retry_after`."""

    request_id: str
    retry_after: timedelta
    reason: str


@dataclass(slots=True, frozen=True)
class SendFailure:
    """Send the final answer that the request failed; it may have had an effect.

    `id_conflict` is true if an earlier request with the same id may have run."""

    request_id: str
    reason: str
    id_conflict: bool = False


@dataclass(slots=True, frozen=True)
class ScheduleTimer:
    """Feed a TimerFired event to the reducer at the time `at`; the policy's own timers are numbers."""

    at: timedelta
    timer: int | LifecycleTimer


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Write a line to the log; if `rate_limited` is true, at most one line of this name a second."""

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
