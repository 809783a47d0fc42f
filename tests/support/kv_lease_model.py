"""A model of endpoints, network and clock around the reducer, which judges the rule on held state by itself.

All times are whole milliseconds of a clock of its own. What endpoints hold follows the protocol page; the
network has a delay of its own for each endpoint, so that calls and closes overtake one another."""

from __future__ import annotations

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.idempotency_registry import IdempotencyRegistry
from llm_router.lifecycle.reducer import reduce
from llm_router.lifecycle.state import RouterState
from llm_router.routing.events import AttemptStatus, EndpointStatus
from llm_router.routing.policy import RoutingPolicy
from llm_router.routing.settings import Settings

SLACK = 300  # that state may be held beyond the release time
UNKNOWN_AFTER = 300  # a reservation is answered so late where no read is out
CONNECT_TIMEOUT, RESERVATION_TIMEOUT, RELEASE_TIMEOUT = 250, 1000, 2000
ACKNOWLEDGED_BY = 120  # what the other machine has not acknowledged by then is told as missing
RELEASE_FIRST = 100  # an attempt may wait so long for the release of what an earlier one left
START = 1_000_000


@dataclass(frozen=True)
class Behaviour:
    """How an endpoint and the way to it behave."""

    delay: int = 1  # each way
    connects: bool = True  # or connections never come up
    work: int = 20  # of a read, or till the first token
    fails: str = ""  # "reset", "error" or "full": how an attempt ends
    reads_on: int = 0  # after a reset the read goes on for so long, and ends well
    hangs: bool = False  # it takes what comes, and never answers an attempt
    cut_off: bool = False  # what is written to a connection kept from before never comes to it
    grants: bool = True  # a place
    answers_reservations: bool = True


@dataclass
class Work:
    """An attempt as its endpoint knows it."""

    id: str
    over: bool = False


@dataclass
class Held:
    """What endpoints hold for a request, and the attempts of it that are out there."""

    items: set[str] = field(default_factory=set)
    reading: int = 0
    decoding: int = 0
    since: int | None = None


class Model:
    """The reducer with all that is around it."""

    def __init__(self, settings: Settings, behaviours: dict[tuple[str, str], Behaviour], seed: int) -> None:
        self.handlers: dict[type, Callable] = {
            effects.SendRejection: self.on_rejection,
            effects.SendFailure: self.on_rejection,
            effects.ScheduleTimer: self.on_schedule_timer,
            effects.OpenAttempt: self.on_open_attempt,
            effects.AbortAttempt: self.on_abort_attempt,
            effects.Reserve: self.on_reserve,
            effects.Release: self.on_release,
            effects.CancelReleases: self.on_cancel_releases,
        }
        self.state = RouterState(
            settings, RoutingPolicy(settings, seed), IdempotencyRegistry(9, timedelta(minutes=10))
        )
        self.now, self.queue, self.count = START, [], itertools.count()
        self.behaviours = {name: behaviour for (name, _), behaviour in behaviours.items()}
        within = settings.release_timeout
        self.limit = None if within is None else within // 1_000_000 + SLACK
        self.held: defaultdict[str, Held] = defaultdict(Held)
        self.breaks: list[str] = []
        self.answers: list[str] = []
        self.out: dict[tuple[str, int], Work | None] = {}  # attempts that the reducer awaits
        self.releases: dict[str, set[int]] = {}  # release calls that the reducer awaits
        zones = itertools.cycle("ab")
        entries = [
            Endpoint(name, f"{name}:1", next(zones), kind, 0, EndpointStatus.READY)
            for name, kind in behaviours
        ]
        self.feed(events.EndpointListReceived(tuple(entries), True))

    # --- clock

    def after(self, span: int, work: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + span, next(self.count), work))

    def run(self, until: int) -> None:
        """Let time pass."""
        while self.queue and self.queue[0][0] <= START + until:
            at, _, work = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            work()
        for id in list(self.held):
            self.judge(id)

    # --- the reducer's side

    def feed(self, event: events.Event) -> None:
        now = timedelta(milliseconds=self.now)
        for effect in reduce(self.state, now, event):
            if handler := self.handlers.get(type(effect)):
                handler(effect)

    def on_rejection(self, effect: effects.SendRejection) -> None:
        self.answers.append(effect.request_id)

    def on_schedule_timer(self, effect: effects.ScheduleTimer) -> None:
        at = -(-effect.at // timedelta(milliseconds=1))
        self.after(max(0, at - self.now), lambda: self.feed(events.TimerFired(effect.timer)))

    def on_open_attempt(self, effect: effects.OpenAttempt) -> None:
        key, how = (effect.request_id, effect.attempt), self.behaviours[effect.endpoint.name]
        self.out[key] = None
        if how.connects:
            waits = RELEASE_FIRST if effect.awaits_release else 0
            self.after(how.delay + waits, lambda: self.send(effect, how))
            return
        within = CONNECT_TIMEOUT
        if effect.connect_timeout is not None:
            within = min(within, effect.connect_timeout // timedelta(milliseconds=1))
        self.after(within, lambda: self.end(key, AttemptStatus.CONNECT_FAILED))

    def send(self, effect: effects.OpenAttempt, how: Behaviour) -> None:
        """Write an attempt's request: its connection is up."""
        key = effect.request_id, effect.attempt
        if key not in self.out:
            return
        work = self.out[key] = Work(effect.request_id)
        self.feed(events.AttemptWritten(*key))
        if how.cut_off:
            work.over = True  # at the endpoint it never began
            self.after(ACKNOWLEDGED_BY, lambda: self.feed(events.AttemptUnacknowledged(*key)))
            return
        arrive = self.read if effect.is_prefill else self.decode
        self.after(how.delay, lambda: arrive(key, work, effect.endpoint.name, how))

    def on_abort_attempt(self, effect: effects.AbortAttempt) -> None:
        key = effect.request_id, effect.attempt
        if key not in self.out:
            return
        work = self.out[key]
        name = self.state.requests[effect.request_id].attempts[effect.attempt].endpoint.name
        if work is not None:
            self.after(self.behaviours[name].delay, lambda: self.close(work, reads=name.startswith("r")))
        self.after(0, lambda: self.end(key, AttemptStatus.CANCELLED))

    def end(self, key: tuple[str, int], status: AttemptStatus) -> None:
        """Tell the reducer of an attempt's end, unless it has one already."""
        if key in self.out:
            del self.out[key]
            self.feed(events.AttemptEnded(*key, status))

    def on_reserve(self, effect: effects.Reserve) -> None:
        key, how = (effect.request_id, effect.attempt), self.behaviours[effect.endpoint.name]
        if not how.connects:
            self.after(0, lambda: self.feed(events.ReservationEnded(*key, ReservationOutcome.REJECTED)))
            return
        self.after(2, lambda: self.write_reservation(key, effect.endpoint.name, how))

    def write_reservation(self, key: tuple[str, int], name: str, how: Behaviour) -> None:
        if key not in self.out:  # it is not written once the read is over
            self.feed(events.ReservationEnded(*key, ReservationOutcome.REJECTED))
            return
        if self.out[key] is None:  # nor before the read is
            self.after(2, lambda: self.write_reservation(key, name, how))
            return
        self.after(how.delay, lambda: self.reserve(key, name, how))
        if not how.answers_reservations:
            self.after(
                RESERVATION_TIMEOUT,
                lambda: self.feed(events.ReservationEnded(*key, ReservationOutcome.UNANSWERED)),
            )

    def on_release(self, effect: effects.Release) -> None:
        how = self.behaviours[effect.endpoint.name]
        self.releases.setdefault(effect.request_id, set()).add(effect.call_number)
        if how.connects:
            self.after(how.delay, lambda: self.write_release(effect, how))
        else:
            self.after(RELEASE_TIMEOUT, lambda: self.answer_release(effect, False))

    def write_release(self, effect: effects.Release, how: Behaviour) -> None:
        if effect.call_number in self.releases.get(effect.request_id, ()):
            self.after(how.delay, lambda: self.release(effect, how))

    def answer_release(self, effect: effects.Release, heard: bool) -> None:
        if effect.call_number in self.releases.get(effect.request_id, ()):
            self.releases[effect.request_id].discard(effect.call_number)
            self.feed(
                events.ReleaseCallEnded(effect.request_id, effect.accepted_at, effect.call_number, heard)
            )

    def on_cancel_releases(self, effect: effects.CancelReleases) -> None:
        self.releases.pop(effect.request_id, None)

    # --- the endpoints' side

    def change(
        self,
        id: str,
        *,
        counts: bool = False,
        reading: int = 0,
        decoding: int = 0,
        adds: str = "",
        clears: bool = False,
    ) -> None:
        """Note a change of what is held; `counts`: an outcome or reservation, from which time runs anew."""
        self.judge(id)
        held = self.held[id]
        held.reading += reading
        held.decoding += decoding
        if adds:
            held.items.add(adds)
        if clears:
            held.items.clear()
        if not held.items or held.reading or held.decoding:
            held.since = None
        elif held.since is None or counts:
            held.since = self.now

    def judge(self, id: str) -> None:
        held = self.held[id]
        if self.limit is None or held.since is None or self.now - held.since <= self.limit:
            return
        self.breaks.append(f"{id}: {sorted(held.items)} from {held.since - START} to {self.now - START}")
        held.since = self.now

    def close(self, work: Work, reads: bool) -> None:
        """Let an attempt's close arrive."""
        if not work.over:
            work.over = True
            self.change(work.id, counts=True, reading=-reads, decoding=-(not reads))

    def read(self, key: tuple[str, int], work: Work, name: str, how: Behaviour) -> None:
        self.change(work.id, reading=1)
        if not how.hangs:
            self.after(how.work, lambda: self.finish_read(key, work, name, how))

    def finish_read(self, key: tuple[str, int], work: Work, name: str, how: Behaviour) -> None:
        if work.over:
            return
        work.over = True
        statuses = {
            "reset": AttemptStatus.RESET,
            "error": AttemptStatus.ERROR,
            "full": AttemptStatus.OVERLOADED,
            "": AttemptStatus.PREFILLED,
        }
        self.change(work.id, counts=True, reading=-1, adds="" if how.fails else f"state at {name}")
        self.after(how.delay, lambda: self.end_read(key, statuses[how.fails], name, how))

    def end_read(self, key: tuple[str, int], status: AttemptStatus, name: str, how: Behaviour) -> None:
        """Let a read's end arrive. One whose connection broke may go on, unless it was given up before.

        The state of a read that was given up goes by itself, but for one that has just ended."""
        if key in self.out and status is AttemptStatus.RESET and how.reads_on:
            self.after(how.reads_on, lambda: self.change(key[0], counts=True, adds=f"state at {name}"))
        self.end(key, status)

    def decode(self, key: tuple[str, int], work: Work, name: str, how: Behaviour) -> None:
        if not any(each.startswith("state") for each in self.held[work.id].items):
            work.over = True
            self.after(how.delay, lambda: self.end_without_state(key))
            return
        self.change(work.id, decoding=1)
        if not how.hangs:
            self.after(how.work, lambda: self.finish_decode(key, work, how))

    def end_without_state(self, key: tuple[str, int]) -> None:
        if key in self.out:
            del self.out[key]
            self.feed(events.AttemptEnded(*key, AttemptStatus.OVERLOADED, 1))

    def finish_decode(self, key: tuple[str, int], work: Work, how: Behaviour) -> None:
        if work.over:
            return
        if how.fails:
            work.over = True
            self.change(work.id, counts=True, decoding=-1)
            statuses = {
                "reset": AttemptStatus.RESET,
                "error": AttemptStatus.ERROR,
                "full": AttemptStatus.OVERLOADED,
            }
            self.after(how.delay, lambda: self.end(key, statuses[how.fails]))
            return
        self.change(work.id, clears=True)
        self.after(how.delay, lambda: key in self.out and self.feed(events.ResponseStarted(*key)))
        self.after(how.work, lambda: self.finish_stream(key, work, how))

    def finish_stream(self, key: tuple[str, int], work: Work, how: Behaviour) -> None:
        if not work.over:
            work.over = True
            self.change(work.id, counts=True, decoding=-1)
            self.after(how.delay, lambda: self.end(key, AttemptStatus.OK))

    def reserve(self, key: tuple[str, int], name: str, how: Behaviour) -> None:
        known = self.held[key[0]].reading > 0
        if how.grants:
            self.change(key[0], counts=True, adds=f"place at {name}")
        result = ReservationOutcome.UNKNOWN
        if known:
            result = ReservationOutcome.RESERVED if how.grants else ReservationOutcome.REJECTED
        if how.answers_reservations:
            wait = how.delay + (0 if known else UNKNOWN_AFTER)
            self.after(wait, lambda: self.feed(events.ReservationEnded(*key, result)))

    def release(self, effect: effects.Release, how: Behaviour) -> None:
        if not self.held[effect.request_id].decoding:
            self.change(effect.request_id, clears=True)
        self.after(how.delay, lambda: self.answer_release(effect, True))
