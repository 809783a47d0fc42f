"""A model of endpoints, network and clock around the reducer, which checks the release time independently.

All times are whole milliseconds on the clock of the model. Endpoints hold and free KV state and reservations
as the protocol defines. Each endpoint has its own network delay, so calls and connection closes can overtake
one another."""

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
RELEASE_SLACK = 300  # time beyond the release time for which KV state and reservations may stay unclaimed
# Additional time for the answer to a reservation call whose prefill is not running at the endpoint.
UNKNOWN_RESERVATION_DELAY = 300
CONNECT_TIMEOUT = 250
RESERVATION_TIMEOUT = 1000
RELEASE_TIMEOUT = 2000
ACKNOWLEDGEMENT_TIMEOUT = 120  # time after which an attempt that the host has not acknowledged is reported
RELEASE_WAIT = 100  # maximum time that an attempt waits for the release of a previous attempt's KV state
RESERVATION_DELAY = 2  # time between two checks of whether a reservation call may be written
START = 1_000_000

AttemptKey = tuple[str, int]  # request id and attempt


@dataclass(frozen=True)
class EndpointBehaviour:
    """The behaviour of an endpoint and of the network to it."""

    delay: int = 1  # network delay in each direction
    connects: bool = True  # False if no connection can be established
    duration: int = 20  # duration of a prefill, or time until the first token
    failure: AttemptStatus | None = None  # status of every attempt, or None for success
    prefill_time_after_reset: int = 0  # time after a reset at which the prefill still completes
    hangs: bool = False  # the endpoint receives attempts and never answers them
    loses_writes: bool = False  # the network loses every attempt that is written
    reads_nothing: bool = False  # the host acknowledges an attempt, but no process reads it
    grants_reservations: bool = True
    answers_reservations: bool = True
    answers_releases: bool = True
    prefills_itself: bool = False  # a decode attempt also runs without KV state


@dataclass
class EndpointAttempt:
    """The state of an attempt at its endpoint."""

    request_id: str
    endpoint_name: str
    ended: bool = False


@dataclass
class HeldState:
    """The KV state and reservations of one request at all endpoints, and its running attempts."""

    items: set[str] = field(default_factory=set)
    prefills: int = 0
    decodes: int = 0
    since: int | None = None  # start of the release time, or None while it does not run


class KvLeaseModel:
    """The reducer with modelled endpoints, network and clock."""

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
        self.running: dict[AttemptKey, EndpointAttempt | None] = {}  # None until the attempt is written
        self.release_calls: dict[str, set[int]] = {}  # numbers of the running calls by request id
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
        """Advance the clock and run the actions that are due, then check all release times."""
        while self.queue and self.queue[0][0] <= START + until:
            at, _, action = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            action()
        for request_id in list(self.held):
            self.check_release_time(request_id)

    # --- the transport's side

    def feed(self, event: events.Event) -> None:
        for effect in reduce(self.state, self.now * MILLISECOND, event):
            assert not isinstance(effect, effects.LogEvent) or effect.name != "decision_failed", effect
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
        """Write an attempt whose connection is established."""
        key = effect.request_id, effect.attempt
        if key not in self.running:
            return
        attempt = self.running[key] = EndpointAttempt(effect.request_id, effect.endpoint.name)
        self.feed(events.AttemptWritten(*key))
        if behaviour.loses_writes:
            attempt.ended = True  # The attempt never reaches its endpoint.
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
        """Feed the end of an attempt to the reducer, unless the attempt has already ended."""
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
        if key not in self.running:  # The call is not written after the prefill has ended.
            self.end_reservation(key, ReservationOutcome.NOT_MADE)
            return
        if self.running[key] is None:  # The call is not written before the prefill.
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
        """Change the resources and running attempts of a request at its endpoints.

        `restarts_time` is true for an attempt outcome or a reservation, which restarts the release time."""
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
        """Handle a closed connection at the endpoint of an attempt."""
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
        """Handle the end of a prefill at the router.

        A prefill whose connection was reset may still complete, unless the router aborted it before. An
        endpoint drops the KV state of an aborted prefill, unless the prefill has just completed."""
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
