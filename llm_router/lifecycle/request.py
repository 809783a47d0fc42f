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
    """What the client of a request is still owed."""

    PENDING = auto()  # an answer, of which nothing has been forwarded
    STREAMING = auto()  # the rest of a response that is being forwarded
    CLOSED = auto()  # nothing: rejected, failed or disconnected before a response had started
    CLOSED_AFTER_START = auto()  # nothing: the response had started, and is complete or broken off


class RequestChange(Enum):
    """What happens to a request."""

    RESPONSE_STARTED = auto()
    CLOSED = auto()


# A state that a change does not list stays as it is.
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
    """An accepted request, until its last attempt has ended and its KV lease is released."""

    received: events.RequestReceived
    accepted_at: timedelta
    deadline: timedelta
    lease: KvLease
    attempts: list[Attempt] = field(default_factory=list)
    state: RequestState = RequestState.PENDING
    reservation_endpoint_id: int | None = None  # the decode endpoint of the latest reservation call
    release_call_count: int = 0  # release calls made so far, which numbers the next one
    release_timer_at: timedelta | None = None  # when the ReleaseTimer timer fires that is set
    history: LeaseHistory = field(default_factory=LeaseHistory)
    recorded_lease_state: LeaseState = LeaseState.EMPTY  # the last one in the history
    is_release_missing: bool = False  # a violation of Invariant.RELEASE_PLANNED was recorded

    @property
    def request_id(self) -> str:
        """The id that the client, or the frontend on its behalf, gave the request."""
        return self.received.request_id

    @property
    def is_pending(self) -> bool:
        """Whether the client is owed an answer of which nothing has been forwarded."""
        return self.state is RequestState.PENDING

    @property
    def is_closed(self) -> bool:
        """Whether the client has its final answer or has disconnected."""
        return self.state in (RequestState.CLOSED, RequestState.CLOSED_AFTER_START)

    @property
    def response_started(self) -> bool:
        """Whether a response has started, even if it has ended since."""
        return self.state in (RequestState.STREAMING, RequestState.CLOSED_AFTER_START)

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt has ended that may have had an effect."""
        return any(attempt.may_have_run for attempt in self.attempts)

    @property
    def has_running_attempt(self) -> bool:
        """Whether an attempt has not ended."""
        return any(attempt.is_running for attempt in self.attempts)

    @property
    def running_prefills(self) -> list[Attempt]:
        """The written prefills that run and may have reached their endpoints: their KV state is theirs."""
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
        """Whether an attempt runs that was written to a decode endpoint."""
        return any(
            not attempt.is_prefill and attempt.is_running and attempt.was_written for attempt in self.attempts
        )

    @property
    def only_lease_remains(self) -> bool:
        """Whether the client is owed nothing and no attempt runs, so that only releases can be left."""
        return self.is_closed and not self.has_running_attempt

    def may_release(self, now: timedelta) -> bool:
        """Return whether release calls may be made now.

        A release would take the KV state of a running prefill, so none is made meanwhile, except where an
        earlier prefill whose connection broke may run on, or where the release time of something that may be
        held is over and nothing shows that the prefill arrived. A decode attempt that waits for a KV state
        keeps it."""
        prefills = self.running_prefills
        if not prefills or now < self.lease.prefill_may_run_until:
            return True
        has_arrived = any(prefill.arrival is Arrival.ARRIVED for prefill in prefills)
        return self.lease.schedule.is_overdue(now) and not has_arrived

    def record_lease_state(self, now: timedelta) -> None:
        """Add the lease's state to the history where it has changed."""
        if self.lease.state is not self.recorded_lease_state:
            self.recorded_lease_state = self.lease.state
            self.history.record(now, f"lease {self.lease.state.name.lower()}")

    def change(self, change: RequestChange) -> None:
        """Enter the state that follows a change."""
        self.state = REQUEST_TRANSITIONS[change].get(self.state, self.state)

    def abort_attempt(self, index: int, status: AttemptStatus) -> list[effects.AbortAttempt]:
        """Return the effect that closes a running attempt's connection, which counts with this status."""
        attempt = self.attempts[index]
        if not attempt.is_running or attempt.abort_status is not None:
            return []
        attempt.abort_status = status
        return [effects.AbortAttempt(self.request_id, index)]

    def abort_all_attempts(self, status: AttemptStatus) -> list[effects.AbortAttempt]:
        """Return the effects that close the connections of all running attempts."""
        return [effect for index in range(len(self.attempts)) for effect in self.abort_attempt(index, status)]
