"""What goes into the reducer and the effects that it asks for. Plain data; nothing happens here."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from hoplane.decision.interface import State, Status

ZERO = timedelta()


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A model server as discovery tells it; `started` is by the teller's wall clock, zero for long ago.

    `address` and `kind` are empty where what was told of them cannot be read."""

    name: str
    address: str
    zone: str
    kind: str
    cell: int
    state: State
    weight: float = 1.0
    started: timedelta = ZERO


# --- events


@dataclass(slots=True, frozen=True)
class Asked:
    """A client's request, taken: one final answer is owed. `once` is the id under which it may run once."""

    id: str
    cls: str
    prompt: int
    max_out: int
    patience: timedelta
    session: str | None = None
    prefix: str | None = None
    prefix_len: int = 0
    tenant: str | None = None
    retry: bool = False
    resumed: bool = False
    once: str | None = None


@dataclass(slots=True, frozen=True)
class Left:
    """The client is gone."""

    id: str


@dataclass(slots=True, frozen=True)
class Sent:
    """An attempt's connection is up, and its bytes are on their way."""

    id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Unacknowledged:
    """The machine of an attempt's endpoint has not acknowledged its last byte after several round trips."""

    id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Began:
    """The first event of an attempt's answer is being passed on."""

    id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Ended:
    """An attempt is over, and its connection free or closed."""

    id: str
    attempt: int
    status: Status
    note: int = 0
    load: dict[str, float] = field(default_factory=dict)


class Reservation(Enum):
    """What came of a reservation call; it is named like this in the log."""

    HELD = "held"
    NOT_HELD = "not_held"
    UNKNOWN = "hold_unknown"  # it was answered, and a place may be held all the same
    UNANSWERED = "hold_unanswered"  # it may be on its way still


@dataclass(slots=True, frozen=True)
class ReservationEnded:
    """A reservation call is over."""

    id: str
    attempt: int
    result: Reservation


@dataclass(slots=True, frozen=True)
class ReleaseAnswered:
    """A release call is over; `heard`: the endpoint has taken it."""

    id: str
    taken: timedelta
    number: int
    heard: bool


@dataclass(slots=True, frozen=True)
class Deadline:
    """Timer: a client's patience is over. `taken` tells its request from an earlier one with the same id."""

    id: str
    taken: timedelta


@dataclass(slots=True, frozen=True)
class AttemptTimeout:
    """Timer: an attempt has taken as long as the decisions allow."""

    id: str
    taken: timedelta
    attempt: int


@dataclass(slots=True, frozen=True)
class ReleaseDue:
    """Timer: a release of what is held for a request is due, or another call of one."""

    id: str
    taken: timedelta


@dataclass(slots=True, frozen=True)
class ArrivalDue:
    """Timer: a prefill of which a decode server did not know should have been answered by now, or is lost."""

    id: str
    taken: timedelta
    attempt: int


CoreTimer = Deadline | AttemptTimeout | ReleaseDue | ArrivalDue


@dataclass(slots=True, frozen=True)
class Due:
    """A timer asked for with Wake has come; the decisions' own timers are numbers."""

    timer: int | CoreTimer


@dataclass(slots=True, frozen=True)
class Listed:
    """The list of endpoints, whole or the entries that changed.

    `unheard` is how long before this list the last answer came, None if there was none before. `odd` names
    what cannot be read of it."""

    endpoints: tuple[Endpoint, ...]
    whole: bool
    unheard: timedelta | None = None
    odd: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Loaded:
    """What came of a probe: the load report, where one came in time."""

    server: int
    status: Status
    elapsed: timedelta
    load: dict[str, float]


Event = (
    Asked
    | Left
    | Sent
    | Unacknowledged
    | Began
    | Ended
    | ReservationEnded
    | ReleaseAnswered
    | Due
    | Listed
    | Loaded
)


# --- effects


@dataclass(slots=True, frozen=True)
class Forward:
    """Open an attempt: send the request to an endpoint, which is told the time that is left to `deadline`.

    `connect_within` bounds the wait for a new connection where held state cannot wait for it longer."""

    id: str
    attempt: int
    endpoint: Endpoint
    deadline: timedelta
    reads: bool
    connect_within: timedelta | None = None
    not_after: timedelta | None = None  # it may be written no more from this time on
    release_first: bool = False  # what an earlier attempt left is being released; this waits a moment for it


@dataclass(slots=True, frozen=True)
class Abandon:
    """Give an attempt up by closing its connection; its Ended is still awaited."""

    id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Reserve:
    """Ask an endpoint to hold a place, once the reading attempt's last byte is out."""

    id: str
    attempt: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class Release:
    """Ask an endpoint to release what is held for a request, wherever that is."""

    id: str
    taken: timedelta
    number: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class StopReleases:
    """Give up the release calls of a request that are out: what they were for has gone, or is needed anew."""

    id: str


@dataclass(slots=True, frozen=True)
class AskLoad:
    """Ask an endpoint for its load; `server` is its number."""

    server: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused, trying again is harmless, after a pause."""

    id: str
    pause: timedelta
    why: str


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, nothing is promised. `clash`: its id may have run before."""

    id: str
    why: str
    clash: bool = False


@dataclass(slots=True, frozen=True)
class Wake:
    """Feed a Due back at a clock time."""

    at: timedelta
    timer: int | CoreTimer


@dataclass(slots=True, frozen=True)
class Say:
    """A line for the log; `seldom`: once a second at most."""

    event: str
    facts: dict[str, object]
    seldom: bool = False


Effect = Forward | Abandon | Reserve | Release | StopReleases | AskLoad | Refuse | Fail | Wake | Say
