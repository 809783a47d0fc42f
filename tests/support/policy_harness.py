"""A test harness for the routing policy with a small fleet and helpers that send events."""

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
PREFILL_A, PREFILL_B, DECODE_A, DECODE_B, MIXED = 11, 12, 21, 22, 31


def entry(endpoint_id, kind, cell=0, status=EndpointStatus.READY, started_at=0, zone="z"):
    return events.EndpointEntry(endpoint_id, kind, zone, cell, status, 1.0, started_at)


FLEET = (
    entry(PREFILL_A, "prefill", 0),
    entry(PREFILL_B, "prefill", 1),
    entry(DECODE_A, "decode", 0),
    entry(DECODE_B, "decode", 1),
)
FOUR_PREFILL_FLEET = tuple(entry(100 + n, "prefill") for n in range(4)) + FLEET[2:]


def settings(idempotency=Idempotency.SAFE, **changes):
    fields = {
        "kinds": (
            KindSettings("prefill", Role.PREFILL, 200_000),
            KindSettings("decode", Role.DECODE, 150_000),
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
    return Settings(**{**fields, **changes})


class PolicyHarness:
    """A routing policy with a simulated clock, and the actions that its last event returned."""

    def __init__(self, fleet=FLEET, seed=1, **changes):
        self.policy = RoutingPolicy(settings(**changes), seed)
        self.now = 1000 * S
        self.timers = []
        self.handle(events.EndpointListUpdate(fleet, is_full=True))

    def handle(self, event, after=0):
        self.now += after
        self.actions = self.policy.handle(self.now, event)
        self.timers += [(a.at, a.timer_id) for a in self.actions if isinstance(a, actions.SetTimer)]
        return self.actions

    def submit(self, request="r", after=0, **changes):
        fields = {
            "prompt_tokens": 2000,
            "max_output_tokens": 200,
            "time_remaining": 4 * S,
            "session": request,
            "prefix": None,
        }
        return self.handle(events.RequestReceived(request, "c", **{**fields, **changes}), after)

    def end_attempt(self, status, endpoint, request="r", attempt=0, after=10 * MS, **fields):
        return self.handle(events.AttemptEnded(request, attempt, endpoint, status, after, **fields), after)

    def first_token(self, endpoint, request="r", attempt=1, after=10 * MS):
        return self.handle(events.FirstToken(request, attempt, endpoint, after), after)

    def serve(self, request="r", **fields):
        """Complete a request with a prefill and a decode attempt, and return its decode endpoint."""
        self.submit(request, **fields)
        self.end_attempt(AttemptStatus.PREFILLED, self.attempted_endpoints()[0], request)
        decode_endpoint = self.attempted_endpoints()[0]
        self.first_token(decode_endpoint, request)
        self.end_attempt(AttemptStatus.OK, decode_endpoint, request, 1, after=S, request_closed=True)
        return decode_endpoint

    def disconnect(self, request):
        """Disconnect the client, and end the open attempts of its request as cancelled."""
        attempts = self.policy.requests[request].open_attempts
        self.handle(events.ClientDisconnected(request))
        for attempt in attempts:
            endpoint_id = attempt.endpoint.entry.endpoint_id
            self.end_attempt(AttemptStatus.CANCELLED, endpoint_id, request, attempt.index, after=0)

    def run_timers(self, until):
        """Advance the clock, fire the expired timers in order of time, and return all actions."""
        seen = []
        while expired := [timer for timer in self.timers if timer[0] <= until]:
            timer = min(expired)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            seen += self.handle(events.TimerFired(timer[1]))
        self.now = max(self.now, until)
        self.actions = seen
        return seen

    def actions_of(self, kind):
        return [action for action in self.actions if isinstance(action, kind)]

    def attempted_endpoints(self):
        return [action.endpoint_id for action in self.actions_of(actions.StartAttempt)]

    def final_answers(self):
        return [type(action) for action in self.actions_of(actions.RejectRequest | actions.FailRequest)]


LATER_TURN = {"prompt_tokens": 4000, "prefix_tokens": 3500, "session": "s", "prefix": "p"}


def harness_with_affinity(**changes):
    """Return a harness that has served a turn of session "s", and the decode endpoint of that turn."""
    harness = PolicyHarness(**changes)
    return harness, harness.serve("r1", **LATER_TURN)


def set_queueing_delay(harness, endpoint_ids, delay):
    """Set the queueing delay of endpoints, as if it had been recorded at the current time."""
    for endpoint_id in endpoint_ids:
        endpoint = harness.policy.endpoints[endpoint_id]
        endpoint.queueing_delay = delay
        endpoint.queueing_delay_at = harness.now


def harness_with_queued_prefill(**changes):
    """Return a harness whose prefill endpoints have long queues, with a mean prompt of 10,000 tokens."""
    harness = PolicyHarness(**changes)
    harness.policy.estimates.prompt_tokens.value = 10_000.0
    set_queueing_delay(harness, (PREFILL_A, PREFILL_B), 2 * S)
    return harness


def harness_with_denied_reservations(**changes):
    """Return a harness whose many recent reservation requests were all denied."""
    fleet = (*FLEET[:2], *(entry(200 + n, "decode") for n in range(4)))
    harness = PolicyHarness(reservations=True, fleet=fleet, **changes)
    for number in range(40):
        harness.submit(f"r{number}")
        if not (attempted := harness.attempted_endpoints()):
            return harness
        while harness.actions_of(actions.Reserve):
            harness.handle(events.ReservationResult(f"r{number}", 0, attempted[0], reserved=False))
        harness.disconnect(f"r{number}")
    raise AssertionError("every request was sent although all reservations were denied")


def submit_to_home(harness, request="home"):
    """Submit a request of session "p" and return the endpoint that it is sent to."""
    harness.submit(request, session="p")
    return harness.attempted_endpoints()[0]
