"""The state that the routing policy keeps for each endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from llm_router.routing.events import NO_REPORT, EndpointEntry, LoadReport
from llm_router.routing.settings import Role

if TYPE_CHECKING:
    from llm_router.routing.tracked_request import Attempt


class TenantClass(NamedTuple):
    """A tenant and a request class. An endpoint may be overloaded for one such pair and accept others."""

    tenant: str | None
    class_name: str


# This pair matches no request. Callers pass it to ignore overload that concerns a single tenant and class.
NO_TENANT_CLASS = TenantClass(None, "")


class AttemptKey(NamedTuple):
    """The key of an attempt among the open attempts of an endpoint."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class CachedPrefix:
    """A prefix in an endpoint's cache, with the time of the last prefill that used it."""

    updated_at: int


@dataclass(slots=True, eq=False)
class EndpointState:
    """An endpoint as this router instance knows it; all times and durations are in nanoseconds."""

    entry: EndpointEntry
    role: Role
    memory_tokens: int
    # The open attempts of this router instance at the endpoint, oldest first.
    open_attempts: dict[AttemptKey, Attempt] = field(default_factory=dict)
    committed_tokens: int = 0  # KV memory that this router's open decode attempts may need, in tokens
    streams: int = 0  # number of this router's open decode attempts
    # Queueing delay of the latest prefill or first token, below 0 if it took less than the prefill estimate.
    queueing_delay: int = 0
    queueing_delay_at: int = 0
    # Attempts sent earlier than this time are overtaken: the endpoint has answered an attempt sent later.
    overtaken_before: int = 0
    last_response_at: int = 0
    consecutive_ejections: int = 0
    # Number of error responses, malformed responses and broken connections in sequence.
    consecutive_errors: int = 0
    ejected_until: int = 0
    slow_until: int = 0
    overloaded_until: dict[TenantClass | None, int] = field(default_factory=dict)
    next_slow_start_send: int | None = None  # earliest time of the next attempt during slow start
    load_report: LoadReport = NO_REPORT
    load_report_at: int | None = None
    probe_sent_at: int | None = None  # send time of the running load probe, None if there is none
    cache_valid_since: int = 0  # time at which the endpoint last lost the contents of its cache
    # The prefixes in the endpoint's cache, ordered by the time of their last use.
    cached_prefixes: dict[str, CachedPrefix] = field(default_factory=dict)

    @property
    def endpoint_id(self) -> int:
        """Return the endpoint's ID from the endpoint list."""
        return self.entry.endpoint_id

    def update_entry(self, entry: EndpointEntry, role: Role, now: int) -> None:
        """Apply an entry of the endpoint list; if the endpoint has restarted, reset its measurements."""
        if entry.started_at > self.entry.started_at:
            self._reset(now)
        self.entry = entry
        self.role = role

    def _reset(self, now: int) -> None:
        self.next_slow_start_send = None
        self.cache_valid_since = now
        self.consecutive_ejections = 0
        self.ejected_until = 0
        self.slow_until = 0
        self.queueing_delay = 0
        self.load_report_at = None
        self.probe_sent_at = None
        self.cached_prefixes.clear()
        self.overloaded_until.clear()

    def available_at(self, tenant_class: TenantClass) -> int:
        """Return the time when the endpoint's ejection and its overload for a tenant and class have ended."""
        return max(self.ejected_until, self.overloaded_until.get(tenant_class, 0))

    @property
    def oldest_waiting(self) -> Attempt | None:
        """Return this router's oldest attempt at the endpoint that has no response and is not overtaken."""
        for attempt in self.open_attempts.values():
            if attempt.is_waiting and not attempt.is_overtaken:
                return attempt
        return None

    @property
    def waiting_tokens(self) -> int:
        """Return how many prompt tokens of this router's attempts wait for prefill at the endpoint."""
        return sum(attempt.uncached_tokens for attempt in self.open_attempts.values() if attempt.is_waiting)
