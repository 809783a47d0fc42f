"""The state of an attempt, one sending of a request to one endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, auto

from llm_router.lifecycle.endpoint import Endpoint
from llm_router.routing.events import AttemptStatus

# After a decode attempt ends with one of these statuses, the request may have had an effect at its endpoint.
MAY_HAVE_RUN = frozenset(
    {
        AttemptStatus.OK,
        AttemptStatus.ERROR,
        AttemptStatus.TIMEOUT,
        AttemptStatus.RESET,
        AttemptStatus.CANCELLED,
    }
)
STILL_RUNNING = "out"  # the outcome that the log shows for an attempt that is still running


class AttemptState(Enum):
    """The progress of an attempt."""

    CONNECTING = auto()  # The connection is being set up, and no byte has been written.
    WRITTEN = auto()  # Bytes of the attempt may have reached its endpoint.
    RESPONDING = auto()  # The response of the endpoint is being forwarded to the client.
    ENDED_UNWRITTEN = auto()  # The attempt ended before a byte was written.
    ENDED = auto()  # The attempt ended after bytes may have reached its endpoint.


class AttemptChange(Enum):
    """An event that moves an attempt from one state to another."""

    WRITTEN = auto()
    RESPONSE_STARTED = auto()
    ENDED = auto()


# The next state by change and current state. A change that does not list the current state has no effect.
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
    """The router's knowledge about whether a written attempt has reached its endpoint.

    UNKNOWN may change to SUSPECTED_MISSING, and both may change to MISSING. Each of the three changes to
    ARRIVED if the answer to a reservation call shows that the decode endpoint knows the prefill."""

    UNKNOWN = auto()  # The router has no sign of either, and treats the attempt as arrived.
    SUSPECTED_MISSING = auto()  # A decode endpoint did not know the prefill of a reservation call.
    ARRIVED = auto()  # A decode endpoint knows the prefill, so the attempt has arrived.
    MISSING = auto()  # The last byte of the attempt has probably not arrived.

    @property
    def is_known(self) -> bool:
        """Whether the attempt is known to have arrived or to be missing."""
        return self in (Arrival.ARRIVED, Arrival.MISSING)


@dataclass(slots=True)
class Attempt:
    """One sending of a request to one endpoint."""

    endpoint_id: int
    is_prefill: bool
    opened_at: timedelta
    endpoint: Endpoint | None = None  # None if the endpoint was not listed
    state: AttemptState = AttemptState.CONNECTING
    arrival: Arrival = Arrival.UNKNOWN
    # The status that an aborted attempt gets once its connection is closed; None if it is not aborted.
    abort_status: AttemptStatus | None = None
    status: AttemptStatus | None = None  # the status of an attempt that has ended

    @property
    def endpoint_name(self) -> str:
        """The name of the endpoint, or an empty string if the endpoint was not listed."""
        return "" if self.endpoint is None else self.endpoint.name

    @property
    def is_running(self) -> bool:
        """Whether the attempt has not ended."""
        return self.state not in (AttemptState.ENDED_UNWRITTEN, AttemptState.ENDED)

    @property
    def was_written(self) -> bool:
        """Whether bytes of the attempt may have reached its endpoint."""
        return self.state not in (AttemptState.CONNECTING, AttemptState.ENDED_UNWRITTEN)

    @property
    def is_responding(self) -> bool:
        """Whether the response to the attempt is being forwarded to the client."""
        return self.state is AttemptState.RESPONDING

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt has ended and may have had an effect; one that was not written has none."""
        return not self.is_prefill and self.was_written and self.status in MAY_HAVE_RUN

    @property
    def outcome(self) -> str:
        """The status of the attempt as the log shows it, or a fixed word while the attempt is running."""
        return STILL_RUNNING if self.status is None else self.status.value

    def change(self, change: AttemptChange) -> None:
        """Move the attempt to the state that ATTEMPT_TRANSITIONS gives for a change."""
        self.state = ATTEMPT_TRANSITIONS[change].get(self.state, self.state)

    def end(self, status: AttemptStatus) -> None:
        """Record that the attempt ended with this status."""
        self.status = status
        self.change(AttemptChange.ENDED)

    def final_status(self, reported: AttemptStatus) -> AttemptStatus:
        """Return the status to record for a reported one; an aborted attempt gets the status of its abort."""
        if reported is not AttemptStatus.CANCELLED or self.abort_status is None:
            return reported
        if self.abort_status is AttemptStatus.CONNECT_FAILED and self.was_written:
            return AttemptStatus.CANCELLED  # The attempt was written just before its abort took effect.
        return self.abort_status
