"""The state that the reducer changes: requests with their attempts, and the fleet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta
from enum import Enum, auto
from zlib import crc32

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.idempotency_registry import IdempotencyRegistry
from llm_router.lifecycle.interval_metrics import IntervalMetrics
from llm_router.lifecycle.kv_lease import KvLease
from llm_router.lifecycle.start_times import StartTimes
from llm_router.lifecycle.units import to_span
from llm_router.routing.events import AttemptStatus, EndpointStatus
from llm_router.routing.indexed_set import IndexedSet
from llm_router.routing.policy import RoutingPolicy
from llm_router.routing.settings import Settings

LISTS_LATE_BY = timedelta(seconds=4)  # at most a third of a slow start, lest a wrong clock hide it


class Arrival(Enum):
    """What is known of an attempt's way to its server, once it is written."""

    UNKNOWN = auto()  # it is taken as there, as most are
    ARRIVED = auto()  # another server knows of it
    MISSING = auto()  # a sign says that its last byte never got there


@dataclass(slots=True)
class Attempt:
    """One send of a request."""

    server: int
    reads: bool
    opened: timedelta
    endpoint: Endpoint | None = None
    sent: bool = False  # bytes of it may have gone: until then it is no more than a connection that comes up
    arrival: Arrival = Arrival.UNKNOWN
    unknown_once: bool = False  # a decode server that was asked for a place did not know of it
    may_have_run: bool = False  # it is over, and may have had an effect
    began: bool = False
    over: bool = False
    abandoned: AttemptStatus | None = None  # how it counts once its connection is closed
    status: AttemptStatus | None = None  # how it ended

    @property
    def ended_by(self) -> str:
        """Give how it ended, or that it is out, for the log."""
        return "out" if self.status is None else self.status.value


@dataclass(slots=True)
class Request:
    """A request taken, until its last attempt and hold are in."""

    asked: events.RequestReceived
    taken: timedelta
    deadline: timedelta
    held: KvLease
    attempts: list[Attempt] = field(default_factory=list)
    began: bool = False
    closed: bool = False  # the client has its answer, is getting it, or is gone
    reserved_at: int | None = None  # the writer that was asked last
    release_calls: int = 0  # how many there were so far
    woken_at: timedelta | None = None  # when the next look at what is held is due
    may_have_run: bool = False

    @property
    def out(self) -> bool:
        """Tell whether an attempt is out."""
        return any(not attempt.over for attempt in self.attempts)

    @property
    def reading(self) -> bool:
        """Tell whether a prefill attempt is out that its server may have got: its state is its own."""
        return any(
            each.sent and each.reads and not each.over and each.arrival is not Arrival.MISSING
            for each in self.attempts
        )

    @property
    def decoding(self) -> bool:
        """Tell whether an attempt is out that was written to a decode server."""
        return any(each.sent and not each.reads and not each.over for each in self.attempts)

    def may_release(self, now: timedelta) -> bool:
        """Tell whether releases may go out now.

        Not while a prefill is out, lest they take its state, unless an earlier one goes on that broke off. A
        decode attempt that waits for a state keeps it."""
        return not self.reading or now < self.held.reads_on_until

    @property
    def lingers(self) -> bool:
        """Tell whether its client has its answer, and only what is held is still to be released."""
        return self.closed and not self.out


@dataclass
class RouterState:
    """The state that `reduce` changes."""

    settings: Settings
    policy: RoutingPolicy
    idempotency_registry: IdempotencyRegistry
    requests: dict[str, Request] = field(default_factory=dict)
    numbers: dict[str, int] = field(default_factory=dict)  # the module's server numbers, by name
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    metrics: IntervalMetrics = field(default_factory=IntervalMetrics)
    signs: dict[int, tuple[bool, timedelta]] = field(default_factory=dict)  # the last sign: well or not, when
    listed: IndexedSet[int] = field(default_factory=IndexedSet)  # the numbers in `fleet`
    names: dict[int, str] = field(default_factory=dict)  # `numbers` the other way round
    start_times: StartTimes = field(default_factory=StartTimes)
    violations: Counter[str] = field(default_factory=Counter)  # by the name of the rule

    def __post_init__(self) -> None:
        """Index the kinds of endpoints and the effects of classes, by name."""
        self.kinds = {kind.name: kind for kind in self.settings.kinds}
        self.start_times.late_by = min(LISTS_LATE_BY, to_span(self.settings.slow_start_window) / 3)
        self.effects = {cls.name: cls.idempotency for cls in self.settings.classes}

    def number(self, name: str) -> int:
        """Give an endpoint's number: the same at every conductor, as the module's ring hashes it."""
        if name not in self.numbers:
            number = crc32(name.encode())
            while number in self.names:
                number += 1
            self.numbers[name] = number
            self.names[number] = name
        return self.numbers[name]

    def complete(self, told: Endpoint) -> Endpoint | None:
        """Fill in from what is known of an endpoint where an entry cannot be read; None to leave it out.

        One that comes to be of a kind that the settings do not name is gone."""
        known = self.endpoints.get(self.numbers.get(told.name, -1))
        if known is not None and not (told.address and told.kind):
            return replace(known, status=told.status)
        if told.address and told.kind in self.kinds:
            return told
        return None if known is None else replace(known, status=EndpointStatus.REMOVED)

    def list_endpoint(self, number: int, endpoint: Endpoint) -> None:
        """Enter an endpoint into the fleet, or what is new of it."""
        self.endpoints[number] = endpoint
        self.listed.add(number)

    def forget(self, number: int, now: timedelta) -> None:
        """Remove an endpoint from the fleet, and all that is kept of it."""
        name = self.endpoints.pop(number).name
        self.listed.discard(number)
        self.signs.pop(number, None)
        del self.numbers[name], self.names[number]
        self.start_times.forget(name, now)


def abandon(request: Request, index: int, status: AttemptStatus) -> Iterator[effects.Effect]:
    """Close an attempt's connection; it counts as given up with this status."""
    attempt = request.attempts[index]
    if not attempt.over and attempt.abandoned is None:
        attempt.abandoned = status
        yield effects.AbortAttempt(request.asked.request_id, index)
