"""What the policy knows of a request, with the life cycle of its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from llm_router.routing.endpoint_state import AttemptKey, EndpointState, TenantClass
from llm_router.routing.events import RequestReceived
from llm_router.routing.session_affinity import SessionAffinity
from llm_router.routing.settings import ClassSettings


class AttemptPhase(Enum):
    """The life cycle of an attempt; `ATTEMPT_PHASE_TRANSITIONS` has its transitions."""

    WAITING = "waiting"  # sent, no token has come
    STREAMING = "streaming"  # tokens come
    ENDED = "ended"


ATTEMPT_PHASE_TRANSITIONS: dict[AttemptPhase, frozenset[AttemptPhase]] = {
    AttemptPhase.WAITING: frozenset({AttemptPhase.STREAMING, AttemptPhase.ENDED}),
    AttemptPhase.STREAMING: frozenset({AttemptPhase.STREAMING, AttemptPhase.ENDED}),
    AttemptPhase.ENDED: frozenset(),
}


class AttemptTransitionError(RuntimeError):
    """An attempt cannot take a transition: a fault of the policy itself."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to one endpoint."""

    request: TrackedRequest
    index: int
    endpoint: EndpointState
    is_prefill: bool  # at a prefill endpoint, else the endpoint decodes
    committed_tokens: int  # tokens that its answer may come to occupy
    uncached_tokens: int  # prompt tokens that the endpoint has to prefill, as far as we know
    sent_at: int
    state: AttemptPhase = AttemptPhase.WAITING
    may_have_run: bool = False  # it ended so that its effect may have happened
    failed: bool = False  # it served nothing: the next attempt prefers another endpoint

    @property
    def is_open(self) -> bool:
        """Return whether it has not ended."""
        return self.state is not AttemptPhase.ENDED

    @property
    def is_waiting(self) -> bool:
        """Return whether no token of it has come."""
        return self.state is AttemptPhase.WAITING

    @property
    def is_overtaken(self) -> bool:
        """Return whether an attempt sent there later has been answered, so that this one may be lost."""
        return self.sent_at < self.endpoint.overtaken_before

    @property
    def key(self) -> AttemptKey:
        """Return its identity among the attempts at its endpoint."""
        return AttemptKey(self.request.request_id, self.index)

    def open(self) -> None:
        """Account for it at its request and its endpoint."""
        self.request.attempts.append(self)
        self.endpoint.open_attempts[self.key] = self
        self.endpoint.committed_tokens += self.committed_tokens
        self.endpoint.streams += not self.is_prefill

    def start_streaming(self) -> None:
        """Note its first token."""
        self._enter(AttemptPhase.STREAMING)

    def end(self) -> None:
        """Note its end and free what was accounted for it."""
        self._enter(AttemptPhase.ENDED)
        del self.endpoint.open_attempts[self.key]
        self.endpoint.committed_tokens -= self.committed_tokens
        self.endpoint.streams -= not self.is_prefill

    def _enter(self, state: AttemptPhase) -> None:
        if state not in ATTEMPT_PHASE_TRANSITIONS[self.state]:
            raise AttemptTransitionError(f"attempt {self.key}: {self.state.value} to {state.value}")
        self.state = state


class WorkloadBucket(NamedTuple):
    """The kind of workload that a request is, within which the two paths of a later turn are compared."""

    long_context: bool
    prefill_heavy: bool  # more new prompt tokens than output
    high_load: bool


class RequestPhase(Enum):
    """What a request waits for; `TrackedRequest.phase` derives it.

    WAITING to PREFILLED: `PrefillResults.record`.
    PREFILLED to WAITING: `RequestCompletion.release`, its KV state is given up.
    WAITING or PREFILLED to STREAMING: `DecodeResults.record_first_token`.
    STREAMING to PREFILLED: its stream broke, and it was prefilled again.
    Any to ENDED: `RequestCompletion.close`, or the end of an attempt with `request_closed`."""

    WAITING = "waiting"  # for a prefill, or for the first token where one endpoint does both
    PREFILLED = "prefilled"  # its KV state waits for a decode attempt to take it
    STREAMING = "streaming"
    ENDED = "ended"  # the client has its final answer or has disconnected


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A request from its arrival until its last attempt has ended; all times are nanoseconds."""

    received: RequestReceived
    request_class: ClassSettings
    arrived_at: int
    deadline: int
    affinity: SessionAffinity | None
    attempts: list[Attempt] = field(default_factory=list)
    append_endpoint: EndpointState | None = None  # the decode endpoint that prefills this turn itself
    state_endpoint: EndpointState | None = None  # where the KV state of the prefill waits
    state_since: int = 0
    prefilled_by: EndpointState | None = None
    prefill_target: EndpointState | None = None  # the prefill endpoint that it was last sent to
    reservation_targets: list[EndpointState] = field(default_factory=list)  # asked during that prefill
    reserved_endpoint: EndpointState | None = None
    probed_endpoints: list[EndpointState] = field(default_factory=list)
    probe_deadline: int = 0  # until when the last load probe is waited for
    workload: WorkloadBucket | None = None
    first_token_at: int | None = None
    retry_after: int = 0  # how long the client should wait if the request is rejected
    ended: bool = False

    @property
    def request_id(self) -> str:
        """Return the number of the request."""
        return self.received.request_id

    @property
    def phase(self) -> RequestPhase:
        """Return what the request waits for."""
        if self.ended:
            return RequestPhase.ENDED
        if self.state_endpoint is not None:
            return RequestPhase.PREFILLED
        if self.first_token_at is not None:
            return RequestPhase.STREAMING
        return RequestPhase.WAITING

    @property
    def open_attempts(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        return [attempt for attempt in self.attempts if attempt.is_open]

    @property
    def risky_attempts(self) -> list[Attempt]:
        """Return the attempts whose effect may have happened."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]

    @property
    def failed_endpoints(self) -> set[EndpointState]:
        """Return the endpoints where an attempt failed."""
        return {attempt.endpoint for attempt in self.attempts if attempt.failed}

    @property
    def tenant_class(self) -> TenantClass:
        """Return its tenant and class."""
        return TenantClass(self.received.tenant, self.received.class_name)

    @property
    def replica_key(self) -> str:
        """Return what selects among the replicas of its prefix: the session, else the request itself."""
        return self.received.session or self.received.request_id

    @property
    def has_answer(self) -> bool:
        """Return whether the client has, or is getting, its answer."""
        return self.ended or self.first_token_at is not None

    @property
    def latency_objective(self) -> int:
        """Return the wanted time to the first token for a prompt of this length."""
        per_thousand = self.request_class.objective_per_1000_tokens
        return self.request_class.latency_objective + per_thousand * self.received.prompt_tokens // 1000

    @property
    def new_tokens(self) -> int:
        """Return the prompt tokens beyond the shared prefix."""
        return max(0, self.received.prompt_tokens - self.received.prefix_tokens)

    @property
    def expected_output_tokens(self) -> int:
        """Return the answer's length by the expected duration, else the maximum; at least 1."""
        duration = self.received.expected_duration
        token_interval = self.request_class.token_interval
        if duration and token_interval:
            return max(1, duration // token_interval)
        return max(1, self.received.max_output_tokens)
