"""The rule on held state, judged by the endpoints' own record, with each bad order forced at a gate."""

import asyncio
import time
from contextlib import asynccontextmanager

import pytest
from kv_lease_oracle import deployment
from stand_ins import FACTS, SETTINGS, LateListener, chat_request, registry_entry, run

MS = 1_000_000  # nanoseconds
RELEASE_TIMES = [60 * MS, 400 * MS]  # shorter and longer than the one most tests of the suite use
ONE_OF_EACH = {"r1": "prefill", "w1": "decode"}


def customer(release_within, ahead=False, connect_timeout=250 * MS):
    """Give the settings of a customer with another release time."""
    return {
        **SETTINGS,
        "allowed": {**SETTINGS["allowed"], "connect_timeout": connect_timeout},
        "family_info": {**SETTINGS["family_info"], "ahead": ahead, "release_within": release_within},
    }


@asynccontextmanager
async def client(program, id="r1"):
    """Send a request; its connection is closed at the end of the block."""
    _, writer = await program.connect()
    writer.write(chat_request(id, facts=FACTS))
    yield writer
    writer.close()


@asynccontextmanager
async def client_at_decode(program, record, of):
    """Send a request whose decode attempt waits, with its state held; the client leaves with the block."""
    of["w1"].finish.clear()
    async with client(program):
        await record.wait_until(lambda: record.of("r1").decoding)
        yield


def refuse_all(of):
    """Let every endpoint refuse what is new."""
    for endpoint in of.values():
        endpoint.refuse()
        endpoint.close_idle()


async def listen_again(of):
    """Let every endpoint take connections again."""
    for endpoint in of.values():
        await endpoint.listen()


def called(endpoint, method):
    return [call for call in endpoint.calls if call.startswith(method)]


async def at_gate(record, endpoints, start):
    """Wait until a call is on its way to one of some endpoints, and give that one."""

    def found():
        return [each for each in endpoints if any(line.startswith(start) for line in each.at_gate)]

    await record.wait_until(found)
    return found()[0]


async def until_called(record, endpoint, method, count=1):
    """Wait until an endpoint has had calls."""
    await record.wait_until(lambda: len(called(endpoint, method)) >= count)


@pytest.mark.parametrize("release_within", RELEASE_TIMES)
def test_a_release_goes_on_past_a_silent_endpoint_however_short_the_release_time(tmp_path, release_within):
    async def test():
        async with deployment(tmp_path, customer(release_within), ONE_OF_EACH) as (program, record, of):
            async with client_at_decode(program, record, of):
                of["r1"].inbound.clear()  # it falls silent once it holds the state
            assert await record.verdict() == []
            of["r1"].inbound.set()

    run(test())


@pytest.mark.parametrize("release_within", RELEASE_TIMES)
def test_a_release_is_asked_again_when_every_endpoint_has_refused_it(tmp_path, release_within):
    async def test():
        async with deployment(tmp_path, customer(release_within), ONE_OF_EACH) as (program, record, of):
            async with client_at_decode(program, record, of):
                refuse_all(of)
            await record.wait_until(lambda: record.of("r1").since is not None)
            await asyncio.sleep(0.1)  # all have refused by now; if not, the test asks for less
            await listen_again(of)
            assert await record.verdict() == []

    run(test())


@pytest.mark.parametrize("release_within", RELEASE_TIMES)
def test_a_release_that_overtakes_the_close_of_a_read_is_asked_again(tmp_path, release_within):
    async def test():
        async with deployment(tmp_path, customer(release_within), ONE_OF_EACH) as (program, record, of):
            of["r1"].finish.clear()
            async with client(program):
                await record.wait_until(lambda: record.of("r1").reading)
                of["r1"].inbound.clear()  # the close is on its way for long
                of["r1"].refuse()
            await until_called(record, of["w1"], "DELETE")
            of["r1"].finish.set()  # the read ends well before the close is there
            await record.wait_until(lambda: record.of("r1").ever_held)
            of["r1"].inbound.set()
            assert await record.verdict() == []

    run(test())


@pytest.mark.parametrize("release_within", RELEASE_TIMES)
def test_a_release_that_overtakes_the_close_of_a_decode_attempt_is_asked_again(tmp_path, release_within):
    async def test():
        async with deployment(tmp_path, customer(release_within), ONE_OF_EACH) as (program, record, of):
            async with client_at_decode(program, record, of):
                of["w1"].inbound.clear()
            await until_called(record, of["r1"], "DELETE")  # the attempt still waits for the state
            of["w1"].inbound.set()
            assert await record.verdict() == []

    run(test())


@pytest.mark.parametrize("release_within", RELEASE_TIMES)
def test_a_reservation_that_arrives_after_the_first_token_is_released(tmp_path, release_within):
    """Two decode servers: one is asked for a place, and the other then gets the request."""
    kinds = {"r1": "prefill", "w1": "decode", "w2": "decode"}

    async def test():
        settings = customer(release_within, ahead=True)
        async with deployment(tmp_path, settings, kinds) as (program, record, of):
            of["r1"].finish.clear()
            of["w1"].inbound.clear()
            of["w2"].inbound.clear()
            async with client(program):
                asked = await at_gate(record, (of["w1"], of["w2"]), "POST /v1/holds")
                of["r1"].finish.set()
                decoder = await at_gate(record, (of["w1"], of["w2"]), "POST /v1/chat")
                assert decoder is not asked
                decoder.inbound.set()
                await record.wait_until(lambda: record.of("r1").answered and not record.of("r1").decoding)
                asked.inbound.set()
                await record.wait_until(lambda: f"place at {asked.name}" in record.of("r1").ever_held)
                assert await record.verdict() == []

    run(test())


@pytest.mark.parametrize("release_within", RELEASE_TIMES)
def test_a_reservation_without_an_answer_is_released_before_its_call_is_given_up(tmp_path, release_within):
    async def test():
        settings = customer(release_within, ahead=True)
        async with deployment(tmp_path, settings, ONE_OF_EACH) as (program, record, of):
            of["r1"].finish.clear()
            of["w1"].inbound.clear()  # the reservation is on its way
            of["w1"].answers_reservations = False
            async with client(program):
                await at_gate(record, (of["w1"],), "POST /v1/holds")
            await until_called(record, of["r1"], "DELETE")
            of["w1"].inbound.set()
            await record.wait_until(lambda: record.of("r1").ever_held)
            assert await record.verdict() == []

    run(test())


@pytest.mark.parametrize("release_within", RELEASE_TIMES)
def test_state_is_released_though_the_list_has_become_empty(tmp_path, release_within):
    async def test():
        async with deployment(tmp_path, customer(release_within), ONE_OF_EACH) as (program, record, of):
            async with client_at_decode(program, record, of):
                gone = [registry_entry(each.name, each.address, each.kind, "Gone") for each in of.values()]
                await program.discovery.publish(gone)
                while (await program.wait_for_log("endpoint_list_updated"))["known"]:
                    pass
            assert await record.verdict() == []

    run(test())


@pytest.mark.parametrize("release_within", RELEASE_TIMES)
def test_state_left_by_a_broken_read_is_released_while_the_next_read_waits_for_its_connection(
    tmp_path,
    release_within,
):
    async def test():
        settings = customer(release_within, connect_timeout=2000 * MS)
        async with deployment(tmp_path, settings, ONE_OF_EACH) as (program, record, of):
            of["r1"].resets_reads = True
            of["r1"].finish.clear()
            late = LateListener()  # the only other prefill server, whose connections do not come up
            draining = registry_entry("r1", of["r1"].address, "prefill", "Terminating")
            async with client(program):
                await until_called(record, of["r1"], "POST")
                await program.discovery.publish([draining, registry_entry("r2", late.address, "prefill")])
                await until_called(record, of["w1"], "DELETE")
                of["r1"].finish.set()
                await record.wait_until(lambda: record.of("r1").ever_held)
                assert await record.verdict() == []
            late.close()

    run(test())


@pytest.mark.parametrize("release_within", RELEASE_TIMES)
def test_state_of_a_read_that_went_on_after_its_connection_broke_is_released(tmp_path, release_within):
    async def test():
        async with deployment(tmp_path, customer(release_within), ONE_OF_EACH) as (program, record, of):
            of["r1"].resets_reads = True
            of["r1"].finish.clear()
            async with client(program):
                await until_called(record, of["r1"], "POST")
            await until_called(record, of["w1"], "DELETE")
            await asyncio.sleep(1)  # the read goes on for long: its server does not halt it
            of["r1"].finish.set()
            await record.wait_until(lambda: record.of("r1").ever_held)
            assert await record.verdict() == []

    run(test())


@pytest.mark.parametrize("release_within", RELEASE_TIMES)
def test_the_program_does_not_end_before_its_releases_are_heard(tmp_path, release_within):
    async def test():
        async with deployment(tmp_path, customer(release_within), ONE_OF_EACH) as (program, record, of):
            async with client_at_decode(program, record, of):
                refuse_all(of)
                stopped = asyncio.ensure_future(program.stop())
                await program.wait_for_log("stopping")
            await record.wait_until(lambda: record.of("r1").since is not None)
            await asyncio.sleep(0.1)
            await listen_again(of)
            assert await record.verdict() == []
            assert await stopped == 0

    run(test())


@pytest.mark.parametrize("release_within", [0, *RELEASE_TIMES])
def test_state_does_not_wait_for_a_server_in_slow_start_beyond_the_release_time(tmp_path, release_within):
    async def test():
        settings = customer(release_within)
        slow_start = {"cold": 10_000 * MS, "cold_share": 0.3, "overload_factor": 2.5, "fall": 1000 * MS}
        settings["rules"] = {**settings["rules"], **slow_start}
        async with deployment(tmp_path, settings, ONE_OF_EACH) as (program, record, of):
            started = {
                **registry_entry("w1", of["w1"].address, "decode"),
                "since_ms": round(time.time() * 1000),
            }
            await program.discovery.publish([program.entries[0], started])
            await program.discovery.wait_for("GET /registry/instances?since=2")
            async with client(program):
                await until_called(record, of["r1"], "POST")
                assert await record.verdict() == []

    run(test())


@pytest.mark.parametrize("release_within", RELEASE_TIMES)
def test_a_next_read_that_never_reaches_its_server_holds_no_release_back(tmp_path, release_within):
    kinds = {"r1": "prefill", "r2": "prefill", "w1": "decode"}

    async def test():
        async with deployment(tmp_path, customer(release_within), kinds) as (program, record, of):
            of["r1"].resets_reads = of["r2"].resets_reads = True
            of["r1"].finish.clear()
            of["r2"].finish.clear()
            async with client(program):
                await record.wait_until(lambda: called(of["r1"], "POST") or called(of["r2"], "POST"))
                first, second = (of["r1"], of["r2"]) if called(of["r1"], "POST") else (of["r2"], of["r1"])
                second.inbound.clear()  # cut off: the next read is on its way for ever
                await at_gate(record, (second,), "POST")
                first.finish.set()  # the broken read went on, and leaves its state
                await record.wait_until(lambda: record.of("r1").ever_held)
                assert await record.verdict() == []
            second.inbound.set()

    run(test())


@pytest.mark.parametrize("release_within", RELEASE_TIMES)
def test_a_decode_attempt_that_never_reaches_its_server_holds_no_release_back(tmp_path, release_within):
    async def test():
        async with deployment(tmp_path, customer(release_within), ONE_OF_EACH) as (program, record, of):
            of["w1"].inbound.clear()  # cut off: the attempt is on its way for ever
            async with client(program):
                await at_gate(record, (of["w1"],), "POST /v1/chat")
                await record.wait_until(lambda: record.of("r1").ever_held)
                assert await record.verdict() == []
            of["w1"].inbound.set()

    run(test())


@pytest.mark.parametrize("release_within", RELEASE_TIMES)
def test_a_place_held_for_a_read_that_never_reached_its_server_is_released(tmp_path, release_within):
    async def test():
        settings = customer(release_within, ahead=True)
        async with deployment(tmp_path, settings, ONE_OF_EACH) as (program, record, of):
            of["r1"].inbound.clear()  # cut off: the read is on its way for ever
            async with client(program):
                await record.wait_until(lambda: record.of("r1").ever_held)
                assert await record.verdict() == []
            of["r1"].inbound.set()

    run(test())


@pytest.mark.parametrize("release_within", RELEASE_TIMES)
def test_a_reservation_that_arrives_long_after_it_was_given_up_is_released(tmp_path, release_within):
    async def test():
        settings = customer(release_within, ahead=True)
        async with deployment(tmp_path, settings, ONE_OF_EACH) as (program, record, of):
            of["r1"].finish.clear()
            of["w1"].inbound.clear()  # cut off: the reservation is on its way
            async with client(program):
                await at_gate(record, (of["w1"],), "POST /v1/holds")
            await asyncio.sleep(2)
            of["w1"].inbound.set()
            await record.wait_until(lambda: record.of("r1").ever_held)
            assert await record.verdict() == []

    run(test())
