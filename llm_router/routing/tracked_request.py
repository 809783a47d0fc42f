"""The policy's state of a request, and the life cycle of its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from llm_router.routing.endpoint_state import AttemptKey, EndpointState, TenantClass
from llm_router.routing.events import RequestReceived
from llm_router.routing.session_affinity import SessionAffinity
from llm_router.routing.settings import ClassSettings


class AttemptPhase(Enum):
    """The phases of an attempt; `ATTEMPT_PHASE_TRANSITIONS` lists the allowed transitions."""

    WAITING = "waiting"  # The attempt was sent, and its first token has not arrived.
    STREAMING = "streaming"  # The first token has arrived, and the attempt has not ended.
    ENDED = "ended"


ATTEMPT_PHASE_TRANSITIONS: dict[AttemptPhase, frozenset[AttemptPhase]] = {
    AttemptPhase.WAITING: frozenset({AttemptPhase.STREAMING, AttemptPhase.ENDED}),
    AttemptPhase.STREAMING: frozenset({AttemptPhase.STREAMING, AttemptPhase.ENDED}),
    AttemptPhase.ENDED: frozenset(),
}


class AttemptTransitionError(RuntimeError):
    """A phase transition that an attempt must not make, which means a bug in the policy."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to one endpoint."""

    request: TrackedRequest
    index: int
    endpoint: EndpointState
    is_prefill: bool  # True for a prefill at a prefill endpoint, False if the endpoint decodes.
    committed_tokens: int  # KV memory, in tokens, that the prompt and the longest possible answer would use
    uncached_tokens: int  # estimated number of prompt tokens that the endpoint has to prefill
    sent_at: int
    state: AttemptPhase = AttemptPhase.WAITING
    may_have_run: bool = False  # The attempt ended in a way that leaves open whether the request took effect.
    failed: bool = False  # The attempt gave no result, so the next attempt prefers another endpoint.

    @property
    def is_open(self) -> bool:
        """Return whether the attempt has not ended."""
        return self.state is not AttemptPhase.ENDED

    @property
    def is_waiting(self) -> bool:
        """Return whether the attempt still waits for its first token."""
        return self.state is AttemptPhase.WAITING

    @property
    def is_overtaken(self) -> bool:
        """Return whether the endpoint has answered an attempt sent later, so that this one may be lost."""
        return self.sent_at < self.endpoint.overtaken_before

    @property
    def key(self) -> AttemptKey:
        """Return the key that identifies the attempt at its endpoint."""
        return AttemptKey(self.request.request_id, self.index)

    def open(self) -> None:
        """Add the attempt to its request and to the load of its endpoint."""
        self.request.attempts.append(self)
        self.endpoint.open_attempts[self.key] = self
        self.endpoint.committed_tokens += self.committed_tokens
        self.endpoint.streams += not self.is_prefill

    def start_streaming(self) -> None:
        """Record that the first token has arrived."""
        self._enter(AttemptPhase.STREAMING)

    def end(self) -> None:
        """Record the end of the attempt and remove it from the load of its endpoint."""
        self._enter(AttemptPhase.ENDED)
        del self.endpoint.open_attempts[self.key]
        self.endpoint.committed_tokens -= self.committed_tokens
        self.endpoint.streams -= not self.is_prefill

    def _enter(self, state: AttemptPhase) -> None:
        if state not in ATTEMPT_PHASE_TRANSITIONS[self.state]:
            raise AttemptTransitionError(
                f"attempt {self.key} cannot go from {self.state.value} to {state.value}"
            )
        self.state = state


class WorkloadBucket(NamedTuple):
    """A group of similar requests; append-prefill is compared with remote prefill within each group."""

    long_context: bool
    prefill_heavy: bool  # The request has more new prompt tokens than expected output tokens.
    high_load: bool


class RequestPhase(Enum):
    """The phase of a request, which `TrackedRequest.phase` derives from its fields.

    These methods and events cause the transitions:

    - WAITING to PREFILLED: `PrefillResults.record`.
    - PREFILLED to WAITING: `RequestCompletion.release`, which gives up the KV state.
    - WAITING or PREFILLED to STREAMING: `DecodeResults.record_first_token`.
    - STREAMING to PREFILLED: the stream broke, and a new prefill has finished.
    - Any phase to ENDED: `RequestCompletion.close`, or the end of an attempt with `request_closed`."""

    # The request waits for a prefill, or for its first token if one endpoint does both prefill and decode.
    WAITING = "waiting"
    PREFILLED = "prefilled"  # The KV state waits for a decode attempt to fetch it.
    STREAMING = "streaming"  # The first token has arrived.
    ENDED = "ended"  # The client has its final answer or has disconnected.


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A request from its arrival until its last attempt has ended; all times are nanoseconds."""

    received: RequestReceived
    request_class: ClassSettings
    arrived_at: int
    deadline: int
    affinity: SessionAffinity | None
    attempts: list[Attempt] = field(default_factory=list)
    append_endpoint: EndpointState | None = None  # decode endpoint that is to append-prefill this turn
    state_endpoint: EndpointState | None = None  # prefill endpoint where the KV state waits
    state_since: int = 0  # time from which the release timeout of the KV state counts
    prefilled_by: EndpointState | None = None
    prefill_target: EndpointState | None = None  # prefill endpoint of the latest prefill attempt
    # Decode endpoints that were asked for a reservation during the latest prefill, in the order of the calls.
    reservation_targets: list[EndpointState] = field(default_factory=list)
    reserved_endpoint: EndpointState | None = None
    probed_endpoints: list[EndpointState] = field(default_factory=list)
    probe_deadline: int = 0  # time until which the request waits for the answer to its last load probe
    workload: WorkloadBucket | None = None
    first_token_at: int | None = None
    retry_after: int = 0  # nanoseconds that the client should wait before a retry if the request is rejected
    ended: bool = False

    @property
    def request_id(self) -> str:
        """Return the request's id."""
        return self.received.request_id

    @property
    def phase(self) -> RequestPhase:
        """Return the current phase of the request."""
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
    def attempts_that_may_have_run(self) -> list[Attempt]:
        """Return the ended attempts that may have run, so that a repeat may have a second effect."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]

    @property
    def failed_endpoints(self) -> set[EndpointState]:
        """Return the endpoints where an attempt failed."""
        return {attempt.endpoint for attempt in self.attempts if attempt.failed}

    @property
    def tenant_class(self) -> TenantClass:
        """Return the tenant and the class of the request."""
        return TenantClass(self.received.tenant, self.received.class_name)

    @property
    def replica_key(self) -> str:
        """Return the session id, or else the request id; it selects an endpoint that caches the prefix."""
        return self.received.session or self.received.request_id

    @property
    def has_answer(self) -> bool:
        """Return whether the request has ended or the client is receiving its response."""
        return self.ended or self.first_token_at is not None

    @property
    def latency_objective(self) -> int:
        """Return the wanted time to the first token, in nanoseconds, for the length of the prompt."""
        per_thousand = self.request_class.objective_per_1000_tokens
        return self.request_class.latency_objective + per_thousand * self.received.prompt_tokens // 1000

    @property
    def new_tokens(self) -> int:
        """Return the prompt tokens beyond the shared prefix."""
        return max(0, self.received.prompt_tokens - self.received.prefix_tokens)

    @property
    def expected_output_tokens(self) -> int:
        """Return the expected length of the answer in tokens, which is at least 1.

        It follows from the expected duration if that is known; otherwise it is the maximum length."""
        duration = self.received.expected_duration
        token_interval = self.request_class.token_interval
        if duration and token_interval:
            return max(1, duration // token_interval)
        return max(1, self.received.max_output_tokens)
