"""A routing policy over a small fleet, and short names for the events that it is fed."""

from __future__ import annotations

from llm_router.routing import actions, events
from llm_router.routing.events import AttemptStatus, EndpointStatus
from llm_router.routing.policy import RoutingPolicy
from llm_router.routing.settings import (
    ClassSettings,
    Idempotency,
    KindSettings,
    Role,
    Settings,
    TenantSettings,
)

MS, S = 1_000_000, 1_000_000_000
READER_A, READER_B, WRITER_A, WRITER_B, MIXED = 11, 12, 21, 22, 31


def entry(server, kind, cell=0, state=EndpointStatus.READY, born=0, zone="z"):
    return events.EndpointEntry(server, kind, zone, cell, state, 1.0, born)


FLEET = (
    entry(READER_A, "reader", 0),
    entry(READER_B, "reader", 1),
    entry(WRITER_A, "writer", 0),
    entry(WRITER_B, "writer", 1),
)


def settings(idempotency=Idempotency.SAFE, **changes):
    told = {
        "kinds": (
            KindSettings("reader", Role.PREFILL, 200_000),
            KindSettings("writer", Role.DECODE, 150_000),
            KindSettings("mixed", Role.MIXED, 200_000),
        ),
        "classes": (ClassSettings("c", S, 4 * S, idempotency, deduplication_window=5 * S),),
        "tenants": (TenantSettings("small", 0.1, 1.0), TenantSettings("large", 0.9, 1000.0)),
        "timer_resolution": 2 * MS,
        "may_cancel": True,
        "max_attempts": 5,
        "append_prefill": True,
        "release_timeout": 500 * MS,
        "drain_grace": 250 * MS,
        "slow_start_window": 10 * S,
        "slow_start_share": 0.3,
        "overload_factor": 2.5,
        "overload_window": S,
    }
    return Settings(**{**told, **changes})


class PolicyHarness:
    """A router with its clock, and the actions by kind."""

    def __init__(self, fleet=FLEET, seed=1, **changes):
        self.router = RoutingPolicy(settings(**changes), seed)
        self.now = 1000 * S
        self.count = 0
        self.timers = []
        self.handle(events.EndpointListUpdate(fleet, is_full=True))

    def handle(self, event, after=0):
        self.now += after
        self.actions = self.router.handle(self.now, event)
        self.timers += [(a.at, a.timer_id) for a in self.actions if isinstance(a, actions.SetTimer)]
        return self.actions

    def submit(self, request="r", after=0, **fields):
        told = {
            "prompt_tokens": 2000,
            "max_output_tokens": 200,
            "time_remaining": 4 * S,
            "session": request,
            "prefix": None,
        }
        return self.handle(events.RequestReceived(request, "c", **{**told, **fields}), after)

    def end_attempt(self, status, server, request="r", attempt=0, after=10 * MS, **fields):
        return self.handle(events.AttemptEnded(request, attempt, server, status, after, **fields), after)

    def first_token(self, server, request="r", attempt=1, after=10 * MS):
        return self.handle(events.FirstToken(request, attempt, server, after), after)

    def serve(self, request="r", **fields):
        """Play a request through reader and writer to its end and give the writer."""
        self.submit(request, **fields)
        reader = self.attempted_endpoints()[0]
        self.end_attempt(AttemptStatus.PREFILLED, reader, request)
        writer = self.attempted_endpoints()[0]
        self.first_token(writer, request)
        self.end_attempt(AttemptStatus.OK, writer, request, 1, after=S, request_closed=True)
        return writer

    def disconnect(self, request):
        """The client leaves, and what was out for it is cancelled."""
        out = [(a.index, a.server.entry.endpoint_id) for a in self.router.jobs[request].out]
        self.handle(events.ClientDisconnected(request))
        for attempt, server in out:
            self.end_attempt(AttemptStatus.CANCELLED, server, request, attempt, after=0)

    def run_timers(self, until):
        """Let time pass and play due timers in order; give all actions."""
        seen = []
        while due := [t for t in self.timers if t[0] <= until]:
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            seen += self.handle(events.TimerFired(timer[1]))
        self.now = max(self.now, until)
        self.actions = seen
        return seen

    def actions_of(self, kind):
        return [a for a in self.actions if isinstance(a, kind)]

    def attempted_endpoints(self):
        return [a.endpoint_id for a in self.actions_of(actions.StartAttempt)]

    def final_answers(self):
        return [type(a) for a in self.actions if isinstance(a, actions.RejectRequest | actions.FailRequest)]
