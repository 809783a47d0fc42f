"""A model of endpoints, network and clock around the reducer, which checks the release time by itself.

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

MILLISECOND = timedelta(milliseconds=1)
RELEASE_SLACK = 300  # that state may be held beyond the release time
UNKNOWN_RESERVATION_DELAY = 300  # a reservation is answered so late where no prefill runs
CONNECT_TIMEOUT = 250
RESERVATION_TIMEOUT = 1000
RELEASE_TIMEOUT = 2000
ACKNOWLEDGEMENT_TIMEOUT = 120  # what the other machine has not acknowledged by then is reported
RELEASE_WAIT = 100  # an attempt may wait so long for the release of what an earlier one left
RESERVATION_DELAY = 2  # between two looks of whether a reservation call may be written
START = 1_000_000

AttemptKey = tuple[str, int]  # request id and attempt


@dataclass(frozen=True)
class EndpointBehaviour:
    """How an endpoint and the network to it behave."""

    delay: int = 1  # each way
    connects: bool = True  # or connections never come up
    duration: int = 20  # of a prefill, or till the first token
    failure: AttemptStatus | None = None  # how an attempt ends, None for well
    prefill_time_after_reset: int = 0  # after a reset the prefill runs on for so long, and ends well
    hangs: bool = False  # it takes what comes, and never answers an attempt
    loses_writes: bool = False  # what is written to it never arrives
    reads_nothing: bool = False  # its machine acknowledges what is written, and no process reads it
    grants_reservations: bool = True
    answers_reservations: bool = True
    answers_releases: bool = True
    prefills_itself: bool = False  # a decode attempt with no KV state runs all the same


@dataclass
class EndpointAttempt:
    """An attempt as its endpoint knows it."""

    request_id: str
    endpoint_name: str
    ended: bool = False


@dataclass
class HeldState:
    """What endpoints hold for a request, and how many attempts of it they run."""

    items: set[str] = field(default_factory=set)
    prefills: int = 0
    decodes: int = 0
    since: int | None = None  # from when the release time counts, None while it does not


class KvLeaseModel:
    """The reducer with all that is around it."""

    def __init__(
        self, settings: Settings, behaviours: dict[tuple[str, str], EndpointBehaviour], seed: int
    ) -> None:
        self.handlers: dict[type, Callable] = {
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
        self.now, self.queue, self.sequence = START, [], itertools.count()
        self.behaviours = {name: behaviour for (name, _), behaviour in behaviours.items()}
        release_timeout = settings.release_timeout
        self.limit = None if release_timeout is None else release_timeout // 1_000_000 + RELEASE_SLACK
        self.held: defaultdict[str, HeldState] = defaultdict(HeldState)
        self.violations: list[str] = []
        self.running: dict[AttemptKey, EndpointAttempt | None] = {}  # None until it is written
        self.release_calls: dict[str, set[int]] = {}  # numbers of the running ones, by request
        zones = itertools.cycle("ab")
        entries = [
            Endpoint(name, f"{name}:1", next(zones), kind, 0, EndpointStatus.READY)
            for name, kind in behaviours
        ]
        self.feed(events.EndpointListReceived(tuple(entries), True))

    # --- clock

    def after(self, delay: int, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.sequence), action))

    def run(self, until: int) -> None:
        """Let time pass."""
        while self.queue and self.queue[0][0] <= START + until:
            at, _, action = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            action()
        for request_id in list(self.held):
            self.check_release_time(request_id)

    # --- the transport's side

    def feed(self, event: events.Event) -> None:
        for effect in reduce(self.state, self.now * MILLISECOND, event):
            if handler := self.handlers.get(type(effect)):
                handler(effect)

    def on_schedule_timer(self, effect: effects.ScheduleTimer) -> None:
        at = -(-effect.at // MILLISECOND)
        self.after(max(0, at - self.now), lambda: self.feed(events.TimerFired(effect.timer)))

    def on_open_attempt(self, effect: effects.OpenAttempt) -> None:
        key, behaviour = (effect.request_id, effect.attempt), self.behaviours[effect.endpoint.name]
        self.running[key] = None
        if behaviour.connects:
            wait = RELEASE_WAIT if effect.awaits_release else 0
            self.after(behaviour.delay + wait, lambda: self.write_attempt(effect, behaviour))
            return
        timeout = CONNECT_TIMEOUT
        if effect.connect_timeout is not None:
            timeout = min(timeout, effect.connect_timeout // MILLISECOND)
        self.after(timeout, lambda: self.end_attempt(key, AttemptStatus.CONNECT_FAILED))

    def write_attempt(self, effect: effects.OpenAttempt, behaviour: EndpointBehaviour) -> None:
        """Write an attempt: its connection is up."""
        key = effect.request_id, effect.attempt
        if key not in self.running:
            return
        attempt = self.running[key] = EndpointAttempt(effect.request_id, effect.endpoint.name)
        self.feed(events.AttemptWritten(*key))
        if behaviour.loses_writes:
            attempt.ended = True  # at the endpoint it never began
            self.after(ACKNOWLEDGEMENT_TIMEOUT, lambda: self.feed(events.AttemptUnacknowledged(*key)))
            return
        if behaviour.reads_nothing:
            attempt.ended = True
            return
        arrive = self.start_prefill if effect.is_prefill else self.start_decode
        self.after(behaviour.delay, lambda: arrive(key, attempt, behaviour))

    def on_abort_attempt(self, effect: effects.AbortAttempt) -> None:
        key = effect.request_id, effect.attempt
        if key not in self.running:
            return
        attempt = self.running[key]
        name = self.state.requests[effect.request_id].attempts[effect.attempt].endpoint.name
        if attempt is not None:
            is_prefill = name.startswith("r")
            self.after(self.behaviours[name].delay, lambda: self.close_attempt(attempt, is_prefill))
        self.after(0, lambda: self.end_attempt(key, AttemptStatus.CANCELLED))

    def end_attempt(self, key: AttemptKey, status: AttemptStatus, **details: bool) -> None:
        """Feed an attempt's end to the reducer, unless it has one already."""
        if key in self.running:
            del self.running[key]
            self.feed(events.AttemptEnded(*key, status, **details))

    def on_reserve(self, effect: effects.Reserve) -> None:
        key, behaviour = (effect.request_id, effect.attempt), self.behaviours[effect.endpoint.name]
        if not behaviour.connects:
            self.after(0, lambda: self.end_reservation(key, ReservationOutcome.NOT_MADE))
            return
        self.after(RESERVATION_DELAY, lambda: self.write_reservation(key, effect.endpoint.name, behaviour))

    def end_reservation(self, key: AttemptKey, outcome: ReservationOutcome) -> None:
        self.feed(events.ReservationEnded(*key, outcome))

    def write_reservation(self, key: AttemptKey, name: str, behaviour: EndpointBehaviour) -> None:
        if key not in self.running:  # it is not written once the prefill has ended
            self.end_reservation(key, ReservationOutcome.NOT_MADE)
            return
        if self.running[key] is None:  # nor before the prefill is
            self.after(RESERVATION_DELAY, lambda: self.write_reservation(key, name, behaviour))
            return
        self.after(behaviour.delay, lambda: self.reserve(key, name, behaviour))
        if not behaviour.answers_reservations:
            unanswered = ReservationOutcome.UNANSWERED
            self.after(RESERVATION_TIMEOUT, lambda: self.end_reservation(key, unanswered))

    def on_release(self, effect: effects.Release) -> None:
        behaviour = self.behaviours[effect.endpoint.name]
        self.release_calls.setdefault(effect.request_id, set()).add(effect.call_number)
        if behaviour.connects:
            self.after(behaviour.delay, lambda: self.write_release(effect, behaviour))
        else:
            self.after(RELEASE_TIMEOUT, lambda: self.end_release_call(effect, acknowledged=False))

    def write_release(self, effect: effects.Release, behaviour: EndpointBehaviour) -> None:
        if effect.call_number in self.release_calls.get(effect.request_id, ()):
            self.after(behaviour.delay, lambda: self.release(effect, behaviour))

    def end_release_call(self, effect: effects.Release, acknowledged: bool) -> None:
        if effect.call_number not in self.release_calls.get(effect.request_id, ()):
            return
        self.release_calls[effect.request_id].discard(effect.call_number)
        self.feed(
            events.ReleaseCallEnded(effect.request_id, effect.accepted_at, effect.call_number, acknowledged)
        )

    def on_cancel_releases(self, effect: effects.CancelReleases) -> None:
        self.release_calls.pop(effect.request_id, None)

    # --- the endpoints' side

    def change(
        self,
        request_id: str,
        *,
        restarts_time: bool = False,
        prefills: int = 0,
        decodes: int = 0,
        adds: str = "",
        clears: bool = False,
    ) -> None:
        """Change what is held; `restarts_time`: by an outcome or reservation, from which time counts anew."""
        self.check_release_time(request_id)
        held = self.held[request_id]
        held.prefills += prefills
        held.decodes += decodes
        if adds:
            held.items.add(adds)
        if clears:
            held.items.clear()
        if not held.items or held.prefills or held.decodes:
            held.since = None
        elif held.since is None or restarts_time:
            held.since = self.now

    def check_release_time(self, request_id: str) -> None:
        held = self.held[request_id]
        if self.limit is None or held.since is None or self.now - held.since <= self.limit:
            return
        items, since, until = sorted(held.items), held.since - START, self.now - START
        self.violations.append(f"{request_id}: {items} from {since} to {until}")
        held.since = self.now

    def close_attempt(self, attempt: EndpointAttempt, is_prefill: bool) -> None:
        """Let an attempt's close arrive."""
        if attempt.ended:
            return
        attempt.ended = True
        ended = {"prefills": -1} if is_prefill else {"decodes": -1}
        self.change(attempt.request_id, restarts_time=True, **ended)

    def start_prefill(self, key: AttemptKey, attempt: EndpointAttempt, behaviour: EndpointBehaviour) -> None:
        self.change(attempt.request_id, prefills=1)
        if not behaviour.hangs:
            self.after(behaviour.duration, lambda: self.finish_prefill(key, attempt, behaviour))

    def finish_prefill(self, key: AttemptKey, attempt: EndpointAttempt, behaviour: EndpointBehaviour) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        kv_state = "" if behaviour.failure else f"state at {attempt.endpoint_name}"
        self.change(attempt.request_id, restarts_time=True, prefills=-1, adds=kv_state)
        status = behaviour.failure or AttemptStatus.PREFILLED
        self.after(behaviour.delay, lambda: self.end_prefill(key, status, attempt, behaviour))

    def end_prefill(
        self, key: AttemptKey, status: AttemptStatus, attempt: EndpointAttempt, behaviour: EndpointBehaviour
    ) -> None:
        """Let a prefill's end arrive. One whose connection broke may run on, unless it was aborted before.

        The state of a prefill that was aborted goes by itself, but for one that has just ended."""
        if key in self.running and status is AttemptStatus.RESET and behaviour.prefill_time_after_reset:
            kv_state = f"state at {attempt.endpoint_name}"
            self.after(
                behaviour.prefill_time_after_reset,
                lambda: self.change(key[0], restarts_time=True, adds=kv_state),
            )
        self.end_attempt(key, status)

    def start_decode(self, key: AttemptKey, attempt: EndpointAttempt, behaviour: EndpointBehaviour) -> None:
        has_state = any(item.startswith("state") for item in self.held[attempt.request_id].items)
        if not has_state and not behaviour.prefills_itself:
            attempt.ended = True
            overloaded = AttemptStatus.OVERLOADED
            self.after(behaviour.delay, lambda: self.end_attempt(key, overloaded, state_missing=True))
            return
        self.change(attempt.request_id, decodes=1)
        if not behaviour.hangs:
            self.after(behaviour.duration, lambda: self.finish_decode(key, attempt, behaviour))

    def finish_decode(self, key: AttemptKey, attempt: EndpointAttempt, behaviour: EndpointBehaviour) -> None:
        if attempt.ended:
            return
        failure = behaviour.failure
        if failure is not None:
            attempt.ended = True
            self.change(attempt.request_id, restarts_time=True, decodes=-1)
            self.after(behaviour.delay, lambda: self.end_attempt(key, failure))
            return
        self.change(attempt.request_id, clears=True)
        self.after(behaviour.delay, lambda: self.start_response(key))
        self.after(behaviour.duration, lambda: self.finish_response(key, attempt, behaviour))

    def start_response(self, key: AttemptKey) -> None:
        if key in self.running:
            self.feed(events.ResponseStarted(*key))

    def finish_response(
        self, key: AttemptKey, attempt: EndpointAttempt, behaviour: EndpointBehaviour
    ) -> None:
        if not attempt.ended:
            attempt.ended = True
            self.change(attempt.request_id, restarts_time=True, decodes=-1)
            self.after(behaviour.delay, lambda: self.end_attempt(key, AttemptStatus.OK))

    def reserve(self, key: AttemptKey, name: str, behaviour: EndpointBehaviour) -> None:
        granted, is_known = behaviour.grants_reservations, self.held[key[0]].prefills > 0
        if granted:
            self.change(key[0], restarts_time=True, adds=f"reservation at {name}")
        outcome = ReservationOutcome.UNKNOWN
        if is_known:
            outcome = ReservationOutcome.RESERVED if granted else ReservationOutcome.REJECTED
        if behaviour.answers_reservations:
            delay = behaviour.delay + (0 if is_known else UNKNOWN_RESERVATION_DELAY)
            self.after(delay, lambda: self.end_reservation(key, outcome))

    def release(self, effect: effects.Release, behaviour: EndpointBehaviour) -> None:
        if not self.held[effect.request_id].decodes:
            self.change(effect.request_id, clears=True)
        if behaviour.answers_releases:
            self.after(behaviour.delay, lambda: self.end_release_call(effect, acknowledged=True))
        else:
            self.after(RELEASE_TIMEOUT, lambda: self.end_release_call(effect, acknowledged=False))
