"""Load probes, which ask prefill endpoints for their load before a request is sent to one of them."""

from __future__ import annotations

from llm_router.routing.actions import ProbeLoad
from llm_router.routing.context import PolicyContext
from llm_router.routing.duration import MILLISECOND
from llm_router.routing.endpoint_index import EndpointIndex
from llm_router.routing.endpoint_state import EndpointState
from llm_router.routing.events import AttemptStatus, LoadProbeEnded
from llm_router.routing.tracked_request import TrackedRequest

# The number of endpoints that are probed for one request; each probe costs a round trip before the prefill.
MAX_PROBES = 3
PROBE_TIMEOUT = 60 * MILLISECOND  # longest time that a request waits for one load report, in nanoseconds
# The nanoseconds after which a load report is too old to be used; queues change within about this time.
REPORT_LIFETIME = 400 * MILLISECOND


class LoadProbes:
    """The sender of load probes, which also records the load reports.

    Load reports show the queues that other router instances have filled. One of many router instances sends
    too few requests to an endpoint to measure its queue. Reports mislead if they are older than the
    time in which a queue drains."""

    def __init__(self, context: PolicyContext, index: EndpointIndex) -> None:
        self.context = context
        self.index = index

    def has_report(self, endpoint: EndpointState) -> bool:
        """Return whether the latest load report of an endpoint is recent enough to be used."""
        reported_at = endpoint.load_report_at
        return reported_at is not None and self.context.now < reported_at + REPORT_LIFETIME

    def probe(self, request: TrackedRequest, endpoint: EndpointState) -> bool:
        """Probe an endpoint if a request needs its load report; return whether the request must wait."""
        if not self.context.settings.load_probes or self.has_report(endpoint):
            return False
        if endpoint not in request.probed_endpoints and len(request.probed_endpoints) < MAX_PROBES:
            request.probed_endpoints.append(endpoint)
            request.probe_deadline = self.context.now + PROBE_TIMEOUT
            self.context.set_timer(PROBE_TIMEOUT, lambda: request)
            self._send_probe(endpoint)
        return self.context.now < request.probe_deadline

    def _send_probe(self, endpoint: EndpointState) -> None:
        """Send a load probe, unless a recent probe of the same endpoint is still unanswered."""
        sent_at = endpoint.probe_sent_at
        if sent_at is None or self.context.now >= sent_at + REPORT_LIFETIME:
            endpoint.probe_sent_at = self.context.now
            self.context.emit(ProbeLoad(endpoint.endpoint_id))

    def record_result(self, endpoint: EndpointState, event: LoadProbeEnded) -> None:
        """Record the end of a load probe, and its report if the probe succeeded."""
        endpoint.probe_sent_at = None
        if event.status is AttemptStatus.OK:
            endpoint.load_report = event.report
            endpoint.load_report_at = self.context.now
            self.index.mark_used(endpoint)

    def is_waiting(self, request: TrackedRequest, endpoint: EndpointState) -> bool:
        """Return whether a request is waiting for the load report of an endpoint."""
        return endpoint in request.probed_endpoints and self.context.now < request.probe_deadline
