"""The check that runs at regular intervals while requests wait for their first token."""

from __future__ import annotations

from llm_router.routing.context import PolicyContext
from llm_router.routing.prefix_popularity import PrefixPopularity
from llm_router.routing.request_progress import CHECK_INTERVAL, RequestProgress
from llm_router.routing.session_affinity import SessionAffinityTable
from llm_router.routing.silence_detection import SilenceDetector
from llm_router.routing.tracked_request import TrackedRequest


class PeriodicCheck:
    """Detects silent endpoints, drops idle table entries and advances requests, once per CHECK_INTERVAL."""

    def __init__(
        self,
        context: PolicyContext,
        requests: dict[str, TrackedRequest],
        silence: SilenceDetector,
        affinities: SessionAffinityTable,
        popularity: PrefixPopularity,
        progress: RequestProgress,
    ) -> None:
        self.context = context
        self.requests = requests
        self.silence = silence
        self.affinities = affinities
        self.popularity = popularity
        self.progress = progress
        self._is_scheduled = False

    def ensure_scheduled(self) -> None:
        """Schedule the next check unless one is scheduled already."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self.context.set_timer(CHECK_INTERVAL, self._run)

    def _run(self) -> None:
        waiting = [request for request in self.requests.values() if not request.has_answer]
        try:
            self._check(waiting)
        finally:  # An internal error must not end the checks.
            self._is_scheduled = False
            if waiting:
                self.ensure_scheduled()

    def _check(self, waiting: list[TrackedRequest]) -> None:
        self.silence.check(waiting)
        self.affinities.drop_idle(self.context.now)
        self.popularity.drop_idle()
        for request in waiting:
            self.progress.advance(request)
