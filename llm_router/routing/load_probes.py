"""Load probes: asks prefill endpoints for their load before a request is sent to one."""

from __future__ import annotations

from llm_router.routing.actions import ProbeLoad
from llm_router.routing.context import PolicyContext
from llm_router.routing.duration import MILLISECOND
from llm_router.routing.endpoint_index import EndpointIndex
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.events import AttemptStatus, LoadProbeEnded
from llm_router.routing.tracked_request import TrackedRequest

MAX_PROBES = 3  # endpoints probed for one request: each costs a round trip before the prefill
PROBE_TIMEOUT = 60 * MILLISECOND  # nanoseconds that a request waits for one report
REPORT_LIFETIME = 400 * MILLISECOND  # nanoseconds for which a report counts: queues change in about that time


class LoadProbes:
    """Sends load probes and records their reports.

    Avoids queues that other router instances have filled: of many instances, each sends to an endpoint too
    rarely to know its queue by its own waits. Reports that lag by more than a queue lasts mislead."""

    def __init__(self, context: PolicyContext, index: EndpointIndex) -> None:
        self.context = context
        self.index = index

    def has_report(self, endpoint: EndpointState) -> bool:
        """Return whether there is a load report of an endpoint that still counts."""
        reported_at = endpoint.load_report_at
        return reported_at is not None and self.context.now < reported_at + REPORT_LIFETIME

    def probe(self, request: TrackedRequest, endpoint: EndpointState) -> bool:
        """Probe the endpoint that a request would go to; return whether the request waits for a report."""
        if not self.context.settings.load_probes or self.has_report(endpoint):
            return False
        if endpoint not in request.probed_endpoints and len(request.probed_endpoints) < MAX_PROBES:
            request.probed_endpoints.append(endpoint)
            request.probe_deadline = self.context.now + PROBE_TIMEOUT
            self.context.set_timer(PROBE_TIMEOUT, lambda: request)
            self._send_probe(endpoint)
        return self.context.now < request.probe_deadline

    def _send_probe(self, endpoint: EndpointState) -> None:
        """Send a probe, unless one is out that another request waits for."""
        sent_at = endpoint.probe_sent_at
        if sent_at is None or self.context.now >= sent_at + REPORT_LIFETIME:
            endpoint.probe_sent_at = self.context.now
            self.context.emit(ProbeLoad(endpoint.endpoint_id))

    def record_result(self, endpoint: EndpointState, event: LoadProbeEnded) -> None:
        """Record what came of a probe."""
        endpoint.probe_sent_at = None
        if event.status is AttemptStatus.OK:
            endpoint.load_report = event.report
            endpoint.load_report_at = self.context.now
            self.index.mark_used(endpoint)

    def is_waiting(self, request: TrackedRequest, endpoint: EndpointState) -> bool:
        """Return whether a request waits for the report of an endpoint."""
        return endpoint in request.probed_endpoints and self.context.now < request.probe_deadline
