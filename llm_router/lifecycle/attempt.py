"""The state of an attempt, one sending of a request to one endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, auto

from llm_router.lifecycle.endpoint import Endpoint
from llm_router.routing.events import AttemptStatus

MAY_HAVE_RUN = frozenset(  # after these the request may have had an effect at a decode endpoint
    {
        AttemptStatus.OK,
        AttemptStatus.ERROR,
        AttemptStatus.TIMEOUT,
        AttemptStatus.RESET,
        AttemptStatus.CANCELLED,
    }
)
STILL_RUNNING = "out"  # how the log shows an attempt that has not ended


class AttemptState(Enum):
    """How far an attempt has come."""

    CONNECTING = auto()  # no byte has been written
    WRITTEN = auto()  # bytes may have reached the endpoint
    RESPONDING = auto()  # its response is being forwarded to the client
    ENDED_UNWRITTEN = auto()  # ended before a byte was written
    ENDED = auto()  # ended after bytes may have reached the endpoint


class AttemptChange(Enum):
    """What happens to an attempt."""

    WRITTEN = auto()
    RESPONSE_STARTED = auto()
    ENDED = auto()


# A state that a change does not list stays as it is.
ATTEMPT_TRANSITIONS: dict[AttemptChange, dict[AttemptState, AttemptState]] = {
    AttemptChange.WRITTEN: {
        AttemptState.CONNECTING: AttemptState.WRITTEN,
        AttemptState.ENDED_UNWRITTEN: AttemptState.ENDED,
    },
    AttemptChange.RESPONSE_STARTED: {
        AttemptState.CONNECTING: AttemptState.RESPONDING,
        AttemptState.WRITTEN: AttemptState.RESPONDING,
        AttemptState.ENDED_UNWRITTEN: AttemptState.ENDED,
    },
    AttemptChange.ENDED: {
        AttemptState.CONNECTING: AttemptState.ENDED_UNWRITTEN,
        AttemptState.WRITTEN: AttemptState.ENDED,
        AttemptState.RESPONDING: AttemptState.ENDED,
    },
}


class Arrival(Enum):
    """What is known of the arrival of a written attempt at its endpoint.

    UNKNOWN may become DOUBTED, and both may become MISSING. A reservation call whose answer shows that the
    prefill is known makes each of them ARRIVED."""

    UNKNOWN = auto()  # it counts as arrived, as most have
    DOUBTED = auto()  # a decode endpoint that was to make a reservation did not know of it
    ARRIVED = auto()  # another endpoint knows of it
    MISSING = auto()  # its last byte seems never to have arrived

    @property
    def is_settled(self) -> bool:
        """Whether it is known that the attempt arrived, or that it did not."""
        return self in (Arrival.ARRIVED, Arrival.MISSING)


@dataclass(slots=True)
class Attempt:
    """One sending of a request to one endpoint."""

    endpoint_id: int
    is_prefill: bool
    opened_at: timedelta
    endpoint: Endpoint | None = None  # None if it was no longer listed
    state: AttemptState = AttemptState.CONNECTING
    arrival: Arrival = Arrival.UNKNOWN
    abort_status: AttemptStatus | None = None  # how it counts once its aborted connection is closed
    status: AttemptStatus | None = None  # how it ended

    @property
    def endpoint_name(self) -> str:
        """The name of its endpoint, empty if that was no longer listed."""
        return "" if self.endpoint is None else self.endpoint.name

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.state not in (AttemptState.ENDED_UNWRITTEN, AttemptState.ENDED)

    @property
    def was_written(self) -> bool:
        """Whether bytes of it may have reached the endpoint."""
        return self.state not in (AttemptState.CONNECTING, AttemptState.ENDED_UNWRITTEN)

    @property
    def is_responding(self) -> bool:
        """Whether its response is being forwarded to the client."""
        return self.state is AttemptState.RESPONDING

    @property
    def may_have_run(self) -> bool:
        """Whether it has ended and may have had an effect; a prefill has none."""
        return not self.is_prefill and self.status in MAY_HAVE_RUN

    @property
    def outcome(self) -> str:
        """How it ended, or that it is still running, for the log."""
        return STILL_RUNNING if self.status is None else self.status.value

    def change(self, change: AttemptChange) -> None:
        """Enter the state that follows a change."""
        self.state = ATTEMPT_TRANSITIONS[change].get(self.state, self.state)

    def end(self, status: AttemptStatus) -> None:
        """Record how it ended."""
        self.status = status
        self.change(AttemptChange.ENDED)

    def final_status(self, reported: AttemptStatus) -> AttemptStatus:
        """Return the status to count for a reported one: an aborted attempt ends as its abort says."""
        if reported is not AttemptStatus.CANCELLED or self.abort_status is None:
            return reported
        if self.abort_status is AttemptStatus.CONNECT_FAILED and self.was_written:
            return AttemptStatus.CANCELLED  # aborted as unwritten, and written in the same moment
        return self.abort_status
