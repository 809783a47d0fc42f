"""The state of one accepted request."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum, auto

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.attempt import Arrival, Attempt
from llm_router.lifecycle.kv_lease import KvLease, LeaseState
from llm_router.lifecycle.lease_history import LeaseHistory
from llm_router.routing.events import AttemptStatus


class RequestState(Enum):
    """The progress of a request from its client's point of view."""

    PENDING = auto()  # The client is waiting, and no part of a response has been forwarded.
    STREAMING = auto()  # A response is being forwarded to the client.
    CLOSED = auto()  # The request was rejected, failed or disconnected before a response started.
    CLOSED_AFTER_START = auto()  # The response had started, and is now complete or aborted.


class RequestChange(Enum):
    """An event that moves a request from one state to another."""

    RESPONSE_STARTED = auto()
    CLOSED = auto()


# The next state by change and current state. A change that does not list the current state has no effect.
REQUEST_TRANSITIONS: dict[RequestChange, dict[RequestState, RequestState]] = {
    RequestChange.RESPONSE_STARTED: {
        RequestState.PENDING: RequestState.STREAMING,
    },
    RequestChange.CLOSED: {
        RequestState.PENDING: RequestState.CLOSED,
        RequestState.STREAMING: RequestState.CLOSED_AFTER_START,
    },
}


@dataclass(slots=True)
class Request:
    """An accepted request, which exists until its last attempt has ended and its KV lease is finished."""

    received: events.RequestReceived
    accepted_at: timedelta
    deadline: timedelta
    lease: KvLease
    attempts: list[Attempt] = field(default_factory=list)
    state: RequestState = RequestState.PENDING
    # The decode endpoint of the latest reservation call.
    reservation_endpoint_id: int | None = None
    # The number of release calls made so far, which is also the number of the next release call.
    release_call_count: int = 0
    # The time at which the request's earliest ReleaseTimer fires, or None if none is set.
    release_timer_at: timedelta | None = None
    history: LeaseHistory = field(default_factory=LeaseHistory)
    # The latest lease state in the history.
    recorded_lease_state: LeaseState = LeaseState.EMPTY
    # True once a violation of Invariant.RELEASE_PLANNED was recorded for the request.
    is_release_missing: bool = False

    @property
    def request_id(self) -> str:
        """The id of the request, which comes from the client or the frontend."""
        return self.received.request_id

    @property
    def is_pending(self) -> bool:
        """Whether the client is waiting and no part of a response has been forwarded."""
        return self.state is RequestState.PENDING

    @property
    def is_closed(self) -> bool:
        """Whether the client has its final answer or has disconnected."""
        return self.state in (RequestState.CLOSED, RequestState.CLOSED_AFTER_START)

    @property
    def response_started(self) -> bool:
        """Whether a response to the request has started, even if it has ended since."""
        return self.state in (RequestState.STREAMING, RequestState.CLOSED_AFTER_START)

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt of the request has ended and may have had an effect."""
        return any(attempt.may_have_run for attempt in self.attempts)

    @property
    def has_running_attempt(self) -> bool:
        """Whether an attempt of the request is still running."""
        return any(attempt.is_running for attempt in self.attempts)

    @property
    def running_prefills(self) -> list[Attempt]:
        """The running prefill attempts that were written and are not known to be missing."""
        return [
            attempt
            for attempt in self.attempts
            if attempt.is_prefill
            and attempt.is_running
            and attempt.was_written
            and attempt.arrival is not Arrival.MISSING
        ]

    @property
    def has_running_decode(self) -> bool:
        """Whether a decode attempt that was written is still running."""
        return any(
            not attempt.is_prefill and attempt.is_running and attempt.was_written for attempt in self.attempts
        )

    @property
    def only_lease_remains(self) -> bool:
        """Whether the request is closed and no attempt runs, so that only its KV lease can be unfinished."""
        return self.is_closed and not self.has_running_attempt

    def may_release(self, now: timedelta) -> bool:
        """Return whether release calls may be made now.

        A release would free the KV state of a running prefill, so a running prefill delays it. Release calls
        are made all the same while an earlier prefill may still run after its connection was reset. They are
        also made if the release is overdue and no running prefill is known to have arrived. A release call
        does not free KV state that a decode attempt has claimed."""
        prefills = self.running_prefills
        if not prefills or now < self.lease.prefill_may_run_until:
            return True
        has_arrived = any(prefill.arrival is Arrival.ARRIVED for prefill in prefills)
        return self.lease.schedule.is_overdue(now) and not has_arrived

    def record_lease_state(self, now: timedelta) -> None:
        """Add the state of the KV lease to the history if it has changed."""
        if self.lease.state is not self.recorded_lease_state:
            self.recorded_lease_state = self.lease.state
            self.history.record(now, f"lease {self.lease.state.name.lower()}")

    def change(self, change: RequestChange) -> None:
        """Move the request to the state that REQUEST_TRANSITIONS gives for a change."""
        self.state = REQUEST_TRANSITIONS[change].get(self.state, self.state)

    def abort_attempt(self, index: int, status: AttemptStatus) -> list[effects.AbortAttempt]:
        """Abort a running attempt, which then ends with this status, and return the effect that does so."""
        attempt = self.attempts[index]
        if not attempt.is_running or attempt.abort_status is not None:
            return []
        attempt.abort_status = status
        return [effects.AbortAttempt(self.request_id, index)]

    def abort_all_attempts(self, status: AttemptStatus) -> list[effects.AbortAttempt]:
        """Abort all running attempts, which then end with this status, and return the effects that do so."""
        return [effect for index in range(len(self.attempts)) for effect in self.abort_attempt(index, status)]
