"""Check that a malformed entry does not invalidate its list, and that its readable fields are used."""

from datetime import timedelta

import pytest
from reducer_harness import ReducerHarness
from stand_ins import chat_request, registry_entry, router_with_endpoints, run

from llm_router.frontends.registry_list import read_list
from llm_router.lifecycle import events
from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.start_times import MAX_START_TIME, NO_START_TIME, parse_start_time
from llm_router.routing.events import EndpointStatus

VALID_ENTRY = registry_entry("good", "127.0.0.1:1", "prefill")


def read_full_list(*entries):
    return read_list({"index": 1, "snapshot": True, "endpoints": list(entries)})


@pytest.mark.parametrize(
    ("since", "start"),
    [
        (0, NO_START_TIME),
        (-5, NO_START_TIME),
        (1500, timedelta(seconds=1.5)),
        (1500.0, timedelta(seconds=1.5)),
        (1e300, MAX_START_TIME),
        (float("inf"), MAX_START_TIME),
        (float("nan"), MAX_START_TIME),
        ("soon", MAX_START_TIME),
        (None, MAX_START_TIME),
        (True, MAX_START_TIME),
    ],
)
def test_a_malformed_start_time_counts_as_just_now(since, start):
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
def test_an_entry_with_a_malformed_field_is_accepted(changes):
    endpoint_list = read_full_list(VALID_ENTRY, {**VALID_ENTRY, "name": "malformed", **changes})
    assert [each.name for each in endpoint_list.endpoints] == ["good", "malformed"]
    assert all(each.address and each.kind for each in endpoint_list.endpoints)


@pytest.mark.parametrize(
    "entry", [5, None, {}, {"name": "x"}, {"name": "", "status": "Ready"}, {"status": "Ready"}]
)
def test_an_entry_without_name_or_status_leaves_the_others(entry):
    endpoint_list = read_full_list(entry, VALID_ENTRY)
    assert [each.name for each in endpoint_list.endpoints] == ["good"]
    assert len(endpoint_list.malformed) == 1


@pytest.mark.parametrize(
    "address", ["", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "a b:1", "h:1/x", 5, None]
)
def test_a_malformed_address_is_empty(address):
    endpoint_list = read_full_list(VALID_ENTRY, {**VALID_ENTRY, "name": "malformed", "address": address})
    assert endpoint_list.endpoints[1].address == "" and endpoint_list.malformed


@pytest.fixture
def reducer():
    return ReducerHarness()


@pytest.mark.parametrize("malformed", [{"address": ""}, {"kind": ""}, {"address": "", "kind": ""}])
def test_a_drain_counts_in_an_entry_that_is_otherwise_malformed(reducer, malformed):
    number, known = next(iter(reducer.state.endpoints.items()))
    fields = {"address": known.address, "kind": known.kind, **malformed}
    draining = Endpoint(known.name, zone="", cell=0, status=EndpointStatus.DRAINING, **fields)
    reducer.feed(events.EndpointListReceived((draining,), False))
    assert reducer.state.endpoints[number].status is EndpointStatus.DRAINING
    assert reducer.state.endpoints[number].address == known.address


def test_an_endpoint_whose_kind_becomes_unknown_is_removed(reducer):
    number, known = next(iter(reducer.state.endpoints.items()))
    other = Endpoint(known.name, known.address, known.zone, "unknown", known.cell, EndpointStatus.READY)
    reducer.feed(events.EndpointListReceived((other,), False))
    assert number not in reducer.state.endpoints


def test_the_router_serves_with_malformed_entries_and_logs_them_once(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            entry = {**program.entries[0], "name": "malformed", "address": "nowhere", "since_ms": "soon"}
            await program.discovery.publish([*program.entries, entry, 7])
            line = await program.wait_for_log("endpoint_entries_malformed")
            assert any("malformed.address" in each for each in line["entries"])
            assert (await program.exchange(chat_request()))[0].split()[1] == "200"
            assert not await program.stop_and_read_internal_errors()
            assert not any(each["event"] == "discovery_lost" for each in program.log)

    run(test())
