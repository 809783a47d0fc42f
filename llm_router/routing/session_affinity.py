"""Session affinity: a table of the endpoints that served each session last."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from llm_router.routing.duration import SECOND
from llm_router.routing.events import RequestReceived
from llm_router.routing.settings import Role
from llm_router.routing.statistics import drop_older_than, drop_oldest

if TYPE_CHECKING:
    from llm_router.routing.endpoint_state import EndpointState
    from llm_router.routing.tracked_request import TrackedRequest

# Maximum number of entries. Clients choose the keys, so without a limit they could fill the memory.
MAX_ENTRIES = 16_384
IDLE_TIMEOUT = 120 * SECOND  # nanoseconds after which an endpoint has most likely evicted an idle session


@dataclass(slots=True)
class SessionAffinity:
    """The endpoints that decoded and prefilled a session's last answer, with the number of prompt tokens."""

    decode_endpoint_id: int
    updated_at: int
    prefill_endpoint_id: int | None
    prefilled_tokens: int


class SessionAffinityTable:
    """The affinities by session id, or by prefix for requests without a session.

    The entries are ordered by the time of their last update, oldest first."""

    def __init__(self) -> None:
        self.entries: dict[str, SessionAffinity] = {}

    def find(self, received: RequestReceived) -> SessionAffinity | None:
        """Return the affinity of a request's session or prefix, or None."""
        return self.entries.get(self._key(received))

    def record_answer(self, request: TrackedRequest, decoded_by: EndpointState, now: int) -> None:
        """Record the endpoints that served a request; an append-prefill keeps the prefill endpoint."""
        key = self._key(request.received)
        self.entries.pop(key, None)
        self.entries[key] = self._next_entry(request, decoded_by, now)
        drop_oldest(self.entries, MAX_ENTRIES)

    def drop_idle(self, now: int) -> None:
        """Drop the entries without an answer in the last IDLE_TIMEOUT nanoseconds."""
        drop_older_than(self.entries, now - IDLE_TIMEOUT)

    @staticmethod
    def _key(received: RequestReceived) -> str:
        return received.session or received.prefix or ""

    @staticmethod
    def _next_entry(request: TrackedRequest, decoded_by: EndpointState, now: int) -> SessionAffinity:
        prefilled_by = request.prefilled_by
        if prefilled_by is None and decoded_by.role is Role.MIXED:
            prefilled_by = decoded_by
        if prefilled_by is not None:
            tokens = request.received.prompt_tokens
            return SessionAffinity(decoded_by.endpoint_id, now, prefilled_by.endpoint_id, tokens)
        earlier = request.affinity
        if earlier is None:
            return SessionAffinity(decoded_by.endpoint_id, now, None, 0)
        return SessionAffinity(
            decoded_by.endpoint_id, now, earlier.prefill_endpoint_id, earlier.prefilled_tokens
        )
