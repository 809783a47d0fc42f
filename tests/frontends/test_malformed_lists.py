"""Entries that cannot be read spoil no list; what can be read of them counts."""

from datetime import timedelta

import pytest
from reducer_harness import ReducerHarness
from stand_ins import chat_request, registry_entry, router_with_endpoints, run

from llm_router.frontends.registry_list import read_list
from llm_router.lifecycle import events
from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.start_times import LATEST, LONG_AGO, parse_start_time
from llm_router.routing.events import EndpointStatus

GOOD = registry_entry("good", "127.0.0.1:1", "prefill")


def listed(*entries):
    return read_list({"index": 1, "snapshot": True, "endpoints": list(entries)})


@pytest.mark.parametrize(
    ("since", "start"),
    [
        (0, LONG_AGO),
        (-5, LONG_AGO),
        (1500, timedelta(seconds=1.5)),
        (1500.0, timedelta(seconds=1.5)),
        (1e300, LATEST),
        (float("inf"), LATEST),
        (float("nan"), LATEST),
        ("soon", LATEST),
        (None, LATEST),
        (True, LATEST),
    ],
)
def test_an_odd_start_is_read_as_one_of_just_now(since, start):
    assert parse_start_time(since) == start


@pytest.mark.parametrize(
    "changes",
    [
        {"since_ms": "soon"},
        {"since_ms": 1 << 70},
        {"weight": "heavy"},
        {"weight": float("inf")},
        {"group": None},
        {"zone": 5},
    ],
)
def test_an_entry_with_an_odd_figure_is_taken(changes):
    told = listed(GOOD, {**GOOD, "name": "odd", **changes})
    assert [each.name for each in told.endpoints] == ["good", "odd"]
    assert all(each.address and each.kind for each in told.endpoints)


@pytest.mark.parametrize(
    "odd", [5, None, {}, {"name": "x"}, {"name": "", "status": "Ready"}, {"status": "Ready"}]
)
def test_an_entry_without_name_or_status_leaves_the_others(odd):
    told = listed(odd, GOOD)
    assert [each.name for each in told.endpoints] == ["good"]
    assert len(told.malformed) == 1


@pytest.mark.parametrize(
    "address", ["", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "a b:1", "h:1/x", 5, None]
)
def test_an_address_that_cannot_be_read_is_told_as_none(address):
    told = listed(GOOD, {**GOOD, "name": "odd", "address": address})
    assert told.endpoints[1].address == "" and told.malformed


@pytest.fixture
def core():
    return ReducerHarness()


@pytest.mark.parametrize("odd", [{"address": ""}, {"kind": ""}, {"address": "", "kind": ""}])
def test_a_drain_counts_though_the_rest_of_its_entry_cannot_be_read(core, odd):
    number, known = next(iter(core.state.endpoints.items()))
    told = {"address": known.address, "kind": known.kind, **odd}
    draining = Endpoint(known.name, zone="", cell=0, status=EndpointStatus.DRAINING, **told)
    core.feed(events.EndpointListReceived((draining,), False))
    assert core.state.endpoints[number].status is EndpointStatus.DRAINING
    assert core.state.endpoints[number].address == known.address


def test_an_endpoint_that_comes_to_be_of_an_unknown_kind_gets_nothing_more(core):
    number, known = next(iter(core.state.endpoints.items()))
    other = Endpoint(known.name, known.address, known.zone, "unheard", known.cell, EndpointStatus.READY)
    core.feed(events.EndpointListReceived((other,), False))
    assert number not in core.state.endpoints


def test_the_program_goes_on_with_a_list_that_has_odd_entries_and_says_so_once(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            odd = {**program.entries[0], "name": "odd", "address": "nowhere", "since_ms": "soon"}
            await program.discovery.publish([*program.entries, odd, 7])
            line = await program.wait_for_log("endpoint_entries_malformed")
            assert any("odd.address" in each for each in line["entries"])
            assert (await program.exchange(chat_request()))[0].split()[1] == "200"
            assert not await program.faults()
            assert not any(each["event"] == "discovery_lost" for each in program.log)

    run(test())
