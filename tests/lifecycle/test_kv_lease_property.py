"""Whatever the order of events and the settings, nothing stays held longer than told."""

from datetime import timedelta

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from kv_lease_model import Behaviour, Model

from llm_router.lifecycle import events
from llm_router.routing.settings import ClassSettings, Idempotency, KindSettings, Role, Settings

MS = 1_000_000
DAY_END = 30_000  # milliseconds: all of a request is over by then

delays = st.sampled_from([1, 5, 30, 80])
works = st.sampled_from([1, 20, 150, 700])
prefill_servers = st.builds(
    Behaviour,
    delay=delays,
    connects=st.booleans(),
    work=works,
    fails=st.sampled_from(["", "", "", "reset", "error", "full"]),
    reads_on=st.sampled_from([0, 10, 400, 2000]),
    hangs=st.sampled_from([False, False, False, True]),
    cut_off=st.sampled_from([False, False, False, True]),
)
decode_servers = st.builds(
    Behaviour,
    delay=delays,
    connects=st.booleans(),
    work=works,
    fails=st.sampled_from(["", "", "", "reset", "error", "full"]),
    hangs=st.sampled_from([False, False, False, True]),
    grants=st.booleans(),
    answers_reservations=st.booleans(),
)
release_times = st.sampled_from([None, 0, 50, 120, 300, 700, 2000])
deadlines = st.sampled_from([40, 300, 1000, 4000])


@st.composite
def customers(draw):
    """Give the settings of some customer."""
    within, deadline = draw(release_times), draw(deadlines)
    cls = ClassSettings(
        "c",
        deadline * MS // 2,
        deadline * MS,
        draw(st.sampled_from(Idempotency)),
        deduplication_window=200 * MS,
    )
    return Settings(
        kinds=(KindSettings("prefill", Role.PREFILL), KindSettings("decode", Role.DECODE)),
        classes=(cls,),
        may_cancel=draw(st.booleans()),
        reservations=draw(st.booleans()),
        timer_resolution=2 * MS,
        zone="a",
        max_attempts=draw(st.sampled_from([1, 2, 4])),
        retry_after=True,
        max_retry_after=1000 * MS,
        release_timeout=None if within is None else within * MS,
    )


@st.composite
def fleets(draw):
    """Give servers of both roles, and one that can always be reached."""
    prefill = [((f"r{n}", "prefill"), draw(prefill_servers)) for n in range(draw(st.integers(1, 3)))]
    decode = [((f"w{n}", "decode"), draw(decode_servers)) for n in range(draw(st.integers(1, 3)))]
    return dict([*prefill, *decode, (("w9", "decode"), Behaviour(delay=draw(delays), fails="full"))])


# The draws are the same each time: the verdict must not hang on chance.
@settings(
    max_examples=400, derandomize=True, database=None, deadline=None, suppress_health_check=list(HealthCheck)
)
@given(customers(), fleets(), st.sampled_from([None, 1, 30, 90, 250, 900]), st.integers(0, 5))
def test_nothing_stays_held_longer_than_told(customer, fleet, leaves_at, seed):
    model = Model(customer, fleet, seed)
    patience = timedelta(microseconds=customer.classes[0].deadline // 1000)
    model.feed(events.RequestReceived("q", "c", 2000, 100, patience, session="s"))
    if leaves_at is not None:
        model.after(leaves_at, lambda: model.feed(events.ClientDisconnected("q")))
    model.run(DAY_END)
    assert model.breaks == []
    assert not model.state.requests and not model.held["q"].items
