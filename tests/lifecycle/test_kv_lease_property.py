"""No KV state or reservation outlives the release time, for any order of events and any settings."""

from datetime import timedelta

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from kv_lease_model import EndpointBehaviour, KvLeaseModel

from llm_router.lifecycle import events
from llm_router.routing.events import AttemptStatus
from llm_router.routing.settings import ClassSettings, Idempotency, KindSettings, Role, Settings

MILLISECOND = 1_000_000  # nanoseconds
RUN_TIME = 30_000  # milliseconds after which every attempt, call and lease of a request has ended

delays = st.sampled_from([1, 5, 30, 80])
durations = st.sampled_from([1, 20, 150, 700])
failures = st.sampled_from(
    [None, None, None, AttemptStatus.RESET, AttemptStatus.ERROR, AttemptStatus.OVERLOADED]
)
prefill_endpoints = st.builds(
    EndpointBehaviour,
    delay=delays,
    connects=st.booleans(),
    duration=durations,
    failure=failures,
    prefill_time_after_reset=st.sampled_from([0, 10, 400, 2000]),
    hangs=st.sampled_from([False, False, False, True]),
    loses_writes=st.sampled_from([False, False, False, True]),
    reads_nothing=st.sampled_from([False, False, False, True]),
)
decode_endpoints = st.builds(
    EndpointBehaviour,
    delay=delays,
    connects=st.booleans(),
    duration=durations,
    failure=failures,
    hangs=st.sampled_from([False, False, False, True]),
    grants_reservations=st.booleans(),
    answers_reservations=st.booleans(),
)
silent_prefill_endpoints = st.builds(
    EndpointBehaviour,
    delay=delays,
    duration=durations,
    hangs=st.booleans(),
    reads_nothing=st.booleans(),
    answers_releases=st.booleans(),
)
silent_mixed_endpoints = st.builds(
    EndpointBehaviour,
    delay=delays,
    duration=durations,
    hangs=st.booleans(),
    answers_reservations=st.booleans(),
    answers_releases=st.booleans(),
    prefills_itself=st.just(True),
)
release_timeouts = st.sampled_from([None, 0, 50, 120, 300, 700, 2000])
deadlines = st.sampled_from([40, 300, 1000, 4000])
long_deadlines = st.sampled_from([1000, 4000, 9000])  # long enough for releases after a first attempt


@st.composite
def router_settings(draw, *, append_prefill=False):
    """Draw the settings of a router."""
    release_timeout, deadline = draw(release_timeouts), draw(long_deadlines if append_prefill else deadlines)
    class_settings = ClassSettings(
        "c",
        deadline * MILLISECOND // (10 if append_prefill else 2),
        deadline * MILLISECOND,
        draw(st.sampled_from(Idempotency)),
        deduplication_window=200 * MILLISECOND,
    )
    return Settings(
        kinds=(
            KindSettings("prefill", Role.PREFILL),
            KindSettings("decode", Role.DECODE),
            KindSettings("mixed", Role.MIXED),
        ),
        append_prefill=append_prefill,
        classes=(class_settings,),
        may_cancel=draw(st.booleans()),
        reservations=draw(st.booleans()),
        timer_resolution=2 * MILLISECOND,
        zone="a",
        max_attempts=draw(st.sampled_from([1, 2, 4])),
        retry_after=True,
        max_retry_after=1000 * MILLISECOND,
        release_timeout=None if release_timeout is None else release_timeout * MILLISECOND,
    )


@st.composite
def fleets(draw):
    """Draw prefill and decode endpoints, and one decode endpoint that is always reachable."""
    prefill = [((f"r{n}", "prefill"), draw(prefill_endpoints)) for n in range(draw(st.integers(1, 3)))]
    decode = [((f"w{n}", "decode"), draw(decode_endpoints)) for n in range(draw(st.integers(1, 3)))]
    reachable = EndpointBehaviour(delay=draw(delays), failure=AttemptStatus.OVERLOADED)
    return dict([*prefill, *decode, (("w9", "decode"), reachable)])


@st.composite
def silent_fleets(draw):
    """Draw endpoints that receive every call but often send no answer."""
    prefill = [((f"r{n}", "prefill"), draw(silent_prefill_endpoints)) for n in range(draw(st.integers(1, 2)))]
    mixed = [((f"m{n}", "mixed"), draw(silent_mixed_endpoints)) for n in range(draw(st.integers(1, 3)))]
    return dict([*prefill, *mixed])


def check_release_time(operator_settings, fleet, disconnects_at, seed):
    """Run one request in the model, and check that its KV state and reservations are released in time."""
    model = KvLeaseModel(operator_settings, fleet, seed)
    time_remaining = timedelta(microseconds=operator_settings.classes[0].deadline // 1000)
    model.feed(events.RequestReceived("q", "c", 2000, 100, time_remaining, session=f"s{seed}"))
    if disconnects_at is not None:
        model.after(disconnects_at, lambda: model.feed(events.ClientDisconnected("q")))
    model.run(RUN_TIME)
    assert model.violations == [] and not model.state.violations
    return model


# The draws are the same in each run, so that the result does not depend on chance.
# They are derived from the source of each test function.
@settings(
    max_examples=400, derandomize=True, database=None, deadline=None, suppress_health_check=list(HealthCheck)
)
@given(router_settings(), fleets(), st.sampled_from([None, 1, 30, 90, 250, 900]), st.integers(0, 5))
def test_nothing_stays_held_longer_than_the_release_time(operator_settings, fleet, disconnects_at, seed):
    model = check_release_time(operator_settings, fleet, disconnects_at, seed)
    assert not model.state.requests and not model.held["q"].items


@settings(
    max_examples=600, derandomize=True, database=None, deadline=None, suppress_health_check=list(HealthCheck)
)
@given(
    router_settings(append_prefill=True), silent_fleets(), st.sampled_from([None, 90, 900]), st.integers(0, 9)
)
def test_nothing_stays_held_where_endpoints_fall_silent(operator_settings, fleet, disconnects_at, seed):
    model = check_release_time(operator_settings, fleet, disconnects_at, seed)
    assert not model.held["q"].items, "a release that nobody acknowledges has arrived all the same"
