"""Choice between append-prefill and remote prefill for the later turns of a session (PPD).

With append-prefill, the decode endpoint also prefills the new tokens. With remote prefill, a prefill
endpoint prefills the prompt."""

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

# The weights of the two relative gains in the score have no unit. They are equal in the PPD paper.
FIRST_TOKEN_WEIGHT = 1.0
TOKEN_INTERVAL_WEIGHT = 1.0
# Append-prefill is used only if the share of new tokens in the prompt is below this value.
# A longer prefill would delay the streams at the decode endpoint.
MAX_NEW_TOKEN_SHARE = 0.25
# Append-prefill is used only if the endpoint has at most this multiple of the median streams per endpoint.
MAX_STREAMS_FACTOR = 2.0
# While an average has no sample, append-prefill is used only for fewer new tokens than this number.
MAX_NEW_TOKENS_UNMEASURED = 2000
# The probability that a remote prefill replaces an append-prefill, to update the averages of remote prefill.
EXPLORATION_SHARE = 0.03


class PathKey(NamedTuple):
    """The key of the averages: a workload bucket, and whether append-prefill is used."""

    bucket: WorkloadBucket
    append_prefill: bool


@dataclass(slots=True)
class PathAverages:
    """The mean time to the first token and the mean token interval of one path, in nanoseconds.

    The paths are append-prefill and remote prefill, in one workload bucket."""

    first_token: MovingAverage = field(default_factory=MovingAverage)
    token_interval: MovingAverage = field(default_factory=MovingAverage)

    @property
    def complete(self) -> bool:
        """Return whether both averages have a sample."""
        return self.first_token.value is not None and self.token_interval.value is not None


class AppendPrefill:
    """The selector between append-prefill and remote prefill, by their averages in a workload bucket."""

    def __init__(
        self, context: PolicyContext, candidates: CandidateSubset, estimates: PrefillEstimates
    ) -> None:
        self.context = context
        self.candidates = candidates
        self.estimates = estimates
        self.averages: dict[PathKey, PathAverages] = {}
        self._streams = MovingAverage()  # mean number of this router's streams at a decode endpoint

    def choose_endpoint(self, request: TrackedRequest) -> EndpointState | None:
        """Return the decode endpoint for the append-prefill of a request, or None for remote prefill."""
        endpoint = self._last_decode_endpoint(request)
        if endpoint is None or self._is_busy(request, endpoint):
            return None
        if request.new_tokens >= MAX_NEW_TOKEN_SHARE * request.received.prompt_tokens:
            return None
        if not self._is_better(request):
            return None
        explores = self.context.random.random() < EXPLORATION_SHARE
        return None if explores else endpoint

    def record_first_token(self, request: TrackedRequest, elapsed: int) -> None:
        """Record the time from a request's arrival to its first token, in nanoseconds."""
        self._path_averages(request).first_token.add(elapsed)

    def record_answer(self, request: TrackedRequest, endpoint: EndpointState, event: AttemptEnded) -> None:
        """Record the token interval of a finished answer, and detect a lost cache at the endpoint.

        If less than half of the prefix was cached for an append-prefill, the cache was probably flushed, lost
        in a restart or full. The affinities of all previous sessions at the endpoint are then ignored, even
        though possibly only this session was evicted."""
        if request.first_token_at is not None:
            elapsed = self.context.now - request.first_token_at
            self._path_averages(request).token_interval.add(elapsed / request.expected_output_tokens)
        is_append_prefill = request.append_endpoint is not None
        if is_append_prefill and 2 * event.cached_tokens < request.received.prefix_tokens:
            endpoint.cache_valid_since = request.arrived_at

    def _last_decode_endpoint(self, request: TrackedRequest) -> EndpointState | None:
        """Return the session's last decode endpoint, if it is usable and has kept its cache, else None."""
        affinity = request.affinity
        if affinity is None:
            return None
        endpoint = self.candidates.index.find_ready(affinity.decode_endpoint_id, DECODE_ROLES)
        if endpoint is None or not self.candidates.accepts(endpoint, request.tenant_class):
            return None
        return endpoint if affinity.updated_at >= endpoint.cache_valid_since else None

    def _is_busy(self, request: TrackedRequest, endpoint: EndpointState) -> bool:
        peers = self.candidates.usable(DECODE_ROLES, request.tenant_class) or [endpoint]
        median_streams = median(peer.streams for peer in peers)
        return endpoint.streams > MAX_STREAMS_FACTOR * max(1, median_streams)

    def _is_better(self, request: TrackedRequest) -> bool:
        """Return whether append-prefill scores above remote prefill in the request's workload bucket."""
        bucket = self._workload(request)
        append = self.averages.get(PathKey(bucket, append_prefill=True), PathAverages())
        remote = self.averages.get(PathKey(bucket, append_prefill=False), PathAverages())
        if not append.complete or not remote.complete:
            return request.new_tokens < MAX_NEW_TOKENS_UNMEASURED
        first_token_gain = _relative_gain(append.first_token, remote.first_token)
        token_interval_gain = _relative_gain(append.token_interval, remote.token_interval)
        return FIRST_TOKEN_WEIGHT * first_token_gain + TOKEN_INTERVAL_WEIGHT * token_interval_gain > 0

    def _path_averages(self, request: TrackedRequest) -> PathAverages:
        key = PathKey(self._workload(request), request.append_endpoint is not None)
        return self.averages.setdefault(key, PathAverages())

    def _workload(self, request: TrackedRequest) -> WorkloadBucket:
        """Return the workload bucket of a request, which is computed once per request."""
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


def _relative_gain(append: MovingAverage, remote: MovingAverage) -> float:
    """Return the share by which the average of append-prefill is below that of remote prefill."""
    append_value = append.value or 0.0
    remote_value = remote.value or 0.0
    return (remote_value - append_value) / max(1, remote_value)
