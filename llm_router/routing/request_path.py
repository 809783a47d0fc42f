"""Sends a request to its next phase: prefill, then decode, or both at one endpoint."""

from __future__ import annotations

from llm_router.routing.attempt_dispatch import AttemptDispatcher
from llm_router.routing.decode_selection import DecodeSelection
from llm_router.routing.load_probes import LoadProbes
from llm_router.routing.prefill_overflow import PrefillOverflow
from llm_router.routing.prefill_selection import PrefillSelection
from llm_router.routing.tracked_request import RequestPhase, TrackedRequest


class RequestPath:
    """Tries the endpoints of a request's next phase in order of preference."""

    def __init__(
        self,
        dispatcher: AttemptDispatcher,
        prefill_selection: PrefillSelection,
        decode_selection: DecodeSelection,
        prefill_overflow: PrefillOverflow,
        load_probes: LoadProbes,
    ) -> None:
        self.dispatcher = dispatcher
        self.prefill_selection = prefill_selection
        self.decode_selection = decode_selection
        self.prefill_overflow = prefill_overflow
        self.load_probes = load_probes

    def send_next(self, request: TrackedRequest) -> None:
        """Send a request to an endpoint of its next phase.

        Nothing is sent while the request waits for a load report, or if no endpoint accepts it now."""
        if request.phase is RequestPhase.PREFILLED:
            self.dispatcher.send_decode(request, self.decode_selection.ordered(request))
            return
        if request.append_endpoint is not None:
            if self.dispatcher.send_decode(request, [request.append_endpoint]):
                return
            request.append_endpoint = None
        first = self.prefill_selection.first(request)
        if first is not None and self.load_probes.probe(request, first):
            return
        if not self.dispatcher.send_prefill(request, self.prefill_selection.ordered(request)):
            self.send_overflow(request)

    def send_overflow(self, request: TrackedRequest) -> bool:
        """Send a request to a decode endpoint that also prefills it; return whether it was sent."""
        return self.dispatcher.send_decode(request, self.prefill_overflow.endpoints(request))
