"""Append-prefill: decides whether a later turn's new tokens are prefilled where it is decoded (PPD)."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple

from llm_router.routing.candidate_subset import CandidateSubset
from llm_router.routing.context import PolicyContext
from llm_router.routing.endpoint_index import DECODE_ROLES
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.events import AttemptEnded
from llm_router.routing.prefill_estimates import PrefillEstimates
from llm_router.routing.statistics import MovingAverage
from llm_router.routing.tracked_request import TrackedRequest, WorkloadBucket

FIRST_TOKEN_WEIGHT = 1.0  # of the score's two halves, without unit: the paper weighs both alike
TOKEN_INTERVAL_WEIGHT = 1.0
MAX_NEW_SHARE = 0.25  # of the prompt: with more new tokens the prefill would delay the streams there
MAX_STREAMS_FACTOR = 2.0  # multiple of our median streams at a decode endpoint up to which it may prefill
MAX_NEW_TOKENS_UNMEASURED = 2000  # tokens that are prefilled there while an average is empty
EXPLORATION_SHARE = 0.03  # of append-prefills, sent the usual path to feed its averages


class PathKey(NamedTuple):
    """A workload bucket on one of the two paths."""

    bucket: WorkloadBucket
    append_prefill: bool


@dataclass(slots=True)
class PathAverages:
    """The averages of a path, in nanoseconds."""

    first_token: MovingAverage = field(default_factory=MovingAverage)
    token_interval: MovingAverage = field(default_factory=MovingAverage)

    @property
    def complete(self) -> bool:
        """Return whether both averages have a sample."""
        return self.first_token.value is not None and self.token_interval.value is not None


class AppendPrefill:
    """Compares the two paths of a later turn by the averages of the workload bucket that it falls into."""

    def __init__(
        self, context: PolicyContext, candidates: CandidateSubset, estimates: PrefillEstimates
    ) -> None:
        self.context = context
        self.candidates = candidates
        self.estimates = estimates
        self.averages: dict[PathKey, PathAverages] = {}
        self._streams = MovingAverage()  # ours at a decode endpoint

    def choose_endpoint(self, request: TrackedRequest) -> EndpointState | None:
        """Return the decode endpoint that shall prefill a later turn, None for the usual path."""
        endpoint = self._last_decode_endpoint(request)
        if endpoint is None or self._is_busy(request, endpoint):
            return None
        if request.new_tokens >= MAX_NEW_SHARE * request.received.prompt_tokens:
            return None
        if not self._is_better(request):
            return None
        explores = self.context.random.random() < EXPLORATION_SHARE
        return None if explores else endpoint

    def record_first_token(self, request: TrackedRequest, elapsed: int) -> None:
        """Record how many nanoseconds after its arrival a request had its first token."""
        self._path_averages(request).first_token.add(elapsed)

    def record_answer(self, request: TrackedRequest, endpoint: EndpointState, event: AttemptEnded) -> None:
        """Record a finished answer: its token interval, and whether the endpoint still had its cache.

        If little of the prefix was cached at an append-prefill (flush, restart, no memory), the endpoint's
        earlier sessions count no more, even if this one alone was lost."""
        if request.first_token_at is not None:
            elapsed = self.context.now - request.first_token_at
            self._path_averages(request).token_interval.add(elapsed / request.expected_output_tokens)
        is_append_prefill = request.append_endpoint is not None
        if is_append_prefill and 2 * event.cached_tokens < request.received.prefix_tokens:
            endpoint.cache_valid_since = request.arrived_at

    def _last_decode_endpoint(self, request: TrackedRequest) -> EndpointState | None:
        """Return the endpoint that decoded the session's last answer, if it is usable and has its cache."""
        affinity = request.affinity
        if affinity is None:
            return None
        endpoint = self.candidates.index.find_ready(affinity.decode_endpoint_id, DECODE_ROLES)
        if endpoint is None or not self.candidates.accepts(endpoint, request.tenant_class):
            return None
        return endpoint if affinity.updated_at >= endpoint.cache_valid_since else None

    def _is_busy(self, request: TrackedRequest, endpoint: EndpointState) -> bool:
        peers = self.candidates.usable(DECODE_ROLES, request.tenant_class) or [endpoint]
        usual = median(peer.streams for peer in peers)
        return endpoint.streams > MAX_STREAMS_FACTOR * max(1, usual)

    def _is_better(self, request: TrackedRequest) -> bool:
        """Return whether append-prefill scores above the usual path in the request's workload bucket."""
        bucket = self._workload(request)
        append = self.averages.get(PathKey(bucket, append_prefill=True), PathAverages())
        usual = self.averages.get(PathKey(bucket, append_prefill=False), PathAverages())
        if not append.complete or not usual.complete:
            return request.new_tokens < MAX_NEW_TOKENS_UNMEASURED
        first_token_gain = _relative_gain(append.first_token, usual.first_token)
        token_interval_gain = _relative_gain(append.token_interval, usual.token_interval)
        return FIRST_TOKEN_WEIGHT * first_token_gain + TOKEN_INTERVAL_WEIGHT * token_interval_gain > 0

    def _path_averages(self, request: TrackedRequest) -> PathAverages:
        key = PathKey(self._workload(request), request.append_endpoint is not None)
        return self.averages.setdefault(key, PathAverages())

    def _workload(self, request: TrackedRequest) -> WorkloadBucket:
        """Return the workload bucket of a request, which is that of the moment it is first needed."""
        if request.workload is None:
            endpoints = self.candidates.candidates(DECODE_ROLES)
            load = sum(endpoint.streams for endpoint in endpoints) / max(1, len(endpoints))
            self._streams.add(load)
            request.workload = WorkloadBucket(
                long_context=request.received.prompt_tokens > self.estimates.mean_prompt_tokens,
                prefill_heavy=request.new_tokens > request.expected_output_tokens,
                high_load=load > (self._streams.value or 0),
            )
        return request.workload


def _relative_gain(append: MovingAverage, usual: MovingAverage) -> float:
    """Return by what share of the usual path's average append-prefill is below it."""
    append_value = append.value or 0.0
    usual_value = usual.value or 0.0
    return (usual_value - append_value) / max(1, usual_value)
