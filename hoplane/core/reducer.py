"""The one reducer: every change of request, attempt, hold and fleet state happens here."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta

from hoplane.core import events as ev
from hoplane.core.held import HeldState, Holding
from hoplane.core.permits import LATE_ANSWER, Invariant, check_reservation, check_write
from hoplane.core.releases import go_on_releasing, note_answer, stop_releases, wake_for_release
from hoplane.core.state import Arrival, Attempt, Conductor, Request, abandon
from hoplane.core.units import to_ns, to_span
from hoplane.decision import interface as api
from hoplane.decision.interface import Status

SIGNS = {  # outcomes that tell whether a server answers
    Status.OK: True,
    Status.MISS: True,
    Status.FULL: True,
    Status.ERROR: True,
    Status.CONNECT_FAILED: False,
    Status.RESET: False,
    Status.TIMEOUT: False,
}
MAY_HAVE_RUN = (Status.OK, Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)
ANSWERS = (Status.OK, Status.MISS, Status.FULL, Status.ERROR, Status.RESET)  # only what was sent ends so
NEVER_SENT = (Status.CONNECT_FAILED, Status.MOOT)  # what ends so never reached its server
PLACE = {ev.Reservation.HELD: True, ev.Reservation.NOT_HELD: False}  # what the module is told of one
ARRIVAL_GRACE = timedelta(milliseconds=20)  # for a read's answer, once a decode server did not know of it
BACKSTOP = timedelta(milliseconds=5)  # after the deadline, which the module sees to by itself


def reduce(state: Conductor, now: timedelta, event: ev.Event) -> list[ev.Effect]:
    """Take an event in and give the effects that it calls for, in order."""
    return list(HANDLERS[type(event)](state, now, event))


def decide(state: Conductor, now: timedelta, event: api.Event) -> Iterator[ev.Effect]:
    """Let the module decide, and turn its actions into effects; what it sent in vain is told at once."""
    pending = [event]
    while pending:
        for action in state.router.handle(to_ns(now), pending.pop(0)):
            if type(action) is api.Send:
                moot = yield from send(state, now, action)
                pending.extend(moot)
            elif handler := ACTIONS.get(type(action)):
                yield from handler(state, now, action)


# --- events


def on_asked(state: Conductor, now: timedelta, event: ev.Asked) -> Iterator[ev.Effect]:
    """Take a request, unless its id is in use or may have run."""
    once = event.once
    before = state.requests.get(event.id)
    if before is not None and before.lingers:
        # Guards against releases of what an earlier request left, which would take this one's state.
        yield ev.Refuse(event.id, timedelta(seconds=1), "what is held under its id is still being released")
        return
    if before is not None or (once and state.ledger.clashes(once, now)):
        yield ev.Fail(event.id, "its id is running or may have run", clash=True)
        return
    if once and state.ledger.full:
        yield ev.Refuse(event.id, timedelta(seconds=1), "the ledger of ids is full")
        return
    if once:
        state.ledger.start(once)
    release_within = state.settings.release_within
    held = HeldState(None if release_within is None else to_span(release_within))
    state.requests[event.id] = Request(event, now, now + event.patience, held)
    state.tally.add("asked")
    yield ev.Wake(now + event.patience + BACKSTOP, ev.Deadline(event.id, now))
    yield from decide(
        state,
        now,
        api.Request(
            event.id,
            event.cls,
            event.prompt,
            event.max_out,
            to_ns(event.patience),
            event.session,
            event.prefix,
            event.prefix_len,
            None,
            event.tenant,
            event.retry,
            event.resumed,
        ),
    )
    yield from sweep_up(state, now, event.id)


def on_left(state: Conductor, now: timedelta, event: ev.Left) -> Iterator[ev.Effect]:
    """Owe nothing to a client that is gone, and end what is out for it, a stream too."""
    request = state.requests.get(event.id)
    if request is None:
        return
    told = not request.closed
    request.closed = True
    if told:
        yield from decide(state, now, api.Gone(event.id))
    for index in range(len(request.attempts)):
        yield from abandon(request, index, Status.CANCELLED)
    yield from sweep_up(state, now, event.id)


def on_sent(state: Conductor, now: timedelta, event: ev.Sent) -> Iterator[ev.Effect]:
    """Note that an attempt may have reached its server from now on."""
    request = state.requests.get(event.id)
    if request is not None:
        denial = check_write(state, now, request, event.attempt, request.deadline)
        request.attempts[event.attempt].sent = True
        if denial is not None:
            yield violated(state, Invariant.WRITTEN_AGAINST_RULE, event.id, denial.value)
        yield from wake_for_release(request)


def on_unacknowledged(state: Conductor, now: timedelta, event: ev.Unacknowledged) -> Iterator[ev.Effect]:
    """Note that an attempt has not come to its endpoint's machine: it holds no release back."""
    if (request := state.requests.get(event.id)) is not None:
        yield from miss_arrival(state, now, request, event.attempt)


def miss_arrival(state: Conductor, now: timedelta, request: Request, index: int) -> Iterator[ev.Effect]:
    """Take a sign that an attempt has not arrived, unless another one says that it has, or it is over."""
    attempt = request.attempts[index]
    if attempt.over or attempt.began or attempt.arrival is not Arrival.UNKNOWN:
        return
    attempt.arrival = Arrival.MISSING
    state.signs[attempt.server] = False, now  # it is asked last for the release
    state.tally.add("not_arrived")
    if attempt.reads:
        request.held.attempt_missing(now)
    yield from sweep_up(state, now, request.asked.id)


def on_began(state: Conductor, now: timedelta, event: ev.Began) -> Iterator[ev.Effect]:
    """Bind the answer to the client: the deadline runs no more from here on."""
    request = state.requests.get(event.id)
    if request is None or request.closed:
        return
    attempt = request.attempts[event.attempt]
    attempt.sent = attempt.began = request.began = True
    request.held.taken(now)
    yield from stop_releases(request)
    state.signs[attempt.server] = True, now
    read_before = any(each.reads for each in request.attempts[: event.attempt])
    state.tally.add("first_token" if read_before else "first_token_unread", now - attempt.opened)
    yield from decide(
        state, now, api.FirstToken(event.id, event.attempt, attempt.server, to_ns(now - attempt.opened))
    )


def on_ended(state: Conductor, now: timedelta, event: ev.Ended) -> Iterator[ev.Effect]:
    """Book an attempt as over and let the module go on."""
    request = state.requests.get(event.id)
    if request is None or request.attempts[event.attempt].over:
        return
    attempt = request.attempts[event.attempt]
    status = event.status
    if status is Status.CANCELLED and attempt.abandoned is not None:
        status = attempt.abandoned
        if status is Status.CONNECT_FAILED and attempt.sent:
            status = Status.CANCELLED  # it was given up as not sent, and was sent in that moment
    attempt.over, attempt.status = True, status
    state.tally.add(f"{'read' if attempt.reads else 'write'}_{status.value}", now - attempt.opened)
    if facts := state.tally.line(now):
        yield ev.Say("work", facts)
    if attempt.began or status is Status.OK:
        request.closed = True
    if status in ANSWERS or (attempt.sent and status not in NEVER_SENT):
        note_end(request.held, now, attempt, status)
        yield from stop_releases(request)
    failed_here = status is Status.CONNECT_FAILED and event.note == api.FAILED_HERE
    if status in SIGNS and not failed_here:
        state.signs[attempt.server] = SIGNS[status], now
    if not attempt.reads and status in MAY_HAVE_RUN:
        request.may_have_run = attempt.may_have_run = True
    yield from decide(
        state,
        now,
        api.Outcome(
            event.id,
            event.attempt,
            attempt.server,
            status,
            to_ns(now - attempt.opened),
            request.closed,
            event.note,
            event.load,
        ),
    )
    yield from sweep_up(state, now, event.id)


def on_reservation_ended(state: Conductor, now: timedelta, event: ev.ReservationEnded) -> Iterator[ev.Effect]:
    """Tell the module of a place while the read is out; one that comes too late is let go."""
    request = state.requests.get(event.id)
    if request is None:
        return
    request.held.reservation_ended(now, event.result)
    state.tally.add(event.result.value)
    attempt = request.attempts[event.attempt]
    if event.result in PLACE:
        attempt.arrival = Arrival.ARRIVED
    elif event.result is ev.Reservation.UNKNOWN:
        yield from on_unknown_prefill(state, now, request, event.attempt)
    if event.result in PLACE and not attempt.over:
        held = PLACE[event.result]
        yield from decide(state, now, api.Place(event.id, event.attempt, attempt.server, held))
    yield from sweep_up(state, now, event.id)


def on_unknown_prefill(state: Conductor, now: timedelta, request: Request, index: int) -> Iterator[ev.Effect]:
    """Go after a prefill of which a decode server did not know when it was asked for a place.

    The reservation may have overtaken it, so the server is asked again; the second time it is a sign."""
    attempt, endpoint = request.attempts[index], state.fleet.get(request.reserved_at)
    if attempt.over or attempt.arrival is not Arrival.UNKNOWN:
        return
    if attempt.unknown_once:
        yield ev.Wake(now + ARRIVAL_GRACE, ev.ArrivalDue(request.asked.id, request.taken, index))
    elif endpoint is not None and check_reservation(state, request, index, endpoint.name) is None:
        attempt.unknown_once = True
        request.held.reservation_sent()
        yield ev.Reserve(request.asked.id, index, endpoint)


def on_release_answered(state: Conductor, now: timedelta, event: ev.ReleaseAnswered) -> Iterator[ev.Effect]:
    """Book a release call as over; where the endpoint did not take it, the next is asked."""
    request = state.requests.get(event.id)
    if request is not None and request.taken == event.taken:
        yield from note_answer(state, now, request, event)
        yield from sweep_up(state, now, event.id)


def on_due(state: Conductor, now: timedelta, event: ev.Due) -> Iterator[ev.Effect]:
    """Fire the module's timer, or one of ours: an attempt's time-out or the client's deadline."""
    if isinstance(event.timer, int):
        yield from decide(state, now, api.Timer(event.timer))
        return
    timer = event.timer
    request = state.requests.get(timer.id)
    # Guards against a timer of an earlier request with the same id, which would end this one.
    if request is None or request.taken != timer.taken:
        return
    if isinstance(timer, ev.ReleaseDue):
        request.woken_at = None
    elif isinstance(timer, ev.ArrivalDue):
        yield from miss_arrival(state, now, request, timer.attempt)
    elif request.began:
        return
    elif isinstance(timer, ev.AttemptTimeout):
        yield from abandon(request, timer.attempt, Status.TIMEOUT)
    else:
        # Guards against a module that forgets a request, or may not cancel what hangs: this is the last word.
        for index in range(len(request.attempts)):
            yield from abandon(request, index, Status.TIMEOUT)
        yield from fail(state, now, api.Fail(timer.id, api.Reason.TIME_OVER))
    yield from sweep_up(state, now, timer.id)


def on_listed(state: Conductor, now: timedelta, event: ev.Listed) -> Iterator[ev.Effect]:
    """Bring the fleet level, at a cost that grows with the entries told, not with the fleet."""
    told = [each for each in map(state.complete, event.endpoints) if each is not None]
    known = {state.number(each.name): each for each in told}
    if event.whole:
        for number in set(state.fleet) - set(known):
            state.forget(number, now)
    entries = []
    for number, each in known.items():
        started = state.starts.count(each.name, each.started, now, event.unheard)
        entries.append(
            api.Entry(number, each.kind, each.zone, each.cell, each.state, each.weight, to_ns(started))
        )
        state.list_endpoint(number, each)
        if each.state is api.State.GONE:
            state.forget(number, now)
    states = {each.name: each.state.value for each in known.values() if each.state is not api.State.LIVE}
    yield ev.Say("endpoints", {"whole": event.whole, "known": len(state.fleet), "not_live": states})
    if event.odd:
        yield ev.Say("list_entries_odd", {"entries": event.odd}, seldom=True)
    yield from decide(state, now, api.Fleet(tuple(entries), event.whole))


def on_loaded(state: Conductor, now: timedelta, event: ev.Loaded) -> Iterator[ev.Effect]:
    """Tell the module what came of a probe."""
    state.tally.add(f"probe_{event.status.value}", event.elapsed)
    yield from decide(state, now, api.Probed(event.server, event.status, to_ns(event.elapsed), event.load))


HANDLERS: dict[type, Callable[..., Iterable[ev.Effect]]] = {
    ev.Asked: on_asked,
    ev.Left: on_left,
    ev.Sent: on_sent,
    ev.Unacknowledged: on_unacknowledged,
    ev.Began: on_began,
    ev.Ended: on_ended,
    ev.ReservationEnded: on_reservation_ended,
    ev.ReleaseAnswered: on_release_answered,
    ev.Due: on_due,
    ev.Listed: on_listed,
    ev.Loaded: on_loaded,
}


# --- actions


def send(state: Conductor, now: timedelta, action: api.Send):
    """Open an attempt; gives the outcome at once where it cannot be opened."""
    request, endpoint = state.requests.get(action.request), state.fleet.get(action.server)
    if request is None:
        return []
    index, cap = len(request.attempts), state.settings.max_attempts
    role = None if endpoint is None else state.kinds[endpoint.kind].role
    request.attempts.append(Attempt(action.server, role is api.Role.READ, now, endpoint))
    if request.closed or request.began or now >= request.deadline or (cap and index >= cap):
        status = Status.MOOT
    elif endpoint is None:
        status = Status.CONNECT_FAILED
    else:
        deadline = request.deadline
        if action.timeout and (own := now + to_span(action.timeout)) < deadline:
            deadline = own
            yield ev.Wake(own, ev.AttemptTimeout(action.request, request.taken, index))
        reads = role is api.Role.READ
        connect_within = None if reads else request.held.connect_within(now)
        not_after = None if action.not_after is None else to_span(action.not_after)
        yield ev.Forward(
            action.request,
            index,
            endpoint,
            deadline,
            reads,
            connect_within,
            not_after,
            release_first=reads and request.held.uncleared,
        )
        return []
    request.attempts[index].over, request.attempts[index].status = True, status
    return [api.Outcome(action.request, index, action.server, status, 0, request.closed)]


def reserve(state: Conductor, now: timedelta, action: api.Hold) -> Iterator[ev.Effect]:
    """Ask for a place during the read that is out."""
    request, endpoint = state.requests.get(action.request), state.fleet.get(action.server)
    if request is None or endpoint is None or not request.attempts or request.attempts[-1].over:
        return
    request.held.reservation_sent()
    request.reserved_at = action.server
    yield ev.Reserve(action.request, len(request.attempts) - 1, endpoint)


def probe(state: Conductor, now: timedelta, action: api.Probe) -> Iterator[ev.Effect]:
    """Ask for a load report."""
    if endpoint := state.fleet.get(action.server):
        yield ev.AskLoad(action.server, endpoint)


def release(state: Conductor, now: timedelta, action: api.Release) -> Iterator[ev.Effect]:
    """Let go of what is held. A stream that has begun has let go of all by itself."""
    request = state.requests.get(action.request)
    if request is not None and not request.began:
        request.held.give_up(now)
        yield from go_on_releasing(state, now, request)


def cancel(state: Conductor, now: timedelta, action: api.Cancel) -> Iterator[ev.Effect]:
    """Give an attempt up, unless its stream has begun."""
    request = state.requests.get(action.request)
    if request is not None and not request.attempts[action.attempt].began:
        yield from abandon(request, action.attempt, Status.CANCELLED)


def refuse(state: Conductor, now: timedelta, action: api.Refuse) -> Iterator[ev.Effect]:
    """Give the final answer: refused."""
    request = state.requests.get(action.request)
    if request is not None and not request.closed:
        request.closed = True
        state.tally.add("refused", now - request.taken)
        yield from told_answer(state, now, request, "request_refused", action.reason)
        yield ev.Refuse(action.request, to_span(action.pause), action.reason.value)


def fail(state: Conductor, now: timedelta, action: api.Fail) -> Iterator[ev.Effect]:
    """Give the final answer: failed."""
    request = state.requests.get(action.request)
    if request is not None and not request.closed:
        request.closed = True
        state.tally.add("failed", now - request.taken)
        yield from told_answer(state, now, request, "request_failed", action.reason)
        yield ev.Fail(action.request, action.reason.value)


def told_answer(
    state: Conductor, now: timedelta, request: Request, event: str, reason: api.Reason
) -> Iterator[ev.Effect]:
    """Log why a request gets an answer of our own, with its attempts, and count the reason."""
    state.tally.add(f"ended_{reason.value}")
    attempts = [f"{each.endpoint.name if each.endpoint else ''} {each.ended_by}" for each in request.attempts]
    facts = {"request": request.asked.id, "why": reason.value, "attempts": attempts}
    yield ev.Say(event, facts, seldom=True)
    if now > request.deadline + LATE_ANSWER:
        yield violated(state, Invariant.ANSWERED_LATE, request.asked.id, str(now - request.deadline))


def violated(state: Conductor, rule: Invariant, id: str, what: str) -> ev.Say:
    """Count a broken rule, and give the line that tells of it."""
    state.violations[rule.value] += 1
    state.tally.add(f"violated_{rule.value}")
    facts = {"rule": rule.value, "request": id, "what": what, "count": state.violations[rule.value]}
    return ev.Say("invariant_broken", facts)


ACTIONS: dict[type, Callable[..., Iterable[ev.Effect]]] = {
    api.Hold: reserve,
    api.Probe: probe,
    api.Release: release,
    api.Cancel: cancel,
    api.Refuse: refuse,
    api.Fail: fail,
    api.SetTimer: lambda state, now, action: [ev.Wake(to_span(action.at), action.timer)],
    api.Log: lambda state, now, action: [ev.Say("module", {"text": action.text})],
}


# --- helpers


def note_end(held: HeldState, now: timedelta, attempt: Attempt, status: Status) -> None:
    """Tell the owner of what is held that an attempt which reached its server is over."""
    if attempt.reads:
        held.prefill_ended(now, status)
    elif not attempt.began:
        held.decode_ended(now, status)


def sweep_up(state: Conductor, now: timedelta, id: str) -> Iterator[ev.Effect]:
    """Forget a request whose answer is given and that has nothing out any more; see to what may be held."""
    request = state.requests.get(id)
    if request is None:
        return
    if request.lingers and request.held.holding is Holding.READY:
        request.held.give_up(now)
    yield from go_on_releasing(state, now, request)
    if request.lingers and request.asked.once:
        state.ledger.end(request.asked.once, now, request.may_have_run)
    if request.lingers and request.held.done:
        del state.requests[id]
