"""The one reducer: every change of request, attempt, hold and fleet state happens here."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.kv_lease import KvLease, LeaseState
from llm_router.lifecycle.releases import go_on_releasing, note_answer, stop_releases, wake_for_release
from llm_router.lifecycle.send_guard import LATE_ANSWER, Invariant, check_reservation, check_write
from llm_router.lifecycle.state import Arrival, Attempt, Request, RouterState, abandon
from llm_router.lifecycle.units import to_ns, to_span
from llm_router.routing import actions as routing_actions
from llm_router.routing import events as routing_events
from llm_router.routing.actions import AnswerReason
from llm_router.routing.events import AttemptStatus, ConnectionFault, EndpointStatus
from llm_router.routing.settings import Role

SIGNS = {  # outcomes that tell whether a server answers
    AttemptStatus.OK: True,
    AttemptStatus.PREFILLED: True,
    AttemptStatus.OVERLOADED: True,
    AttemptStatus.ERROR: True,
    AttemptStatus.CONNECT_FAILED: False,
    AttemptStatus.RESET: False,
    AttemptStatus.TIMEOUT: False,
}
MAY_HAVE_RUN = (
    AttemptStatus.OK,
    AttemptStatus.ERROR,
    AttemptStatus.TIMEOUT,
    AttemptStatus.RESET,
    AttemptStatus.CANCELLED,
)
ANSWERS = (
    AttemptStatus.OK,
    AttemptStatus.PREFILLED,
    AttemptStatus.OVERLOADED,
    AttemptStatus.ERROR,
    AttemptStatus.RESET,
)  # only what was sent ends so
NEVER_SENT = (AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)  # what ends so never reached its server
PLACE = {
    ReservationOutcome.RESERVED: True,
    ReservationOutcome.REJECTED: False,
}  # what the module is told of one
ARRIVAL_GRACE = timedelta(milliseconds=20)  # for a read's answer, once a decode server did not know of it
BACKSTOP = timedelta(milliseconds=5)  # after the deadline, which the module sees to by itself


def reduce(state: RouterState, now: timedelta, event: events.Event) -> list[effects.Effect]:
    """Take an event in and give the effects that it calls for, in order."""
    return list(HANDLERS[type(event)](state, now, event))


def decide(state: RouterState, now: timedelta, event: routing_events.Event) -> Iterator[effects.Effect]:
    """Let the module decide, and turn its actions into effects; what it sent in vain is told at once."""
    pending = [event]
    while pending:
        for action in state.policy.handle(to_ns(now), pending.pop(0)):
            if type(action) is routing_actions.StartAttempt:
                moot = yield from send(state, now, action)
                pending.extend(moot)
            elif handler := ACTIONS.get(type(action)):
                yield from handler(state, now, action)


# --- events


def on_asked(state: RouterState, now: timedelta, event: events.RequestReceived) -> Iterator[effects.Effect]:
    """Take a request, unless its id is in use or may have run."""
    once = event.idempotency_key
    before = state.requests.get(event.request_id)
    if before is not None and before.lingers:
        # Guards against releases of what an earlier request left, which would take this one's state.
        yield effects.SendRejection(
            event.request_id, timedelta(seconds=1), "what is held under its id is still being released"
        )
        return
    if before is not None or (once and state.idempotency_registry.clashes(once, now)):
        yield effects.SendFailure(event.request_id, "its id is running or may have run", id_conflict=True)
        return
    if once and state.idempotency_registry.full:
        yield effects.SendRejection(event.request_id, timedelta(seconds=1), "the ledger of ids is full")
        return
    if once:
        state.idempotency_registry.start(once)
    release_within = state.settings.release_timeout
    held = KvLease(None if release_within is None else to_span(release_within))
    state.requests[event.request_id] = Request(event, now, now + event.time_remaining, held)
    state.metrics.add("received")
    yield effects.ScheduleTimer(
        now + event.time_remaining + BACKSTOP, events.RequestDeadline(event.request_id, now)
    )
    yield from decide(
        state,
        now,
        routing_events.RequestReceived(
            event.request_id,
            event.class_name,
            event.prompt_tokens,
            event.max_output_tokens,
            to_ns(event.time_remaining),
            event.session,
            event.prefix,
            event.prefix_tokens,
            None,
            event.tenant,
            event.is_retry,
            event.resumed,
        ),
    )
    yield from sweep_up(state, now, event.request_id)


def on_left(state: RouterState, now: timedelta, event: events.ClientDisconnected) -> Iterator[effects.Effect]:
    """Owe nothing to a client that is gone, and end what is out for it, a stream too."""
    request = state.requests.get(event.request_id)
    if request is None:
        return
    told = not request.closed
    request.closed = True
    if told:
        yield from decide(state, now, routing_events.ClientDisconnected(event.request_id))
    for index in range(len(request.attempts)):
        yield from abandon(request, index, AttemptStatus.CANCELLED)
    yield from sweep_up(state, now, event.request_id)


def on_sent(state: RouterState, now: timedelta, event: events.AttemptWritten) -> Iterator[effects.Effect]:
    """Note that an attempt may have reached its server from now on."""
    request = state.requests.get(event.request_id)
    if request is not None:
        denial = check_write(state, now, request, event.attempt, request.deadline)
        request.attempts[event.attempt].sent = True
        if denial is not None:
            yield violated(state, Invariant.WRITTEN_AGAINST_RULE, event.request_id, denial.value)
        yield from wake_for_release(request)


def on_unacknowledged(
    state: RouterState, now: timedelta, event: events.AttemptUnacknowledged
) -> Iterator[effects.Effect]:
    """Note that an attempt has not come to its endpoint's machine: it holds no release back."""
    if (request := state.requests.get(event.request_id)) is not None:
        yield from miss_arrival(state, now, request, event.attempt)


def miss_arrival(
    state: RouterState, now: timedelta, request: Request, index: int
) -> Iterator[effects.Effect]:
    """Take a sign that an attempt has not arrived, unless another one says that it has, or it is over."""
    attempt = request.attempts[index]
    if attempt.over or attempt.began or attempt.arrival is not Arrival.UNKNOWN:
        return
    attempt.arrival = Arrival.MISSING
    state.signs[attempt.server] = False, now  # it is asked last for the release
    state.metrics.add("attempt_missing")
    if attempt.reads:
        request.held.attempt_missing(now)
    yield from sweep_up(state, now, request.asked.request_id)


def on_began(state: RouterState, now: timedelta, event: events.ResponseStarted) -> Iterator[effects.Effect]:
    """Bind the answer to the client: the deadline runs no more from here on."""
    request = state.requests.get(event.request_id)
    if request is None or request.closed:
        return
    attempt = request.attempts[event.attempt]
    attempt.sent = attempt.began = request.began = True
    request.held.taken(now)
    yield from stop_releases(request)
    state.signs[attempt.server] = True, now
    read_before = any(each.reads for each in request.attempts[: event.attempt])
    state.metrics.add("first_token" if read_before else "first_token_append_prefill", now - attempt.opened)
    yield from decide(
        state,
        now,
        routing_events.FirstToken(
            event.request_id, event.attempt, attempt.server, to_ns(now - attempt.opened)
        ),
    )


def on_ended(state: RouterState, now: timedelta, event: events.AttemptEnded) -> Iterator[effects.Effect]:
    """Book an attempt as over and let the module go on."""
    request = state.requests.get(event.request_id)
    if request is None or request.attempts[event.attempt].over:
        return
    attempt = request.attempts[event.attempt]
    status = event.status
    if status is AttemptStatus.CANCELLED and attempt.abandoned is not None:
        status = attempt.abandoned
        if status is AttemptStatus.CONNECT_FAILED and attempt.sent:
            status = AttemptStatus.CANCELLED  # it was given up as not sent, and was sent in that moment
    attempt.over, attempt.status = True, status
    state.metrics.add(f"{'prefill' if attempt.reads else 'decode'}_{status.value}", now - attempt.opened)
    if facts := state.metrics.line(now):
        yield effects.LogEvent("interval_metrics", facts)
    if attempt.began or status is AttemptStatus.OK:
        request.closed = True
    if status in ANSWERS or (attempt.sent and status not in NEVER_SENT):
        note_end(request.held, now, attempt, status)
        yield from stop_releases(request)
    failed_here = status is AttemptStatus.CONNECT_FAILED and event.connection_fault is ConnectionFault.LOCAL
    if status in SIGNS and not failed_here:
        state.signs[attempt.server] = SIGNS[status], now
    if not attempt.reads and status in MAY_HAVE_RUN:
        request.may_have_run = attempt.may_have_run = True
    yield from decide(
        state,
        now,
        routing_events.AttemptEnded(
            event.request_id,
            event.attempt,
            attempt.server,
            status,
            to_ns(now - attempt.opened),
            request.closed,
            event.cached_tokens,
            event.state_missing,
            event.connection_fault,
            event.load_report,
        ),
    )
    yield from sweep_up(state, now, event.request_id)


def on_reservation_ended(
    state: RouterState, now: timedelta, event: events.ReservationEnded
) -> Iterator[effects.Effect]:
    """Tell the module of a place while the read is out; one that comes too late is let go."""
    request = state.requests.get(event.request_id)
    if request is None:
        return
    request.held.reservation_ended(now, event.outcome)
    state.metrics.add(event.outcome.value)
    attempt = request.attempts[event.attempt]
    if event.outcome in PLACE:
        attempt.arrival = Arrival.ARRIVED
    elif event.outcome is ReservationOutcome.UNKNOWN:
        yield from on_unknown_prefill(state, now, request, event.attempt)
    if event.outcome in PLACE and not attempt.over:
        held = PLACE[event.outcome]
        yield from decide(
            state,
            now,
            routing_events.ReservationResult(event.request_id, event.attempt, attempt.server, held),
        )
    yield from sweep_up(state, now, event.request_id)


def on_unknown_prefill(
    state: RouterState, now: timedelta, request: Request, index: int
) -> Iterator[effects.Effect]:
    """Go after a prefill of which a decode server did not know when it was asked for a place.

    The reservation may have overtaken it, so the server is asked again; the second time it is a sign."""
    attempt, endpoint = request.attempts[index], state.endpoints.get(request.reserved_at)
    if attempt.over or attempt.arrival is not Arrival.UNKNOWN:
        return
    if attempt.unknown_once:
        yield effects.ScheduleTimer(
            now + ARRIVAL_GRACE, events.ArrivalDue(request.asked.request_id, request.taken, index)
        )
    elif endpoint is not None and check_reservation(state, request, index, endpoint.name) is None:
        attempt.unknown_once = True
        request.held.reservation_sent()
        yield effects.Reserve(request.asked.request_id, index, endpoint)


def on_release_answered(
    state: RouterState, now: timedelta, event: events.ReleaseCallEnded
) -> Iterator[effects.Effect]:
    """Book a release call as over; where the endpoint did not take it, the next is asked."""
    request = state.requests.get(event.request_id)
    if request is not None and request.taken == event.accepted_at:
        yield from note_answer(state, now, request, event)
        yield from sweep_up(state, now, event.request_id)


def on_due(state: RouterState, now: timedelta, event: events.TimerFired) -> Iterator[effects.Effect]:
    """Fire the module's timer, or one of ours: an attempt's time-out or the client's deadline."""
    if isinstance(event.timer, int):
        yield from decide(state, now, routing_events.TimerFired(event.timer))
        return
    timer = event.timer
    request = state.requests.get(timer.request_id)
    # Guards against a timer of an earlier request with the same id, which would end this one.
    if request is None or request.taken != timer.accepted_at:
        return
    if isinstance(timer, events.ReleaseDue):
        request.woken_at = None
    elif isinstance(timer, events.ArrivalDue):
        yield from miss_arrival(state, now, request, timer.attempt)
    elif request.began:
        return
    elif isinstance(timer, events.AttemptTimeout):
        yield from abandon(request, timer.attempt, AttemptStatus.TIMEOUT)
    else:
        # Guards against a module that forgets a request, or may not cancel what hangs: this is the last word.
        for index in range(len(request.attempts)):
            yield from abandon(request, index, AttemptStatus.TIMEOUT)
        yield from fail(
            state, now, routing_actions.FailRequest(timer.request_id, AnswerReason.DEADLINE_EXCEEDED)
        )
    yield from sweep_up(state, now, timer.request_id)


def on_listed(
    state: RouterState, now: timedelta, event: events.EndpointListReceived
) -> Iterator[effects.Effect]:
    """Bring the fleet level, at a cost that grows with the entries told, not with the fleet."""
    told = [each for each in map(state.complete, event.endpoints) if each is not None]
    known = {state.number(each.name): each for each in told}
    if event.is_full:
        for number in set(state.endpoints) - set(known):
            state.forget(number, now)
    entries = []
    for number, each in known.items():
        started = state.start_times.count(each.name, each.started_at, now, event.since_last_answer)
        entries.append(
            routing_events.EndpointEntry(
                number, each.kind, each.zone, each.cell, each.status, each.weight, to_ns(started)
            )
        )
        state.list_endpoint(number, each)
        if each.status is EndpointStatus.REMOVED:
            state.forget(number, now)
    states = {
        each.name: each.status.value for each in known.values() if each.status is not EndpointStatus.READY
    }
    yield effects.LogEvent(
        "endpoint_list_updated", {"full": event.is_full, "known": len(state.endpoints), "not_ready": states}
    )
    if event.malformed:
        yield effects.LogEvent("endpoint_entries_malformed", {"entries": event.malformed}, rate_limited=True)
    yield from decide(state, now, routing_events.EndpointListUpdate(tuple(entries), event.is_full))


def on_loaded(
    state: RouterState, now: timedelta, event: events.LoadReportReceived
) -> Iterator[effects.Effect]:
    """Tell the module what came of a probe."""
    state.metrics.add(f"probe_{event.status.value}", event.elapsed)
    yield from decide(
        state,
        now,
        routing_events.LoadProbeEnded(event.endpoint_id, event.status, to_ns(event.elapsed), event.report),
    )


HANDLERS: dict[type, Callable[..., Iterable[effects.Effect]]] = {
    events.RequestReceived: on_asked,
    events.ClientDisconnected: on_left,
    events.AttemptWritten: on_sent,
    events.AttemptUnacknowledged: on_unacknowledged,
    events.ResponseStarted: on_began,
    events.AttemptEnded: on_ended,
    events.ReservationEnded: on_reservation_ended,
    events.ReleaseCallEnded: on_release_answered,
    events.TimerFired: on_due,
    events.EndpointListReceived: on_listed,
    events.LoadReportReceived: on_loaded,
}


# --- actions


def send(state: RouterState, now: timedelta, action: routing_actions.StartAttempt):
    """Open an attempt; gives the outcome at once where it cannot be opened."""
    request, endpoint = state.requests.get(action.request_id), state.endpoints.get(action.endpoint_id)
    if request is None:
        return []
    index, cap = len(request.attempts), state.settings.max_attempts
    role = None if endpoint is None else state.kinds[endpoint.kind].role
    request.attempts.append(Attempt(action.endpoint_id, role is Role.PREFILL, now, endpoint))
    if request.closed or request.began or now >= request.deadline or (cap and index >= cap):
        status = AttemptStatus.NOT_SENT
    elif endpoint is None:
        status = AttemptStatus.CONNECT_FAILED
    else:
        deadline = request.deadline
        if action.timeout and (own := now + to_span(action.timeout)) < deadline:
            deadline = own
            yield effects.ScheduleTimer(own, events.AttemptTimeout(action.request_id, request.taken, index))
        reads = role is Role.PREFILL
        connect_within = None if reads else request.held.connect_within(now)
        not_after = None if action.write_deadline is None else to_span(action.write_deadline)
        yield effects.OpenAttempt(
            action.request_id,
            index,
            endpoint,
            deadline,
            reads,
            connect_within,
            not_after,
            awaits_release=reads and request.held.uncleared,
        )
        return []
    request.attempts[index].over, request.attempts[index].status = True, status
    return [
        routing_events.AttemptEnded(action.request_id, index, action.endpoint_id, status, 0, request.closed)
    ]


def reserve(state: RouterState, now: timedelta, action: routing_actions.Reserve) -> Iterator[effects.Effect]:
    """Ask for a place during the read that is out."""
    request, endpoint = state.requests.get(action.request_id), state.endpoints.get(action.endpoint_id)
    if request is None or endpoint is None or not request.attempts or request.attempts[-1].over:
        return
    request.held.reservation_sent()
    request.reserved_at = action.endpoint_id
    yield effects.Reserve(action.request_id, len(request.attempts) - 1, endpoint)


def probe(state: RouterState, now: timedelta, action: routing_actions.ProbeLoad) -> Iterator[effects.Effect]:
    """Ask for a load report."""
    if endpoint := state.endpoints.get(action.endpoint_id):
        yield effects.FetchLoadReport(action.endpoint_id, endpoint)


def release(state: RouterState, now: timedelta, action: routing_actions.Release) -> Iterator[effects.Effect]:
    """Let go of what is held. A stream that has begun has let go of all by itself."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.began:
        request.held.give_up(now)
        yield from go_on_releasing(state, now, request)


def cancel(
    state: RouterState, now: timedelta, action: routing_actions.CancelAttempt
) -> Iterator[effects.Effect]:
    """Give an attempt up, unless its stream has begun."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.attempts[action.attempt].began:
        yield from abandon(request, action.attempt, AttemptStatus.CANCELLED)


def refuse(
    state: RouterState, now: timedelta, action: routing_actions.RejectRequest
) -> Iterator[effects.Effect]:
    """Give the final answer: refused."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.closed:
        request.closed = True
        state.metrics.add("rejected", now - request.taken)
        yield from told_answer(state, now, request, "request_rejected", action.reason)
        yield effects.SendRejection(action.request_id, to_span(action.retry_after), action.reason.value)


def fail(state: RouterState, now: timedelta, action: routing_actions.FailRequest) -> Iterator[effects.Effect]:
    """Give the final answer: failed."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.closed:
        request.closed = True
        state.metrics.add("failed", now - request.taken)
        yield from told_answer(state, now, request, "request_failed", action.reason)
        yield effects.SendFailure(action.request_id, action.reason.value)


def told_answer(
    state: RouterState, now: timedelta, request: Request, event: str, reason: AnswerReason
) -> Iterator[effects.Effect]:
    """Log why a request gets an answer of our own, with its attempts, and count the reason."""
    state.metrics.add(f"ended_{reason.value}")
    attempts = [f"{each.endpoint.name if each.endpoint else ''} {each.ended_by}" for each in request.attempts]
    facts = {"request": request.asked.request_id, "reason": reason.value, "attempts": attempts}
    yield effects.LogEvent(event, facts, rate_limited=True)
    if now > request.deadline + LATE_ANSWER:
        yield violated(state, Invariant.ANSWERED_LATE, request.asked.request_id, str(now - request.deadline))


def violated(state: RouterState, rule: Invariant, id: str, what: str) -> effects.LogEvent:
    """Count a broken rule, and give the line that tells of it."""
    state.violations[rule.value] += 1
    state.metrics.add(f"violated_{rule.value}")
    facts = {"rule": rule.value, "request": id, "what": what, "count": state.violations[rule.value]}
    return effects.LogEvent("invariant_violated", facts)


ACTIONS: dict[type, Callable[..., Iterable[effects.Effect]]] = {
    routing_actions.Reserve: reserve,
    routing_actions.ProbeLoad: probe,
    routing_actions.Release: release,
    routing_actions.CancelAttempt: cancel,
    routing_actions.RejectRequest: refuse,
    routing_actions.FailRequest: fail,
    routing_actions.SetTimer: lambda state, now, action: [
        effects.ScheduleTimer(to_span(action.at), action.timer_id)
    ],
    routing_actions.LogLine: lambda state, now, action: [effects.LogEvent("policy", {"text": action.text})],
}


# --- helpers


def note_end(held: KvLease, now: timedelta, attempt: Attempt, status: AttemptStatus) -> None:
    """Tell the owner of what is held that an attempt which reached its server is over."""
    if attempt.reads:
        held.prefill_ended(now, status)
    elif not attempt.began:
        held.decode_ended(now, status)


def sweep_up(state: RouterState, now: timedelta, id: str) -> Iterator[effects.Effect]:
    """Forget a request whose answer is given and that has nothing out any more; see to what may be held."""
    request = state.requests.get(id)
    if request is None:
        return
    if request.lingers and request.held.holding is LeaseState.READY:
        request.held.give_up(now)
    yield from go_on_releasing(state, now, request)
    if request.lingers and request.asked.idempotency_key:
        state.idempotency_registry.end(request.asked.idempotency_key, now, request.may_have_run)
    if request.lingers and request.held.done:
        del state.requests[id]
