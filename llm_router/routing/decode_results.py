"""Processes the first tokens and the answers of decode attempts."""

from __future__ import annotations

from llm_router.routing.append_prefill import AppendPrefill
from llm_router.routing.context import PolicyContext
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.events import AttemptEnded
from llm_router.routing.failure_detection import FailureDetector
from llm_router.routing.queueing_delay import QueueingDelays
from llm_router.routing.session_affinity import SessionAffinityTable
from llm_router.routing.silence_detection import SilenceDetector
from llm_router.routing.tracked_request import Attempt, TrackedRequest


class DecodeResults:
    """Updates requests, averages and session affinities from decode attempts."""

    def __init__(
        self,
        context: PolicyContext,
        failures: FailureDetector,
        silence: SilenceDetector,
        delays: QueueingDelays,
        append_prefill: AppendPrefill,
        affinities: SessionAffinityTable,
    ) -> None:
        self.context = context
        self.failures = failures
        self.silence = silence
        self.delays = delays
        self.append_prefill = append_prefill
        self.affinities = affinities

    def record_first_token(self, attempt: Attempt) -> None:
        """Record the first token of an attempt, which shows that the endpoint has fetched the KV state."""
        request = attempt.request
        elapsed = self.context.now - attempt.sent_at
        attempt.start_streaming()
        request.first_token_at = self.context.now
        request.state_endpoint = None
        self.failures.record_response(attempt)
        self.delays.record(attempt.endpoint, elapsed, attempt.uncached_tokens)
        self.silence.record_first_token(elapsed)
        self.failures.record_first_token(attempt, elapsed)
        self.append_prefill.record_first_token(request, self.context.now - request.arrived_at)

    def record_answer(self, request: TrackedRequest, endpoint: EndpointState, event: AttemptEnded) -> None:
        """Record a finished answer: its token interval, cached tokens and session affinity."""
        self.append_prefill.record_answer(request, endpoint, event)
        self.affinities.record_answer(request, endpoint, self.context.now)
