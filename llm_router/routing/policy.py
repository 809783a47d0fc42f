"""The routing policy's entry point, which passes each event to the parts of the policy that handle it.

`docs/design.md` describes the mechanism, which follows section 5 of the paper, and the deviations from it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from llm_router.routing import actions, events
from llm_router.routing.actions import AnswerReason
from llm_router.routing.admission import Admission
from llm_router.routing.append_prefill import AppendPrefill
from llm_router.routing.attempt_dispatch import AttemptDispatcher
from llm_router.routing.attempt_results import AttemptResults
from llm_router.routing.candidate_subset import CandidateSubset
from llm_router.routing.context import PolicyContext
from llm_router.routing.decode_results import DecodeResults
from llm_router.routing.decode_selection import DecodeSelection
from llm_router.routing.endpoint_index import EndpointIndex
from llm_router.routing.endpoint_watch import EndpointWatch
from llm_router.routing.errors import DecisionError
from llm_router.routing.failure_detection import FailureDetector
from llm_router.routing.gossip import Gossip
from llm_router.routing.load_probes import LoadProbes
from llm_router.routing.outlier_ejection import OutlierEjection
from llm_router.routing.periodic_check import PeriodicCheck
from llm_router.routing.prefill_estimates import PrefillEstimates
from llm_router.routing.prefill_overflow import PrefillOverflow
from llm_router.routing.prefill_results import PrefillResults
from llm_router.routing.prefill_ring import PrefillRing
from llm_router.routing.prefill_selection import PrefillSelection
from llm_router.routing.prefix_popularity import PrefixPopularity
from llm_router.routing.queueing_delay import QueueingDelays
from llm_router.routing.request_completion import RequestCompletion
from llm_router.routing.request_path import RequestPath
from llm_router.routing.request_progress import RequestProgress
from llm_router.routing.reservations import Reservations
from llm_router.routing.retry_policy import RetryPolicy
from llm_router.routing.send_rates import SendRates
from llm_router.routing.session_affinity import SessionAffinityTable
from llm_router.routing.settings import Settings
from llm_router.routing.silence_detection import SilenceDetector
from llm_router.routing.slow_start import SlowStart
from llm_router.routing.tracked_request import TrackedRequest

# Handles one type of event. The policy then advances the request that the handler returns, if any.
Handler = Callable[[Any], TrackedRequest | None]


class RoutingPolicy:
    """The routing policy of one router instance: it handles events and returns actions, without any I/O."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Build the policy; `seed` initializes its random generator."""
        self.settings = settings
        self.context = PolicyContext(settings, seed)
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.requests: dict[str, TrackedRequest] = {}
        self.endpoints = EndpointIndex(settings.kinds)
        self.affinities = SessionAffinityTable()
        self._build_estimates()
        self._build_health()
        self._build_selection()
        self._build_path()
        self._build_results()
        self._handlers: dict[type[events.Event], Handler] = {
            events.EndpointListUpdate: self._on_endpoint_list,
            events.RequestReceived: self._on_request,
            events.FirstToken: self._on_first_token,
            events.ReservationResult: self._on_reservation_result,
            events.AttemptEnded: self._on_attempt_ended,
            events.ClientDisconnected: self._on_disconnect,
            events.GossipReceived: self._on_gossip,
            events.LoadProbeEnded: self._on_load_probe_ended,
            events.TimerFired: self._on_timer,
        }

    def _build_estimates(self) -> None:
        self.watch = EndpointWatch(self.context)
        self.candidates = CandidateSubset(self.context, self.endpoints)
        self.prefill_ring = PrefillRing(self.endpoints)
        self.popularity = PrefixPopularity(self.context)
        self.estimates = PrefillEstimates()
        self.send_rates = SendRates(self.context, self.endpoints)
        self.load_probes = LoadProbes(self.context, self.endpoints)
        self.delays = QueueingDelays(
            self.context, self.endpoints, self.estimates, self.send_rates, self.load_probes
        )

    def _build_health(self) -> None:
        self.ejection = OutlierEjection(self.context, self.candidates)
        self.gossip = Gossip(self.context, self.endpoints, self.ejection, self.send_rates)
        self.failures = FailureDetector(self.context, self.gossip)
        self.silence = SilenceDetector(self.context, self.estimates, self.ejection)
        self.slow_start = SlowStart(self.context, self.send_rates)
        self.retry_policy = RetryPolicy(self.context)

    def _build_selection(self) -> None:
        self.prefill_selection = PrefillSelection(
            self.context,
            self.candidates,
            self.prefill_ring.ring,
            self.delays,
            self.estimates,
            self.popularity,
        )
        self.decode_selection = DecodeSelection(self.context, self.candidates, self.delays)
        self.append_prefill = AppendPrefill(self.context, self.candidates, self.estimates)
        self.reservations = Reservations(self.context, self.decode_selection, self.slow_start)
        self.prefill_overflow = PrefillOverflow(
            self.context,
            self.endpoints,
            self.decode_selection,
            self.delays,
            self.estimates,
            self.reservations,
        )

    def _build_path(self) -> None:
        self.admission = Admission(
            self.context,
            self.candidates,
            self.prefill_selection,
            self.load_probes,
            self.delays,
            self.reservations,
        )
        self.dispatcher = AttemptDispatcher(
            self.context,
            self.retry_policy,
            self.slow_start,
            self.estimates,
            self.send_rates,
            self.reservations,
        )
        self.completion = RequestCompletion(self.context, self.retry_policy)
        path = RequestPath(
            self.dispatcher,
            self.prefill_selection,
            self.decode_selection,
            self.prefill_overflow,
            self.load_probes,
        )
        self.progress = RequestProgress(
            self.context, self.requests, self.retry_policy, self.admission, path, self.completion
        )
        self.periodic_check = PeriodicCheck(
            self.context, self.requests, self.silence, self.affinities, self.popularity, self.progress
        )

    def _build_results(self) -> None:
        prefill_results = PrefillResults(self.context, self.silence, self.estimates, self.delays)
        self.decode_results = DecodeResults(
            self.context,
            self.failures,
            self.silence,
            self.delays,
            self.append_prefill,
            self.affinities,
        )
        self.attempt_results = AttemptResults(
            self.context,
            self.failures,
            self.delays,
            prefill_results,
            self.decode_results,
            self.completion,
        )

    def handle(self, now: int, event: events.Event) -> list[actions.Action]:
        """Handle an event and return the resulting actions in order.

        `now` is in nanoseconds and never decreases. Events of unknown types have no effect, nor do events
        about unknown requests, attempts or endpoints. A request whose decision fails with an internal error
        is ended; then raise DecisionError, which has the resulting actions."""
        self.context.start_event(now)
        handler = self._handlers.get(type(event))
        if handler is not None:
            self._run(handler, event)
        if self.context.first_error is not None:
            raise DecisionError(self.context.actions) from self.context.first_error
        return self.context.actions

    def _run(self, handler: Handler, event: events.Event) -> None:
        """Run an event's handler and advance its request; end the event's request if the handler fails."""
        try:
            request = handler(event)
        except Exception as error:
            self.context.record_error(error)
            failed = self.requests.get(getattr(event, "request_id", ""))
            if failed is not None:
                self.progress.end_after_error(failed)
            return
        if request is not None:
            self.progress.advance(request)

    def _on_endpoint_list(self, event: events.EndpointListUpdate) -> None:
        self.watch.subscribe()
        if event.entries is None:
            self.watch.resubscribe_later()
            return
        changed = self.endpoints.update_list(event, self.context.now)
        self.prefill_ring.update(changed)
        self.candidates.update(changed)

    def _on_request(self, event: events.RequestReceived) -> TrackedRequest | None:
        request_class = self.classes.get(event.class_name)
        if request_class is None or event.request_id in self.requests:
            return None
        now = self.context.now
        affinity = self.affinities.find(event)
        request = TrackedRequest(event, request_class, now, now + event.time_remaining, affinity)
        self.requests[event.request_id] = request
        self.estimates.prompt_tokens.add(event.prompt_tokens)
        self.admission.record_arrival(event.tenant)
        self.popularity.record(event.prefix)
        # The timer is set early by the timer resolution, so that the final answer is in time.
        delay = max(0, event.time_remaining - self.settings.timer_resolution)
        self.context.set_timer(delay, lambda: self._on_deadline(request))
        self.periodic_check.ensure_scheduled()
        request.append_endpoint = self.append_prefill.choose_endpoint(request)
        return request

    def _on_deadline(self, request: TrackedRequest) -> TrackedRequest:
        if not request.has_answer:
            self.completion.finish(request, AnswerReason.DEADLINE_EXCEEDED)
        return request

    def _on_first_token(self, event: events.FirstToken) -> None:
        attempt = self.endpoints.open_attempt(event)
        if attempt is not None:
            self.decode_results.record_first_token(attempt)

    def _on_reservation_result(self, event: events.ReservationResult) -> None:
        attempt = self.endpoints.open_attempt(event)
        if attempt is not None:
            self.reservations.record_result(attempt.request, granted=event.reserved)

    def _on_attempt_ended(self, event: events.AttemptEnded) -> TrackedRequest | None:
        attempt = self.endpoints.open_attempt(event)
        if attempt is None:
            return None
        self.attempt_results.record(attempt, event)
        return attempt.request

    def _on_disconnect(self, event: events.ClientDisconnected) -> TrackedRequest | None:
        request = self.requests.get(event.request_id)
        if request is not None:
            self.completion.close(request)
        return request

    def _on_gossip(self, event: events.GossipReceived) -> None:
        self.gossip.receive(event)

    def _on_load_probe_ended(self, event: events.LoadProbeEnded) -> None:
        endpoint = self.endpoints.get(event.endpoint_id)
        if endpoint is None:
            return
        self.load_probes.record_result(endpoint, event)
        requests = self.requests.values()
        for request in [each for each in requests if self.load_probes.is_waiting(each, endpoint)]:
            self.progress.advance(request)

    def _on_timer(self, event: events.TimerFired) -> TrackedRequest | None:
        return self.context.timers.fire(event.timer_id)
