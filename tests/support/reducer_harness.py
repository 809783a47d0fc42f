"""Drives the core without sockets: the reducer with its clock, and a runtime in this process."""

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
from llm_router.transport.pool import RELEASE_SOCKETS, ConnectionPool
from llm_router.transport.runtime import Runtime

MS, SECOND = timedelta(milliseconds=1), timedelta(seconds=1)
SETTINGS = Settings(
    kinds=(KindSettings("reader", Role.PREFILL), KindSettings("writer", Role.DECODE)),
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


def endpoint(name, kind, state=EndpointStatus.READY):
    return Endpoint(name, f"{name}:1", "z", kind, 0, state)


class ReducerHarness:
    def __init__(self, **changes):
        settings = replace(SETTINGS, **changes)
        self.state = RouterState(
            settings, RoutingPolicy(settings, 1), IdempotencyRegistry(9, 10 * 60 * SECOND)
        )
        self.now, self.timers, self.logged = 1000 * SECOND, [], []
        fleet = endpoint("r", "reader"), endpoint("w", "writer"), endpoint("w2", "writer")
        self.feed(events.EndpointListReceived(fleet, True))

    def feed(self, event, after=timedelta()):
        """Play an event; connections come up at once, so that what is to be sent is on its way."""
        self.now += after
        self.effects = reduce(self.state, self.now, event)
        for forward in self.effects_of(effects.OpenAttempt):
            self.effects += reduce(
                self.state, self.now, events.AttemptWritten(forward.request_id, forward.attempt)
            )
        self.logged += [say.name for say in self.effects_of(effects.LogEvent)]
        self.timers += [
            wake
            for wake in self.effects_of(effects.ScheduleTimer)
            if isinstance(wake.timer, events.ReleaseDue)
        ]
        return self.effects

    def next_release(self):
        """Let time pass to the next release that is due, and give its calls."""
        while self.timers:
            wake = min(self.timers, key=lambda each: each.at)
            self.timers.remove(wake)
            self.now = max(self.now, wake.at)
            self.feed(events.TimerFired(wake.timer))
            if calls := self.effects_of(effects.Release):
                return calls
        return []

    def acknowledge_releases(self, most=9):
        """Let an endpoint take each release that is asked for, until none is due any more; give how many."""
        heard, calls = 0, self.effects_of(effects.Release) or self.next_release()
        while calls and heard < most:
            heard += 1
            self.feed(
                events.ReleaseCallEnded(
                    calls[0].request_id, calls[0].accepted_at, calls[0].call_number, True
                ),
                MS,
            )
            calls = self.effects_of(effects.Release) or self.next_release()
        return heard

    def effects_of(self, kind):
        return [each for each in self.effects if isinstance(each, kind)]

    def submit(self, id="q", cls="safe", after=timedelta(), **more):
        return self.feed(events.RequestReceived(id, cls, 2000, 100, 4 * SECOND, session="s", **more), after)

    def deadline_timer(self):
        """Give the core's own timer of the request just asked; the module's are numbers."""
        (wake,) = (each for each in self.effects_of(effects.ScheduleTimer) if not isinstance(each.timer, int))
        return wake

    def finish_prefill(self, id="q", holds=1):
        """Play the read to its end; the writer's attempt is out then."""
        for _ in range(holds):
            self.feed(events.ReservationEnded(id, 0, ReservationOutcome.UNANSWERED))
        self.feed(events.AttemptEnded(id, 0, AttemptStatus.PREFILLED), 10 * MS)
        (forward,) = self.effects_of(effects.OpenAttempt)
        return forward


def start(reader, writer, **changes):
    """Give a runtime that knows a reader and a writer."""
    addresses = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1"}
    config = platform_configuration({"name": "n", **addresses, "settings": PLATFORM_SETTINGS, **changes})
    runtime = Runtime(
        config, ConnectionPool(config, config.limits.upstream_sockets, RELEASE_SOCKETS), reservation_path
    )
    entries = [
        registry_entry("r1", reader.address, "prefill"),
        registry_entry("w1", writer.address, "decode"),
    ]
    runtime.feed(read_list({"index": 1, "snapshot": True, "endpoints": entries}))
    return runtime
