"""Helpers that drive the reducer with a simulated clock, or start a runtime in the test process."""

from dataclasses import replace
from datetime import timedelta

from stand_ins import SETTINGS as PLATFORM_SETTINGS
from stand_ins import registry_entry

from llm_router.configuration import platform_configuration
from llm_router.frontends.platform import reservation_path
from llm_router.frontends.registry_list import read_list
from llm_router.lifecycle import effects, events
from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.idempotency_registry import IdempotencyRegistry
from llm_router.lifecycle.reducer import RouterState, reduce
from llm_router.routing.events import AttemptStatus, EndpointStatus
from llm_router.routing.policy import RoutingPolicy
from llm_router.routing.settings import ClassSettings, Idempotency, KindSettings, Role, Settings
from llm_router.transport.memory_budget import MemoryBudget
from llm_router.transport.pool import RELEASE_SOCKETS, ConnectionPool
from llm_router.transport.runtime import Runtime

MILLISECOND, SECOND = timedelta(milliseconds=1), timedelta(seconds=1)
SETTINGS = Settings(
    kinds=(KindSettings("prefill", Role.PREFILL), KindSettings("decode", Role.DECODE)),
    classes=(
        ClassSettings("safe", 10**9, 4 * 10**9, Idempotency.SAFE),
        ClassSettings("once", 10**9, 4 * 10**9, Idempotency.NONE),
    ),
    may_cancel=True,
    reservations=True,
    retry_after=True,
    max_retry_after=10**9,
    release_timeout=500_000_000,
    timer_resolution=2_000_000,
)


def endpoint(name, kind, status=EndpointStatus.READY):
    return Endpoint(name, f"{name}:1", "z", kind, 0, status)


def router_state(settings):
    return RouterState(settings, RoutingPolicy(settings, 1), IdempotencyRegistry(9, 10 * 60 * SECOND))


class ReducerHarness:
    """The reducer with one prefill endpoint "r" and two decode endpoints "w" and "w2"."""

    def __init__(self, **settings):
        self.state = router_state(replace(SETTINGS, **settings))
        self.now = 1000 * SECOND
        self.effects = []  # effects of the latest event
        self.release_timers = []
        self.logged = []  # names of log events
        endpoints = endpoint("r", "prefill"), endpoint("w", "decode"), endpoint("w2", "decode")
        self.feed(events.EndpointListReceived(endpoints, True))

    def feed(self, event, after=timedelta()):
        """Advance the clock, reduce an event, and write each opened attempt at once."""
        self.now += after
        self.effects = reduce(self.state, self.now, event)
        for opened in self.effects_of(effects.OpenAttempt):
            written = events.AttemptWritten(opened.request_id, opened.attempt)
            self.effects += reduce(self.state, self.now, written)
        self.logged += [line.name for line in self.effects_of(effects.LogEvent)]
        assert "decision_failed" not in self.logged
        self.release_timers += [
            scheduled
            for scheduled in self.effects_of(effects.ScheduleTimer)
            if isinstance(scheduled.timer, events.ReleaseTimer)
        ]
        return self.effects

    def next_release(self):
        """Advance the clock to the next release or round that is due, and return its release calls."""
        while self.release_timers:
            scheduled = min(self.release_timers, key=lambda each: each.at)
            self.release_timers.remove(scheduled)
            self.now = max(self.now, scheduled.at)
            self.feed(events.TimerFired(scheduled.timer))
            if calls := self.effects_of(effects.Release):
                return calls
        return []

    def acknowledge_releases(self, limit=9):
        """Acknowledge releases until no more are due or the limit is reached, and return their number."""
        acknowledged, calls = 0, self.effects_of(effects.Release) or self.next_release()
        while calls and acknowledged < limit:
            acknowledged += 1
            self.end_release_call(calls[0], acknowledged=True)
            calls = self.effects_of(effects.Release) or self.next_release()
        return acknowledged

    def end_release_call(self, call, acknowledged, **details):
        """Advance the clock by a millisecond, and end a release call."""
        key = call.request_id, call.accepted_at, call.call_number
        self.feed(events.ReleaseCallEnded(*key, acknowledged, **details), MILLISECOND)

    def effects_of(self, kind):
        return [each for each in self.effects if isinstance(each, kind)]

    def log_events(self, name):
        """Return the log events with a name among the effects of the latest event."""
        return [each for each in self.effects_of(effects.LogEvent) if each.name == name]

    def submit(self, request_id="q", class_name="safe", after=timedelta(), **fields):
        received = events.RequestReceived(
            request_id, class_name, 2000, 100, 4 * SECOND, session="s", **fields
        )
        return self.feed(received, after)

    def silence_policy(self):
        """Make the policy return no actions from now on."""
        self.state.policy.handle = lambda *_: []

    def deadline_timer(self):
        """Return the timer effect for the deadline of the request that was just submitted."""
        (scheduled,) = (
            each
            for each in self.effects_of(effects.ScheduleTimer)
            if isinstance(each.timer, events.RequestDeadline)
        )
        return scheduled

    def finish_prefill(self, request_id="q", unanswered_reservations=1):
        """Complete the prefill, and return the decode attempt that is opened next."""
        for _ in range(unanswered_reservations):
            self.feed(events.ReservationEnded(request_id, 0, ReservationOutcome.UNANSWERED))
        self.feed(events.AttemptEnded(request_id, 0, AttemptStatus.PREFILLED), 10 * MILLISECOND)
        (opened,) = self.effects_of(effects.OpenAttempt)
        return opened


def start(prefill, decode, **changes):
    """Return a runtime whose endpoint list has one prefill and one decode endpoint."""
    addresses = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1"}
    config = platform_configuration({"name": "n", **addresses, "settings": PLATFORM_SETTINGS, **changes})
    runtime = Runtime(
        config,
        ConnectionPool(config, config.limits.upstream_sockets, RELEASE_SOCKETS),
        MemoryBudget(config.limits.peer_memory),
        reservation_path,
    )
    entries = [
        registry_entry("r1", prefill.address, "prefill"),
        registry_entry("w1", decode.address, "decode"),
    ]
    runtime.feed(read_list({"index": 1, "snapshot": True, "endpoints": entries}))
    return runtime
