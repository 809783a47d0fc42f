"""Every decision of a router, and every table and tuned value.

Each send passes `send`, each end `finish`; `settle` sees to requests with no attempt out after each event.
`docs/design.md` tells the mechanism (the paper's section 5) from the exceptions made to it."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from math import log2
from statistics import median

from llm_router.routing import actions, events
from llm_router.routing.actions import AnswerReason
from llm_router.routing.endpoint_index import Servers
from llm_router.routing.events import AttemptStatus, ConnectionFault, EndpointStatus
from llm_router.routing.gossip_codec import GossipMessage, Symptom
from llm_router.routing.hash_ring import Ring, jump_hash, mix
from llm_router.routing.settings import DeduplicationScope, Idempotency, Role, Settings
from llm_router.routing.state import Attempt, Job, Mean, Rate, Row, Server, Timers, drop_before

MS, SECOND = 1_000_000, 1_000_000_000
READERS, WRITERS = (Role.PREFILL, Role.MIXED), (Role.DECODE, Role.MIXED)
RISKY = (
    AttemptStatus.ERROR,
    AttemptStatus.TIMEOUT,
    AttemptStatus.RESET,
    AttemptStatus.CANCELLED,
)  # at a writer it may have run

# The mechanism.
TTFT_WEIGHT, PACE_WEIGHT = 1.0, 1.0  # of the score's two halves, without unit
NEW_SHARE = 0.25  # local only where the new tokens are under this share of the prompt
BUSY_WRITER = 2.0  # local only up to this multiple of our median streams a writer
EMPTY_CELL_NEW = 2000  # tokens: what an empty cell still reads locally
REMOTE_SHARE = 0.03  # of local turns, sent the remote way to feed its averages
SHORT = 0.5  # multiple of the mean prompt up to which a prompt is short
IDLE = 120 * SECOND  # a session's row, and what a prefix drew, count no more after this
BLEND = 0.1  # weight of a new value in a running average
SPILL = 0.25  # a reader takes what it can read in this share of the aim, our part of it
PREFIX_REPLICAS = 4.0  # readers of a prefix for each reader's part of all requests that are for it
POINTS, PAIRED = 16, 0.5  # a reader's points on the ring, and their least share where few writers are near
DEMAND_MIN = 10  # requests that are added to all when a prefix's part of them is worked out
FORGET = 0.98  # what is left of the best read speed seen with each further read
PROBES_MOST, PROBE_WAIT = 3, 60 * MS  # readers asked for their load, and how long each is waited for
FRESH = 400 * MS  # how long a report holds
OTHER_CELL, OTHER_ZONE = 0.8, 1.2  # writer's memories that a move out of the cell weighs, out of the zone
HOLDS = 4  # places asked for during a read
LATE, OVER_LATE = 0.8, 0.4  # shares of the aim: the wait that turns away, and beyond a tenant's share
CROWDED, AGAIN = 0.75, 0.5  # askings in vain past which no writer is idle; part of the limits for repeats

SLOW = 4.0  # multiple of the usual first step that makes a writer slow
SILENT = 6.0  # multiple of the mean time of a stage, with no sign of life, that makes a server silent
SILENT_MIN = {True: 0.5, False: 1.5}  # and at least this multiple of the shortest aim, for reads and writes
PASSED = 500 * MS  # what was sent so much before another that was answered is lost rather than in a queue
ERRORS, BRIEF = 2, 100 * MS  # failures in a row that make a server down; one that took longer does alone
EJECTION, EJECTION_MOST = SECOND, 8 * SECOND  # of a dead or silent server, doubled with each in a row
COLD_PART = 0.4  # of what a cold server must stand, over all routers
CANDIDATES = 64  # servers of a stage among which a choice is made; a smaller fleet is looked at whole
SUBSET_COVER = 2  # routers whose subsets hold a writer, in the mean: then each keeps connections to few
EVEN_STEPS = 4  # to a doubling of readers to writers, at which a large fleet's ring is weighed anew
SWEEP = 50 * MS  # how often servers are checked and waiting requests tried again
RATE_SPAN = 5 * SECOND  # what came lately came in this; what was told counts for a half to all of it


class RoutingPolicy:
    """The decisions of one router."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng, self.now = random.Random(seed), 0
        self.actions: list[actions.Action] = []
        self.classes = {cls.name: cls for cls in settings.classes}
        self.quotas = {tenant.name: tenant.requests_per_second for tenant in settings.tenants}
        self.asked: dict[str, Rate] = {}
        self.demand: dict[str, Rate] = {}  # requests by prefix, "" for all
        self.servers = Servers(settings.kinds)
        self.live = self.servers.live
        self.ring = Ring()
        self.cell_points: dict[int, int] = {}  # of a reader, by cell, as it was weighed last
        self.subset_ring = Ring()  # a point for each writer
        self.even = 0.0  # readers to a writer, by which the ring was weighed last
        self.subset: tuple[int, list[Server]] = (-1, [])  # this router's writers, for a version of the list
        self.jobs: dict[str, Job] = {}
        self.rows: dict[str, Row] = {}  # least lately used first
        self.cells: dict[tuple[tuple[bool, ...], bool], tuple[Mean, Mean]] = {}
        self.pairs = [None, *((tenant, name) for tenant in (None, *self.quotas) for name in self.classes)]
        self.handover_ttft = {role: Mean() for role in Role}  # to the first token of a state that was there
        self.stage = {True: Mean(), False: Mean()}  # a read's time, and a write's to its first token
        self.sends = {True: Rate(RATE_SPAN), False: Rate(RATE_SPAN)}  # reads and writes sent
        self.prompts = Mean()
        self.streams = Mean()  # our streams a writer
        self.places = {held: Rate(RATE_SPAN) for held in (True, False)}  # what came of askings for a place
        self.speed = 0.0  # tokens a second that a reader reads at its best
        self.timers = Timers()
        self.sweeping = self.watching = False
        self.handlers: dict[type, Callable[..., Job | None]] = {
            events.EndpointListUpdate: self.on_fleet,
            events.RequestReceived: self.on_request,
            events.FirstToken: self.on_first,
            events.ReservationResult: self.on_place,
            events.AttemptEnded: self.on_outcome,
            events.ClientDisconnected: self.on_gone,
            events.GossipReceived: self.on_peer,
            events.LoadProbeEnded: self.on_probed,
            events.TimerFired: lambda event: self.timers.fire(event.timer_id),
        }

    def handle(self, now: int, event: events.Event) -> list[actions.Action]:
        """Take an event and give the actions that it calls for, in order; what was not asked for is left."""
        self.now, self.actions = now, []
        if handler := self.handlers.get(type(event)):
            self.settle(handler(event))
        return self.actions

    def on_fleet(self, event: events.EndpointListUpdate) -> None:
        """Bring the list level. A whole list also removes what it leaves out."""
        self.watch()
        if event.entries is None:
            self.watching = False
            self.after(SECOND, self.watch)
            return
        changed = self.servers.update(event, self.now)
        for server in self.to_weigh(changed):
            self.ring.set_points(server, self.points(server))
        for server in changed:
            writes = server.role in WRITERS and server.entry.status is EndpointStatus.READY
            self.subset_ring.set_points(server, int(writes))

    def to_weigh(self, changed: list[Server]) -> Iterable[Server]:
        """Give the servers whose points on the ring may be others after a change of the list.

        In a large fleet those of the cells that changed, and all once its roles have shifted."""
        even, self.even = self.even, self.readers_to_writers()
        if even != self.even:
            self.cell_points = {cell: self.reader_points(cell) for cell in self.servers.by_cell}
            return dict.fromkeys((*changed, *self.live(READERS)))
        cells = [cell for cell in {server.entry.cell for server in changed} if self.cell_shifted(cell)]
        return dict.fromkeys((*changed, *(s for cell in cells for s in self.servers.by_cell.get(cell, ()))))

    def cell_shifted(self, cell: int) -> bool:
        """Tell whether a reader of a cell has other points now than when the cell was weighed last."""
        before, self.cell_points[cell] = self.cell_points.get(cell), self.reader_points(cell)
        return before != self.cell_points[cell]

    def readers_to_writers(self) -> float:
        """Give how many readers there are to a writer; in a large fleet in steps, the same at all routers."""
        readers, writers = self.servers.count(Role.PREFILL), self.servers.count(Role.DECODE)
        even = readers / max(1, writers)
        if readers + writers <= CANDIDATES or not even:
            return even
        return 2 ** (round(log2(even) * EVEN_STEPS) / EVEN_STEPS)

    def points(self, server: Server) -> int:
        """Give how many points on the ring a server has: the fewer, the less its cell's writers can take."""
        if server.entry.status is not EndpointStatus.READY or server.role not in READERS:
            return 0
        if server.role is Role.MIXED:
            return round(POINTS / (1 + self.even))
        return self.reader_points(server.entry.cell)

    def reader_points(self, cell: int) -> int:
        """Give how many points a reader of a cell has."""
        cells = self.servers.cells
        near = self.even * cells[Role.DECODE, cell] / max(1, cells[Role.PREFILL, cell])
        return round(POINTS * min(1.0, max(PAIRED, near)))

    def watch(self) -> None:
        if self.settings.must_subscribe and not self.watching:
            self.watching = True
            self.actions.append(actions.WatchEndpoints())

    def on_request(self, event: events.RequestReceived) -> Job | None:
        """Take a request; a timer backs its deadline, a tick early so that the answer is in time."""
        cls = self.classes.get(event.class_name)
        if cls is None or event.request_id in self.jobs:
            return None
        row = self.rows.get(event.session or event.prefix or "")
        job = self.jobs[event.request_id] = Job(event, cls, self.now, self.now + event.time_remaining, row)
        self.prompts.add(event.prompt_tokens, BLEND)
        self.asked.setdefault(event.tenant or "", Rate(RATE_SPAN)).add(self.now)
        for prefix in dict.fromkeys(("", event.prefix or "")):
            self.demand[prefix] = self.demand.pop(prefix, Rate(IDLE))
            self.demand[prefix].add(self.now)
        span = max(0, event.time_remaining - self.settings.timer_resolution)
        self.after(span, lambda: job if job.settled else self.finish(job, AnswerReason.DEADLINE_EXCEEDED))
        if not self.sweeping:
            self.sweeping = True
            self.after(SWEEP, self.sweep)
        job.local = self.local_writer(job)
        return job

    def on_first(self, event: events.FirstToken) -> None:
        if (attempt := self.servers.attempt(event)) is None:
            return
        job, server = attempt.job, attempt.server
        attempt.began, job.first_at, job.state_at = True, self.now, None
        self.alive(attempt)
        self.waited(server, self.now - attempt.sent, attempt.unread)
        self.stage[False].add(self.now - attempt.sent, BLEND)
        if self.settings.gossip and server is job.place and job.near.entry.cell == server.entry.cell:
            self.time_step(server, self.now - attempt.sent)
        self.cell(job)[0].add(self.now - job.arrived, BLEND)

    def on_place(self, event: events.ReservationResult) -> None:
        """Note a place that is held; where it is not, the next writer is asked."""
        attempt = self.servers.attempt(event)
        if attempt is None or not (job := attempt.job).asked:
            return
        self.places[event.reserved].add(self.now)
        if event.reserved and not job.ended:
            job.place = job.place or job.asked[-1]
        elif not (job.place or job.ended):
            self.hold(job)

    def hold(self, job: Job) -> None:
        """Ask for a place at the writer of our choice during the read, so that its state flows early.

        Guards against writers that others filled unseen. May harm where long reads leave places empty."""
        for server in (
            self.writers(job)[:HOLDS] if self.settings.reservations and len(job.asked) < HOLDS else []
        ):
            if server not in job.asked and self.cold_room(server, False):
                job.asked.append(server)
                self.actions.append(actions.Reserve(job.request.request_id, server.entry.endpoint_id))
                return

    def on_outcome(self, event: events.AttemptEnded) -> Job | None:
        """Take an attempt's end in: what it tells of the server, of the request and of the averages."""
        if (attempt := self.servers.attempt(event)) is None:
            return None
        job, server, status = attempt.job, attempt.server, event.status
        attempt.drop()
        attempt.risky = not attempt.reads and status in RISKY
        failed_here = (
            status is AttemptStatus.CONNECT_FAILED and event.connection_fault is ConnectionFault.LOCAL
        )
        attempt.failed = status in (*RISKY, AttemptStatus.CONNECT_FAILED) and not failed_here
        job.ended = job.ended or event.request_closed
        if status in (AttemptStatus.OK, AttemptStatus.PREFILLED):
            self.alive(attempt)
        elif status in (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET, AttemptStatus.ERROR):
            self.failed(server, event)
        elif (
            status in (AttemptStatus.CANCELLED, AttemptStatus.TIMEOUT)
            and attempt.reads
            and not attempt.passed
        ):
            # It waited longer still.
            self.waited(server, event.elapsed, attempt.unread)
        elif status is AttemptStatus.OVERLOADED and not event.state_missing:
            self.note(Symptom.FULL, server, job.pair)
        if status is AttemptStatus.PREFILLED:
            self.learn_read(job, server, event)
        elif status is AttemptStatus.OK and job.first_at is not None:
            self.learn_answer(job, server, event)
        if not attempt.reads and status not in (AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT):
            job.state_since = self.now
        job.local = None
        # A read that broke off may have ended well all the same: what it left waits, and nobody knows.
        # So does a state that its writer could not reach and tells to be gone.
        unknown = (
            status in RISKY if attempt.reads else status is AttemptStatus.OVERLOADED and event.state_missing
        )
        if status is not AttemptStatus.PREFILLED and (job.asked or unknown):
            self.release(job)
        return job

    def failed(self, server: Server, event: events.AttemptEnded) -> None:
        """Hold a server to be down when it fails twice in a row, or breaks after a wait that hurts.

        Guards against one that fails at once, and so seems least busy, and against giving up well servers for
        a lone reset. A connection kept from before tells nothing: it may have been closed as idle. Nor does a
        system call of our own that failed."""
        if event.status is not AttemptStatus.ERROR and event.connection_fault is not ConnectionFault.NONE:
            return
        server.errors += 1
        if server.errors >= ERRORS or (event.status is not AttemptStatus.ERROR and event.elapsed > BRIEF):
            self.note(Symptom.DOWN, server)

    def learn_read(self, job: Job, server: Server, event: events.AttemptEnded) -> None:
        """Record a finished read: where the state waits, the reader's speed and its wait."""
        job.state_at, job.state_since, job.reader = server, self.now, server
        self.stage[True].add(event.elapsed, BLEND)
        unread = max(0, job.request.prompt_tokens - event.cached_tokens)
        self.speed = max(unread * SECOND / max(1, event.elapsed), self.speed * FORGET)
        self.waited(server, event.elapsed, unread)
        server.prefixes.pop(job.request.prefix or "", None)
        server.prefixes[job.request.prefix or ""] = Rate(IDLE, at=self.now)
        drop_before(server.prefixes, self.now - IDLE)

    def learn_answer(self, job: Job, server: Server, event: events.AttemptEnded) -> None:
        """Record a finished answer: the session's row, the cell's pace, and whether the writer kept its part.

        Few kept at a local turn (flush, restart, no memory) void its older rows (harms if one was lost)."""
        self.cell(job)[1].add((self.now - job.first_at) / job.answer, BLEND)
        key = job.request.session or job.request.prefix or ""
        self.rows.pop(key, None)
        self.rows[key] = job.next_row(server, self.now)
        if job.local is not None and 2 * event.cached_tokens < job.request.prefix_tokens:
            server.kept_since = job.arrived

    def on_gone(self, event: events.ClientDisconnected) -> Job | None:
        if job := self.jobs.get(event.request_id):
            job.ended = True
            self.cancel(job.out)
        return job

    def after(self, span: int, callback: Callable[[], Job | None]) -> None:
        self.actions.append(actions.SetTimer(self.now + span, self.timers.add(callback)))

    def alive(self, attempt: Attempt) -> None:
        server = attempt.server
        server.passed = max(server.passed, attempt.sent - PASSED)
        server.heard, server.ejections, server.ejected_until, server.errors = self.now, 0, 0, 0

    def waited(self, server: Server, took: int, unread: int) -> None:
        server.lag, server.lag_at = took - self.reading_time(unread), self.now
        self.servers.touch(server)

    def time_step(self, server: Server, took: int) -> None:
        """Find a writer that slows, by the first token of a state that lay there already: a step or two.

        Guards against servers that age and die with their streams; covers any writer slower than the others.
        Only with peers to tell: a router alone learns of it too late, and a passing pause looks alike."""
        usual = self.handover_ttft[server.role]
        if took > (limit := SLOW * (usual.value or took)):
            self.note(Symptom.SLOW, server)
        usual.add(min(took, limit), BLEND)

    def note(self, symptom: Symptom, server: Server, pair: object = None, told: bool = False) -> None:
        """Heed what was met at a server, here or by a peer that told; tell all others what was met here.

        Guards against each of many routers paying a request for each bad server. What was told fades soon and
        at a random moment, so that a few try again. May harm where a server was bad for a moment only."""
        most = RATE_SPAN * self.rng.uniform(0.5, 1) if told else IDLE
        until = self.now + round(min(self.interval(server), most))
        if symptom is Symptom.FULL:
            server.full[pair] = max(server.full.get(pair, 0), until)
        elif symptom is Symptom.SLOW:
            server.slow_until = max(server.slow_until, until)
        else:
            self.eject(server, sure=True)
        if self.settings.gossip and not told and pair in self.pairs:
            report = GossipMessage(symptom, server.entry.endpoint_id, self.pairs.index(pair))
            self.actions.append(actions.SendGossip(None, report.pack()))

    def on_peer(self, event: events.GossipReceived) -> None:
        report = GossipMessage.read(event.data)
        server = self.servers.get(report.server) if report else None
        if server and report.pair < len(self.pairs):
            self.note(report.symptom, server, self.pairs[report.pair], told=True)

    def eject(self, server: Server, sure: bool) -> bool:
        """Eject a server, for longer each time in a row; later a single request tries it again.

        Guards against dead and hung servers. Silence may be mere load: it takes at most half of a role."""
        live = self.candidates((server.role,))
        well = [s for s in live if self.now >= s.ejected_until and s is not server]
        if self.now < server.ejected_until or not (sure or 2 * len(well) >= len(live)):
            return False
        server.ejections += 1
        server.ejected_until = self.now + min(EJECTION << (server.ejections - 1), EJECTION_MOST)
        return True

    def sweep(self) -> None:
        """Find servers gone silent with work taken; drop idle rows; try waiting work.

        Guards against servers that hang or are cut off before the list tells. A long jam looks alike: so the
        stage's mean learns from what is given up, and what may not be repeated is left to wait."""
        waiting = [job for job in self.jobs.values() if not job.settled]
        for server in dict.fromkeys(attempt.server for job in waiting for attempt in job.out):
            if oldest := server.oldest:
                silent = self.now - max(oldest.sent, server.heard) > self.patience(oldest)
                if silent and self.eject(server, sure=False):
                    self.stage[oldest.reads].add(self.now - oldest.sent, BLEND)
                    self.cancel(
                        a for a in server.out.values() if a.reads or a.job.cls.idempotency is Idempotency.SAFE
                    )
        for attempt in [a for job in waiting for a in job.out if a.passed and not a.failed]:
            repeatable = attempt.reads or attempt.job.cls.idempotency is Idempotency.SAFE
            if repeatable and self.now - attempt.sent > self.patience(attempt):
                attempt.failed = True
                self.cancel([attempt])
        for table in (self.rows, self.demand):
            drop_before(table, self.now - IDLE)
        for job in waiting:
            self.settle(job)
        self.sweeping = bool(waiting)
        if self.sweeping:
            self.after(SWEEP, self.sweep)

    def patience(self, attempt: Attempt) -> float:
        """Give how long an attempt may go without a sign of life before it is held to be lost.

        Guards against servers that answer all but some requests, which then wait till their time is up."""
        least = SILENT_MIN[attempt.reads] * min(cls.latency_objective for cls in self.settings.classes)
        return max(SILENT * (self.stage[attempt.reads].value or 0), least) + self.reading_time(attempt.unread)

    def candidates(self, roles: tuple[Role, ...]) -> list[Server]:
        """Give the servers among which a choice is made: all of a small fleet, some of a large one."""
        if self.servers.count(*roles) <= CANDIDATES:
            return self.live(roles)
        if roles == WRITERS and (subset := self.writer_subset()):
            return subset
        return self.spread(roles)

    def spread(self, roles: tuple[Role, ...]) -> list[Server]:
        """Give an even spread over the servers of some roles, another one each time."""
        total, turn = self.servers.count(*roles), self.rng.getrandbits(16)
        parts = ((role, self.servers.count(role)) for role in roles)
        most = ((role, max(1, CANDIDATES * count // max(1, total))) for role, count in parts)
        return [server for role, many in most for server in self.servers.by_role[role].spread(many, turn)]

    def writer_subset(self) -> list[Server]:
        """Give this router's part of a large fleet's writers; none where few routers have to use them all.

        Guards against connections that no second request ever uses: the fewer writers a router has, the more
        it finds open. Each router's part lies elsewhere on a ring, so that all writers are used alike."""
        if self.servers.count(*WRITERS) * SUBSET_COVER > CANDIDATES * self.settings.router_count:
            return []
        version, subset = self.subset
        if version != self.servers.version:
            walk = self.subset_ring.walk(f"router {self.settings.router_index}")
            self.subset = self.servers.version, (subset := list(islice(walk, CANDIDATES)))
        return subset

    def usable(self, roles: tuple[Role, ...], pair: tuple[str | None, str] = (None, "")) -> list[Server]:
        """Give the servers that may have new work; one that has failed gets a single request on trial.

        One that was full for a tenant and class gets nothing of theirs: it may have room for others. Where
        none of a large fleet's subset may, others stand in."""
        found = [server for server in self.candidates(roles) if self.takes(server, pair)]
        if found or self.servers.count(*roles) <= CANDIDATES:
            return found
        return [server for server in self.spread(roles) if self.takes(server, pair)]

    def takes(self, server: Server, pair: tuple[str | None, str]) -> bool:
        """Tell whether a live server may have new work of a tenant and class."""
        return self.now >= server.opens(pair) and not (server.ejections and server.out)

    def settle(self, job: Job | None) -> None:
        """See to it that a request with no attempt out has sent, waits within its limits, or has ended."""
        if job is None or job.out or self.jobs.get(job.request.request_id) is not job:
            return
        if not job.ended:
            self.advance(job)
        if job.ended and not job.out:
            self.release(job)
            del self.jobs[job.request.request_id]

    def advance(self, job: Job) -> None:
        """Take the next step of the path, wait for one, or end the request."""
        reason = self.hopeless(job)
        within = IDLE if self.settings.release_timeout is None else self.settings.release_timeout
        due = job.state_since + max(within // 2, within - 2 * SWEEP)  # a state waits until then
        if reason is not None:
            self.finish(job, reason)
        elif job.state_at is not None and self.now > due:
            self.release(job)
        elif job.state_at is None and self.late(job):
            if not self.send_first(job, self.escape(job), reads=False):
                self.finish(job, AnswerReason.QUEUEING_DELAY)
        else:
            self.step(job)

    def hopeless(self, job: Job) -> AnswerReason | None:
        """Tell why a request with no attempt out can get none in time, None if it may."""
        if self.now >= job.deadline - self.settings.timer_resolution:
            return AnswerReason.DEADLINE_EXCEEDED
        if not self.may_send(job, None):
            return AnswerReason.ATTEMPTS_EXHAUSTED
        return AnswerReason.NO_ENDPOINT_IN_TIME if self.stranded(job) else None

    def step(self, job: Job) -> bool:
        """Send the request where its path leads next."""
        if job.state_at is not None:
            return self.send_first(job, self.writers(job), reads=False)
        if job.local is not None and self.send(job, job.local, reads=False):
            return True
        job.local = None
        first = next(self.readers(job), None)
        if first is not None and self.probe(job, first):
            return True
        read = self.send_first(job, self.readers(job), reads=True)
        return read or self.send_first(job, self.escape(job), reads=False)

    def probe(self, job: Job, server: Server) -> bool:
        """Ask the reader that comes first for its load, and tell whether its report is waited for.

        Guards against queues that other routers have filled unseen: of many, each meets a server too seldom
        to know them by its own waits. May harm where reports lag behind by more than a queue lasts."""
        if not self.settings.load_probes or self.reported(server):
            return False
        if server not in job.probed and len(job.probed) < PROBES_MOST:
            job.probed.append(server)
            job.probe_until = self.now + PROBE_WAIT
            self.after(PROBE_WAIT, lambda: job)
            if server.probed_at is None or self.now >= server.probed_at + FRESH:
                server.probed_at = self.now
                self.actions.append(actions.ProbeLoad(server.entry.endpoint_id))
        return self.now < job.probe_until

    def known(self, server: Server) -> bool:
        """Tell whether what new work waits there has shown of late."""
        return self.now < server.lag_at + RATE_SPAN or self.reported(server)

    def reported(self, server: Server) -> bool:
        """Tell whether there is a report of a server that still holds."""
        return server.load_at is not None and self.now < server.load_at + FRESH

    def on_probed(self, event: events.LoadProbeEnded) -> None:
        """Take a load report in, and go on with the requests that wait for it."""
        if (server := self.servers.get(event.endpoint_id)) is None:
            return
        server.probed_at = None
        if event.status is AttemptStatus.OK:
            server.load, server.load_at = event.report, self.now
            self.servers.touch(server)
        for job in [job for job in self.jobs.values() if server in job.probed and self.now < job.probe_until]:
            self.settle(job)

    def send_first(self, job: Job, servers: Iterable[Server], reads: bool) -> bool:
        return any(self.send(job, server, reads and server.role is Role.PREFILL) for server in servers)

    def release(self, job: Job) -> None:
        """Let go of what may be held for a request."""
        if any(attempt.reads for attempt in job.attempts):
            self.actions.append(actions.Release(job.request.request_id))
        job.state_at = job.place = None
        job.asked.clear()

    def finish(self, job: Job, reason: AnswerReason) -> Job:
        """Give the final answer: refused where that is known to be harmless, else failed."""
        cls, request = job.cls, job.request.request_id
        harmless = not job.out and not any(attempt.risky for attempt in job.attempts)
        repeatable = cls.idempotency is Idempotency.SAFE or (
            cls.idempotency is Idempotency.KEYED and cls.deduplication_scope is DeduplicationScope.ALL
        )
        pause = min(max(0, job.pause), self.settings.retry_after and self.settings.max_retry_after or 0)
        refuse = harmless or repeatable
        self.actions.append(
            actions.RejectRequest(request, pause, reason) if refuse else actions.FailRequest(request, reason)
        )
        job.ended = True
        self.cancel(job.out)
        return job

    def cancel(self, attempts: Iterable[Attempt]) -> None:
        if self.settings.may_cancel:
            self.actions.extend(
                actions.CancelAttempt(a.job.request.request_id, a.index) for a in attempts if not a.began
            )

    def may_send(self, job: Job, server: Server | None) -> bool:
        """Tell whether attempts, copies and effects allow another send, anywhere or to this server."""
        cap, cls = self.settings.max_attempts, job.cls
        copy = not job.out or (self.settings.hedging and cls.idempotency is Idempotency.SAFE)
        if job.ended or (cap and len(job.attempts) >= cap) or not copy:
            return False
        risky = [attempt for attempt in job.attempts if attempt.risky]
        if not risky or cls.idempotency is Idempotency.SAFE:
            return True
        if cls.idempotency is Idempotency.NONE or self.now >= self.repeat_until(job):
            return False
        same = {
            DeduplicationScope.ALL: lambda e: 0,
            DeduplicationScope.ZONE: lambda e: e.zone,
            DeduplicationScope.CELL: lambda e: e.cell,
        }[cls.deduplication_scope]
        return server is None or all(same(a.server.entry) == same(server.entry) for a in risky)

    def repeat_until(self, job: Job) -> int | None:
        """Give the end of the time in which servers drop repeats, None where there is no such bound."""
        risky = [attempt.sent for attempt in job.attempts if attempt.risky]
        bounded = risky and job.cls.idempotency is Idempotency.KEYED
        return risky[0] + job.cls.deduplication_window - self.settings.timer_resolution if bounded else None

    def send(self, job: Job, server: Server, reads: bool) -> bool:
        """Send, unless a rule forbids it: the gate for drains, cold servers, attempts, copies and effects."""
        allowed = server.entry.status is EndpointStatus.READY and self.may_send(job, server)
        if not (allowed and (server is job.place or self.cold_room(server, reads))):
            return False
        unread = self.unread(job, server) if job.state_at is None else 0
        held = 0 if reads else job.request.prompt_tokens + job.request.max_output_tokens
        Attempt(job, len(job.attempts), server, reads, held, unread, self.now).take()
        self.sends[reads].add(self.now)
        self.servers.touch(server)
        not_after = None if reads else self.repeat_until(job)
        self.actions.append(
            actions.StartAttempt(job.request.request_id, server.entry.endpoint_id, write_deadline=not_after)
        )
        if reads:
            job.near = server
            self.hold(job)
        return True

    def cold_room(self, server: Server, reads: bool) -> bool:
        """Give a cold server a part of a warm one's rate, from a random moment so that routers don't meet."""
        born, told = server.entry.started_at, self.settings
        if not born or self.now >= born + told.slow_start_window or not told.overload_factor:
            return True
        rate = self.sends[reads].add(self.now, 0) / self.servers.count(server.role)
        part = min(1.0, told.slow_start_share * told.overload_factor) * COLD_PART
        gap = round(RATE_SPAN / (rate * part)) if rate else told.slow_start_window
        if server.next_cold is None:
            server.next_cold = self.now + self.rng.randrange(gap + 1)
        if self.now < server.next_cold:
            return False
        server.next_cold = self.now + gap
        return True

    def late(self, job: Job) -> bool:
        """Tell, by the servers given work of late, whether waits make a request late; over-share ones first.

        Repeats too, as nobody tells how old they are. Clients are told to stay away while the wait lasts."""
        parts = (
            [[job.local]] if job.local else [self.lately_used(role) for role in (Role.PREFILL, Role.DECODE)]
        )
        if job.probed and job.local is None:
            parts[0] = self.ahead(job)
        met = ([self.delay(s) for s in part if s.oldest or self.known(s)] for part in parts)
        wait = sum(median(waits) for waits in met if waits) + self.crowding() ** HOLDS * job.aim
        tenant = job.request.tenant or ""
        asked = self.asked[tenant].count * self.settings.router_count / (RATE_SPAN / SECOND)
        limit = OVER_LATE if asked > (self.quotas.get(tenant) or asked) else LATE
        late = self.now - job.arrived + wait
        job.pause = round(late - LATE * job.aim)
        limit *= AGAIN if job.request.is_retry else 1
        return late > limit * job.aim

    def lately_used(self, role: Role) -> list[Server]:
        """Give the usable servers of a role whose waits may be known: of a large fleet those used last."""
        if self.servers.count(role) <= CANDIDATES:
            return self.usable((role,))
        return [s for s in self.servers.lately_used((role,), CANDIDATES) if self.takes(s, (None, ""))]

    def ahead(self, job: Job) -> list[Server]:
        """Give the readers whose reports tell how long a request would wait: the one that it would go to.

        While others may still be asked there is none; once all asked have queues, they stand for the rest."""
        first = list(islice(self.readers(job), 1))
        if first and self.reported(first[0]):
            return first
        return job.probed if len(job.probed) >= PROBES_MOST else []

    def crowding(self) -> float:
        """Give the share of the places asked for of late that no writer held; a few askings tell little.

        Guards against writers filled past their memory unseen: work sent with no place queues, puts answers
        back. `late` takes it as wait. Covers any shortage of slots or memory: bursts, lost writers, long
        prompts. May harm where full writers are asked while others have room; what was asked fades."""
        none, held = (self.places[key].add(self.now, 0) for key in (False, True))
        return none / (none + held + 1)

    def stranded(self, job: Job) -> bool:
        """Tell whether no server of a stage ahead takes a request before it would be late: it waits in vain.

        Guards against holding on to what is lost when servers are gone, dead or full all together."""
        last = max(self.now, job.arrived + round(LATE * job.aim))
        stages = [WRITERS, READERS if not (job.state_at or self.settings.append_prefill) else tuple(Role)]
        opens = max(self.opens(roles, job.pair, last) for roles in stages)
        job.pause = opens - self.now
        return opens > last

    def opens(self, roles: tuple[Role, ...], pair: tuple[str | None, str], last: int) -> int:
        """Give when the first server of some roles takes new work; one that does now ends the search."""
        earliest = last + SECOND
        found = False
        for server in self.candidates(roles):
            at = server.opens(pair)
            earliest = at if not found else min(earliest, at)
            found = True
            if earliest <= self.now:
                return earliest
        if earliest > last and self.servers.count(*roles) > CANDIDATES:
            earliest = min([earliest, *(server.opens(pair) for server in self.spread(roles))])
        return earliest

    def escape(self, job: Job) -> list[Server]:
        """Give the writers that may read a request themselves where readers jam or are gone.

        Short prompts only (mixed servers: up to the mean), where none of ours waits and places are found."""
        if not self.settings.append_prefill or job.local is not None or self.crowding() > CROWDED:
            return []
        size, most = (
            job.request.prompt_tokens / (self.prompts.value or 1),
            {Role.DECODE: SHORT, Role.MIXED: 1.0},
        )
        fit = [s for s in self.writers(job) if size <= most[s.role] or not self.servers.count(*READERS)]
        return [s for s in fit if not s.waiting and self.delay(s) <= SPILL * job.cls.latency_objective]

    def delay(self, server: Server) -> int:
        """Guess how long new work waits at a server: as our oldest there does, or as the last one did."""
        waits = self.now - oldest.sent - self.reading_time(oldest.unread) if (oldest := server.oldest) else 0
        if server.role is not Role.DECODE and self.reported(server):
            return max(waits, self.reading_time(round(server.load.queued_prompt_tokens or 0)))
        fading = server.lag > 0 and 1 - (self.now - server.lag_at) / (server.lag + self.interval(server) / 3)
        return max(0, waits, round(server.lag * fading))

    def interval(self, server: Server) -> int:
        """Give the mean time between two of our sends to a server of this role."""
        rate = self.sends[server.role is Role.PREFILL].add(self.now, 0)
        return round(RATE_SPAN * self.servers.count(server.role) / max(1.0, rate))

    def reading_time(self, tokens: int) -> int:
        return round(tokens * SECOND / self.speed) if self.speed else 0

    def unread(self, job: Job, server: Server) -> int:
        """Guess how much of a prompt a server has yet to read."""
        kept = job.request.prefix_tokens if (job.request.prefix or "") in server.prefixes else 0
        if job.row is not None and job.row.reader == server.entry.endpoint_id:
            kept = max(kept, job.row.read)
        return max(0, job.request.prompt_tokens - kept)

    def cell(self, job: Job) -> tuple[Mean, Mean]:
        """Give first-token and pace averages of a path, by context, new tokens over output, and load."""
        if not job.cell:
            writers = self.candidates(WRITERS)
            load = sum(server.streams for server in writers) / max(1, len(writers))
            self.streams.add(load, BLEND)
            long = job.request.prompt_tokens > (self.prompts.value or 0)
            job.cell = (long, job.new > job.answer, load > self.streams.value)
        return self.cells.setdefault((job.cell, job.local is not None), (Mean(), Mean()))

    def local_writer(self, job: Job) -> Server | None:
        """Decide on a later turn: give the writer that shall read it, or None for the reader path."""
        server = self.servers.live_one(job.row.writer, WRITERS) if job.row else None
        if server is None or not self.takes(server, job.pair) or job.row.at < server.kept_since:
            return None
        writers = self.usable(WRITERS, job.pair) or [server]
        busy = server.streams > BUSY_WRITER * max(1, median(s.streams for s in writers))
        if busy or job.new >= NEW_SHARE * job.request.prompt_tokens:
            return None
        self.cell(job)
        local, remote = (self.cells.get((job.cell, path), (Mean(), Mean())) for path in (True, False))
        near = job.new < EMPTY_CELL_NEW
        if all(mean.value is not None for mean in local + remote):
            ttft, pace = ((r.value - n.value) / max(1, r.value) for n, r in zip(local, remote, strict=True))
            near = TTFT_WEIGHT * ttft + PACE_WEIGHT * pace > 0
        return server if near and self.rng.random() >= REMOTE_SHARE else None

    def readers(self, job: Job) -> Iterator[Server]:
        """Give the readers in ring order from the prefix, those past the bound last, by earliest end.

        What failed comes last of all. A session goes back first to the reader that read it, which keeps most
        of it. The order is worked out as far as it is asked for."""
        slack = SPILL * job.cls.latency_objective
        bound = max(slack / SECOND * self.speed / self.settings.router_count, self.prompts.value or 0)
        failed = {attempt.server for attempt in job.attempts if attempt.failed}
        past, failed_with_room = [], []
        for server in self.ring_order(job):
            if not (server.waiting <= bound and self.delay(server) <= slack):
                past.append(server)
            elif server in failed:
                failed_with_room.append(server)
            else:
                yield server
        ends = {s: self.delay(s) + self.reading_time(s.waiting + self.unread(job, s)) for s in past}
        past.sort(key=ends.__getitem__)
        yield from (server for server in past if server not in failed)
        yield from failed_with_room
        yield from (server for server in past if server in failed)

    def ring_order(self, job: Job) -> list[Server]:
        """Give the usable readers in ring order from the prefix, else the session; in a large fleet some.

        A prefix has more replicas the more of all requests are for it; the session picks one."""
        key, pair = job.request.prefix or job.request.session or "", job.pair
        total = self.servers.count(*READERS)
        if total <= CANDIDATES:
            ring = [server for server in self.ring.walk(key) if self.takes(server, pair)]
            if job.request.prefix and ring:
                first = self.replica(job, len(ring))
                ring = ring[first:] + ring[:first]
        else:
            first = self.replica(job, total) if job.request.prefix else 0
            # Past the bound a replica has a place of its own on the ring, lest we walk to it.
            walk = self.ring.walk(key if first < CANDIDATES else f"{key} {first}")
            usable = (server for server in walk if self.takes(server, pair))
            ring = list(islice(usable, first % CANDIDATES, first % CANDIDATES + CANDIDATES))
        if job.row is None:
            return ring
        last = self.servers.live_one(job.row.reader, READERS)
        if last is not None and self.takes(last, pair):
            ring = [last, *(server for server in ring if server is not last)]
        return ring

    def replica(self, job: Job, readers: int) -> int:
        """Give which of its prefix's replicas a request goes to first."""
        part = max(0.0, self.demand[job.request.prefix].count - 1) / (self.demand[""].count + DEMAND_MIN)
        replicas = 1 + int(PREFIX_REPLICAS * part * readers)
        if replicas > CANDIDATES:
            return jump_hash(mix(job.spot), replicas)
        return max(range(replicas), key=lambda n: mix(f"{job.spot} {n}"))

    def writers(self, job: Job) -> list[Server]:
        """Give the writers: a held place first, what failed or refused last, ties drawn lest all meet."""
        failed = {attempt.server for attempt in job.attempts if attempt.failed}
        order = {
            s: (s is not job.place, s in failed, s in job.asked, self.cost(job, s), self.rng.random())
            for s in self.writers_near(job)
        }
        return sorted(order, key=order.__getitem__)

    def writers_near(self, job: Job) -> list[Server]:
        """Give the usable writers; in a large fleet with those of the read's cell and the held place."""
        found = self.usable(WRITERS, job.pair)
        if self.servers.count(*WRITERS) <= CANDIDATES:
            return found
        cell = self.servers.by_cell.get(job.near.entry.cell) if job.near else None
        near = cell.spread(CANDIDATES, self.rng.getrandbits(16)) if cell else []
        more = [s for s in near if s.role in WRITERS and self.takes(s, job.pair)]
        place = [job.place] if job.place and job.place.entry.status is EndpointStatus.READY else []
        return list(dict.fromkeys((*found, *more, *place)))

    def cost(self, job: Job, server: Server) -> float:
        """Weigh a writer: our part of its memory, its wait, and the state's move."""
        cost = server.held / server.memory if server.memory else float(server.streams)
        cost += self.delay(server) / job.cls.latency_objective + (
            OTHER_ZONE if self.now < server.slow_until else 0
        )
        if job.near is None or job.near.entry.cell == server.entry.cell:
            return cost
        return cost + (OTHER_CELL if job.near.entry.zone == server.entry.zone else OTHER_ZONE)
