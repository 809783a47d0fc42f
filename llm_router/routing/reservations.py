"""Reservations of capacity at decode endpoints while the prefill runs."""

from __future__ import annotations

from llm_router.routing.actions import Reserve
from llm_router.routing.context import PolicyContext
from llm_router.routing.decode_selection import DecodeSelection
from llm_router.routing.slow_start import SlowStart
from llm_router.routing.statistics import RECENT_SPAN, DecayingCounter
from llm_router.routing.tracked_request import TrackedRequest

MAX_RESERVATIONS = 4  # maximum number of decode endpoints that are asked, one by one, during a prefill


class Reservations:
    """Requests reservations and counts how many are granted and denied.

    A reservation lets the KV state transfer start early. It also avoids decode endpoints that other router
    instances have filled without this instance's knowledge. Its cost is capacity that stays idle during a
    long prefill."""

    def __init__(
        self, context: PolicyContext, decode_selection: DecodeSelection, slow_start: SlowStart
    ) -> None:
        self.context = context
        self.decode_selection = decode_selection
        self.slow_start = slow_start
        self._granted = DecayingCounter(RECENT_SPAN)
        self._denied = DecayingCounter(RECENT_SPAN)

    def request_next(self, request: TrackedRequest) -> None:
        """Request a reservation at the best decode endpoint not yet asked, if the settings allow it."""
        targets = request.reservation_targets
        if not self.context.settings.reservations or len(targets) >= MAX_RESERVATIONS:
            return
        for endpoint in self.decode_selection.ordered(request)[:MAX_RESERVATIONS]:
            if endpoint not in targets and self.slow_start.admit(endpoint, is_prefill=False):
                targets.append(endpoint)
                self.context.emit(Reserve(request.request_id, endpoint.endpoint_id))
                return

    def record_result(self, request: TrackedRequest, *, granted: bool) -> None:
        """Record the answer to the latest reservation request; after a denial, ask the next endpoint."""
        if not request.reservation_targets:
            return
        counter = self._granted if granted else self._denied
        counter.add(self.context.now)
        if request.ended:
            return
        if granted:
            request.reserved_endpoint = request.reserved_endpoint or request.reservation_targets[-1]
        elif request.reserved_endpoint is None:
            self.request_next(request)

    def denied_share(self) -> float:
        """Return the share of recent reservation requests that were denied.

        The denominator has an extra 1, so that a few requests give a low share. The share reflects any
        shortage at decode endpoints: bursts, lost endpoints, long prompts. It is too high if full endpoints
        are asked while others have capacity. Older requests fade out over RECENT_SPAN."""
        denied = self._denied.decay(self.context.now)
        granted = self._granted.decay(self.context.now)
        return denied / (denied + granted + 1)
