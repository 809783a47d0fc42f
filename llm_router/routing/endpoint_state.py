"""What the policy knows of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from llm_router.routing.events import NO_REPORT, EndpointEntry, LoadReport
from llm_router.routing.settings import Role

if TYPE_CHECKING:
    from llm_router.routing.tracked_request import Attempt


class TenantClass(NamedTuple):
    """A tenant with one of the request classes; endpoints may reject the requests of one alone."""

    tenant: str | None
    class_name: str


NO_TENANT_CLASS = TenantClass(None, "")  # matches no request: leaves overload of single tenants aside


class AttemptKey(NamedTuple):
    """The identity of an attempt among those at an endpoint."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class CachedPrefix:
    """When an endpoint last prefilled a shared prefix."""

    updated_at: int


@dataclass(slots=True, eq=False)
class EndpointState:
    """An endpoint as this router instance knows it; all times are nanoseconds."""

    entry: EndpointEntry
    role: Role
    memory_tokens: int
    open_attempts: dict[AttemptKey, Attempt] = field(default_factory=dict)  # ours, oldest first
    committed_tokens: int = 0  # tokens that the answers of our open attempts may come to occupy
    streams: int = 0  # our open decode attempts
    queueing_delay: int = 0  # how long its last prefill or first token had to wait; below 0 if early
    queueing_delay_at: int = 0
    overtaken_before: int = 0  # attempts sent before this were overtaken by later ones that were answered
    last_response_at: int = 0
    consecutive_ejections: int = 0
    consecutive_errors: int = 0  # error answers, and answers that could not be read
    ejected_until: int = 0
    slow_until: int = 0
    overloaded_until: dict[TenantClass | None, int] = field(default_factory=dict)
    next_slow_start_send: int | None = None  # the earliest time of its next attempt during slow start
    load_report: LoadReport = NO_REPORT
    load_report_at: int | None = None
    probe_sent_at: int | None = None  # while a load probe is out
    cache_valid_since: int = 0  # what it cached before this is lost
    cached_prefixes: dict[str, CachedPrefix] = field(default_factory=dict)  # the latest last

    @property
    def endpoint_id(self) -> int:
        """Return its number in the endpoint list."""
        return self.entry.endpoint_id

    def update_entry(self, entry: EndpointEntry, role: Role, now: int) -> None:
        """Take over an entry of the endpoint list; after a restart nothing learnt before counts."""
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
        """Return from when on it is neither ejected nor overloaded for a tenant and class."""
        return max(self.ejected_until, self.overloaded_until.get(tenant_class, 0))

    @property
    def oldest_waiting(self) -> Attempt | None:
        """Return our attempt that has waited longest there, without those that later ones overtook."""
        for attempt in self.open_attempts.values():
            if attempt.is_waiting and not attempt.is_overtaken:
                return attempt
        return None

    @property
    def waiting_tokens(self) -> int:
        """Return how many of our prompt tokens wait for their prefill there."""
        return sum(attempt.uncached_tokens for attempt in self.open_attempts.values() if attempt.is_waiting)
