"""The rules of the protocol, judged by what endpoints, discovery and clients saw. Conductors are never asked.

All times are seconds of the event loop's clock, which is monotonic."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from math import sqrt

ANSWER_SLACK = 0.5  # seconds after its time that a request may still get its final answer
DEADLINE_SLACK = 0.15  # seconds that an endpoint may be told beyond what the client has left
GONE_SLACK = 0.1  # seconds after a client's end in which an attempt may still begin
HELD_SLACK = 0.3  # seconds that state may be held beyond the release time
EVENT_SLACK = 0.3  # seconds from an event's writing to its coming to the client
TOLD_WITHIN = 6.0  # seconds after which discovery's changes count as told, heard or not
JUST_BACK = 0.1  # seconds after a cut in which what was on its way comes
LAG_SPAN = 3.0  # seconds for which the lag of the judge's own loop is taken off
LAG_TICK = 0.01  # seconds between two measurements of that lag
FEW_CALLS = 30  # under so many, the budget of slow start has more slack for chance


class Rule(Enum):
    """A rule that a conductor has broken."""

    LOST = "lost"  # a request that was taken and got no final answer, or too late
    DUPLICATE = "duplicate"  # a request that must not run twice was sent again after it may have run
    COPY = "copy"  # two attempts of a request were out at once
    GONE = "gone"  # an attempt began after its client had left
    DRAIN = "drain"  # an attempt began at an endpoint that was told to drain
    DEADLINE = "deadline"  # an endpoint was told more time than the client had left
    PINNED = "pinned"  # state was held for too long with no attempt out
    FAILBACK = "failback"  # a cold endpoint got more than its budget
    EVENT = "event"  # an event was held back
    CRASH = "crash"  # a process ended by itself, or was not ready in time
    FAULT = "fault"  # a process told of a fault of its own


class Effect(Enum):
    """How far a request may be repeated once it may have run; the values are the settings' own."""

    SAFE = "pure"
    UNSAFE = "side_effect"


@dataclass(slots=True, frozen=True)
class Break:
    """One broken rule, with what was seen."""

    rule: Rule
    at: float
    who: str
    what: str
    since: float  # when it began


@dataclass(slots=True)
class RequestRecord:
    """What clients and endpoints saw of one request."""

    id: str
    conductor: str
    effect: Effect
    deadline: float | None = None  # when its client's patience ends; None until its last byte was written
    gone_at: float | None = None
    answered: bool = False
    reading: int = 0
    decoding: int = 0
    waiting: int = 0  # decode attempts whose stream has not begun: what is held is theirs
    may_have_run: bool = False  # at a decode endpoint
    held: set[str] = field(default_factory=set)
    held_since: float | None = None  # from when the rule's time runs; None while it does not
    orphan: bool = False  # its conductor was killed: endpoints free some seconds later what it had held


class Oracle:
    """Keeps the record of all requests and judges each step as it is seen."""

    def __init__(self, release_within: float, drain_grace: float) -> None:
        self.release_within, self.drain_grace = release_within, drain_grace
        self.loop = asyncio.get_running_loop()
        self.requests: dict[str, RequestRecord] = {}
        self.breaks: list[Break] = []
        self.counts: Counter[str] = Counter()
        self.lags: deque[tuple[float, float]] = deque()
        self.cut: dict[str, float] = {}  # endpoint names: until when they were cut off last
        self.draining: dict[str, float] = {}  # endpoint names: when discovery came to know
        self.told: dict[
            tuple[str, str], float
        ] = {}  # by conductor and endpoint: when a drain was written to it

    @property
    def now(self) -> float:
        """Give the loop's time."""
        return self.loop.time()

    async def measure_lag(self) -> None:
        """Note how late the judge's own loop is, which is taken off all spans."""
        while True:
            due = self.now + LAG_TICK
            await asyncio.sleep(LAG_TICK)
            self.lags.append((self.now, self.now - due))
            while self.lags[0][0] < self.now - LAG_SPAN:
                self.lags.popleft()

    @property
    def lag(self) -> float:
        """Give the longest lag of late."""
        return max((lag for _, lag in self.lags), default=0.0)

    def broken(self, rule: Rule, who: str, what: str, since: float | None = None) -> None:
        """Note a broken rule."""
        self.breaks.append(Break(rule, self.now, who, what, self.now if since is None else since))

    # --- clients

    def asks(self, id: str, conductor: str, effect: Effect) -> RequestRecord:
        """Note a request that a client begins to write."""
        self.counts["asked"] += 1
        record = self.requests[id] = RequestRecord(id, conductor, effect)
        return record

    def taken(self, id: str, patience: float) -> None:
        """Note that a request's last byte was written."""
        self.requests[id].deadline = self.now + patience

    def leaves(self, id: str) -> None:
        """Note that a client closes its connection."""
        record = self.requests[id]
        if not record.answered and record.gone_at is None:
            record.gone_at = self.now

    def answers(self, id: str, status: int) -> None:
        """Note a final answer, by its first byte for a stream and its last for another."""
        record = self.requests[id]
        self.counts[f"answer {status}"] += 1
        record.answered = True
        late = self.now - (record.deadline or self.now)
        if late > ANSWER_SLACK + self.lag:
            self.broken(Rule.LOST, record.conductor, f"{id} was answered {late:.3f} s after its time")

    def closed_unanswered(self, id: str, why: str) -> None:
        """Note that a conductor ended the connection of a request that was written, with no answer."""
        record = self.requests[id]
        if record.gone_at is None and not record.answered:
            self.broken(Rule.LOST, record.conductor, f"{id}: {why}")

    def event_came(self, id: str, endpoint: str, at: float) -> None:
        """Judge how long an event took to its client, unless its endpoint was cut off meanwhile."""
        took = self.now - at
        if took > EVENT_SLACK + self.lag and self.cut.get(endpoint, 0.0) < at:
            self.broken(Rule.EVENT, self.requests[id].conductor, f"{id}: an event took {took:.3f} s")

    # --- discovery

    def drains(self, endpoint: str) -> None:
        """Note that discovery knows of a drain."""
        self.draining.setdefault(endpoint, self.now)

    def is_told(self, conductor: str, endpoint: str) -> None:
        """Note that a drain was written to a conductor."""
        self.told.setdefault((conductor, endpoint), self.now)

    def restarted(self, conductor: str) -> None:
        """Forget what a conductor was told before it was restarted."""
        for key in [key for key in self.told if key[0] == conductor]:
            del self.told[key]

    # --- endpoints

    def begins(self, id: str, endpoint: str, time_left: float | None) -> None:
        """Judge an attempt by the first bytes of it that came."""
        record = self.requests.get(id)
        if record is None:
            self.broken(Rule.DUPLICATE, endpoint, f"{id} was never asked for")
            return
        self.counts["attempts"] += 1
        if record.gone_at is not None and self.now - record.gone_at > GONE_SLACK + self.lag:
            self.broken(
                Rule.GONE, record.conductor, f"{id}: {self.now - record.gone_at:.3f} s after its client"
            )
        if record.deadline is not None and time_left is not None:
            over = time_left - (record.deadline - self.now)
            if over > DEADLINE_SLACK + self.lag:
                self.broken(Rule.DEADLINE, record.conductor, f"{id}: told {over:.3f} s too much")
        self.judge_drain(record, endpoint)

    def judge_drain(self, record: RequestRecord, endpoint: str) -> None:
        """Judge whether an endpoint may still get something new from a conductor."""
        known = self.draining.get(endpoint)
        if known is None:
            return
        told = min(known + TOLD_WITHIN, self.told.get((record.conductor, endpoint), known + TOLD_WITHIN))
        over = self.now - told - self.drain_grace
        if over > self.lag:
            self.broken(Rule.DRAIN, record.conductor, f"{record.id} to {endpoint}, {over:.3f} s too late")

    def reads(self, id: str, endpoint: str) -> None:
        """Note that a prefill endpoint has a request."""
        record = self.requests[id]
        self.out(record, endpoint)
        record.reading += 1
        self.run_clock(record)

    def read_ended(self, id: str, endpoint: str, left: bool) -> None:
        """Note the end of a prefill, and whether it left its state."""
        record = self.requests[id]
        record.reading -= 1
        self.holds(id, f"state at {endpoint}" if left else None)

    def holds(self, id: str, item: str | None) -> None:
        """Note that something is held from now on; the time counts anew."""
        record = self.requests[id]
        self.judge_held(record)
        if item is not None:
            record.held.add(item)
        self.run_clock(record, anew=True)

    def releases(self, id: str) -> None:
        """Note that all that no attempt waits for is let go."""
        record = self.requests.get(id)
        if record is not None and not record.waiting:
            self.judge_held(record)
            record.held.clear()
            self.run_clock(record)

    def has_state(self, id: str) -> bool:
        """Tell whether a read state waits for a request."""
        return any(item.startswith("state") for item in self.requests[id].held)

    def decodes(self, id: str, endpoint: str) -> None:
        """Note that a decode endpoint has a request that it will run."""
        record = self.requests[id]
        self.out(record, endpoint)
        if record.may_have_run and record.effect is Effect.UNSAFE:
            self.broken(Rule.DUPLICATE, record.conductor, f"{id} may have run before")
        record.may_have_run = True
        record.decoding += 1
        record.waiting += 1
        self.run_clock(record)

    def first_token(self, id: str) -> None:
        """Note that an answer's stream has begun: all that was held went with it."""
        record = self.requests[id]
        self.judge_held(record)
        record.held.clear()
        record.waiting -= 1

    def decode_ended(self, id: str, began: bool) -> None:
        """Note the end of a decode attempt, and whether its stream had begun."""
        record = self.requests[id]
        record.decoding -= 1
        record.waiting -= not began
        self.run_clock(record, anew=True)

    def out(self, record: RequestRecord, endpoint: str) -> None:
        """Judge that no other attempt of a request is out.

        One that comes when a cut is over may have been given up, its connection's end right behind."""
        self.judge_held(record)
        delayed = self.cut.get(endpoint, float("-inf")) > self.now - JUST_BACK
        if (record.reading or record.decoding) and not delayed:
            self.broken(Rule.COPY, record.conductor, f"{record.id}: a second attempt is out")

    def run_clock(self, record: RequestRecord, anew: bool = False) -> None:
        """Let the time of what is held run while no attempt is out."""
        if not record.held or record.reading or record.decoding or record.orphan:
            record.held_since = None
        elif record.held_since is None or anew:
            record.held_since = self.now

    def judge_held(self, record: RequestRecord) -> None:
        """Judge how long something is held."""
        if record.held_since is None:
            return
        span = self.now - record.held_since
        if span > self.release_within + HELD_SLACK + self.lag:
            what = f"{record.id}: {sorted(record.held)} for {span:.3f} s"
            self.broken(Rule.PINNED, record.conductor, what, record.held_since)
            record.held.clear()  # told once
            record.held_since = None

    def forgive_held(self, conductor: str) -> None:
        """Free what a conductor that was killed had held: endpoints do so some seconds later."""
        for record in self.requests.values():
            if record.conductor == conductor:
                record.orphan = True
                record.held_since = None

    def judge_all(self) -> None:
        """Judge what is held at this moment."""
        for record in self.requests.values():
            self.judge_held(record)

    @property
    def holding(self) -> bool:
        """Tell whether anything is held, or any attempt is out."""
        return any(each.held or each.reading or each.decoding for each in self.requests.values())


def slow_start_budget(calls: float) -> float:
    """Give what a cold endpoint stands in the time that settings name, from the calls that they allow."""
    if calls < FEW_CALLS:
        return calls + 3 * sqrt(calls) + 3
    return calls + 2 * sqrt(calls) + 2
