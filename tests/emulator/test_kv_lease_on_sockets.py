"""Check that no lease outlives the release timeout if events happen in an unfavourable order.

Each test forces one order of events by closing gates at stand-in endpoints, for example a release call that
arrives before the close of the prefill's connection. The endpoints' own record is checked."""

import asyncio
import time
from contextlib import asynccontextmanager

import pytest
from gated_deployment import gated_deployment
from stand_ins import FACTS, SETTINGS, LateListener, chat_request, registry_entry, run

MS = 1_000_000  # nanoseconds
RELEASE_TIMEOUTS = [60 * MS, 400 * MS]  # shorter and longer than in most tests of the suite
ONE_OF_EACH = {"r1": "prefill", "w1": "decode"}
# Seconds in which every endpoint usually refuses a release call. If one does not, the test is less strict.
REFUSAL_TIME = 0.1


def customer_settings(release_timeout, reservations=False, connect_timeout=250 * MS):
    """Return settings with a release timeout and a connect timeout in nanoseconds."""
    family = {"ahead": reservations, "release_within": release_timeout}
    return {
        **SETTINGS,
        "allowed": {**SETTINGS["allowed"], "connect_timeout": connect_timeout},
        "family_info": {**SETTINGS["family_info"], **family},
    }


@asynccontextmanager
async def client(router):
    """Send the request `r1`, and close the client's connection at the end of the block."""
    _, writer = await router.connect()
    writer.write(chat_request("r1", facts=FACTS))
    yield
    writer.close()


@asynccontextmanager
async def client_at_decode(deployment):
    """Send a request, wait until its decode attempt claims the KV state, and disconnect after the block."""
    deployment["w1"].finish.clear()
    async with client(deployment.router):
        await deployment.record.wait_until(lambda: deployment.record.of("r1").decodes)
        yield


async def wait_for_release_timer(record):
    """Wait until the release timeout of the request `r1` has started."""
    await record.wait_until(lambda: record.of("r1").timer_started_at is not None)


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_a_release_reaches_another_endpoint_if_one_is_unresponsive(tmp_path, release_timeout):
    async def test():
        async with gated_deployment(tmp_path, customer_settings(release_timeout), ONE_OF_EACH) as deployment:
            async with client_at_decode(deployment):
                # The endpoint stops responding after it has computed the KV state.
                deployment["r1"].inbound.clear()
            assert await deployment.record.final_violations() == []
            deployment["r1"].inbound.set()

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_a_release_is_retried_after_every_endpoint_refused_the_connection(tmp_path, release_timeout):
    async def test():
        async with gated_deployment(tmp_path, customer_settings(release_timeout), ONE_OF_EACH) as deployment:
            async with client_at_decode(deployment):
                deployment.refuse_all()
            await wait_for_release_timer(deployment.record)
            await asyncio.sleep(REFUSAL_TIME)
            await deployment.listen_all()
            assert await deployment.record.final_violations() == []

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_a_release_that_arrives_before_the_close_of_a_prefill_is_retried(tmp_path, release_timeout):
    async def test():
        async with gated_deployment(tmp_path, customer_settings(release_timeout), ONE_OF_EACH) as deployment:
            deployment["r1"].finish.clear()
            async with client(deployment.router):
                await deployment.record.wait_until(lambda: deployment.record.of("r1").prefills)
                deployment["r1"].inbound.clear()  # The close of the prefill's connection is delayed.
                deployment["r1"].refuse()
            await deployment.until_called("w1", "DELETE")
            deployment["r1"].finish.set()  # The prefill completes before the close arrives.
            await deployment.until_leased("r1")
            deployment["r1"].inbound.set()
            assert await deployment.record.final_violations() == []

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_a_release_that_arrives_before_the_close_of_a_decode_attempt_is_retried(tmp_path, release_timeout):
    async def test():
        async with gated_deployment(tmp_path, customer_settings(release_timeout), ONE_OF_EACH) as deployment:
            async with client_at_decode(deployment):
                deployment["w1"].inbound.clear()
            await deployment.until_called("r1", "DELETE")  # The decode attempt still claims the KV state.
            deployment["w1"].inbound.set()
            assert await deployment.record.final_violations() == []

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_a_reservation_that_arrives_after_the_first_token_is_released(tmp_path, release_timeout):
    """Delay the reservation at one decode endpoint while the other one answers the request."""
    kinds = {"r1": "prefill", "w1": "decode", "w2": "decode"}

    async def test():
        settings = customer_settings(release_timeout, reservations=True)
        async with gated_deployment(tmp_path, settings, kinds) as deployment:
            deployment["r1"].finish.clear()
            deployment["w1"].inbound.clear()
            deployment["w2"].inbound.clear()
            async with client(deployment.router):
                record = deployment.record
                reserving = await deployment.until_sent("POST /v1/holds", "w1", "w2")
                deployment["r1"].finish.set()
                decoding = await deployment.until_sent("POST /v1/chat", "w1", "w2")
                assert decoding is not reserving
                decoding.inbound.set()
                await record.wait_until(lambda: record.of("r1").answered and not record.of("r1").decodes)
                reserving.inbound.set()
                reservation = f"reservation at {reserving.name}"
                await record.wait_until(lambda: reservation in record.of("r1").ever_leased)
                assert await record.final_violations() == []

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_an_unanswered_reservation_is_released_before_its_call_times_out(tmp_path, release_timeout):
    async def test():
        settings = customer_settings(release_timeout, reservations=True)
        async with gated_deployment(tmp_path, settings, ONE_OF_EACH) as deployment:
            deployment["r1"].finish.clear()
            deployment["w1"].inbound.clear()  # The reservation call is delayed.
            deployment["w1"].answers_reservations = False
            async with client(deployment.router):
                await deployment.until_sent("POST /v1/holds", "w1")
            await deployment.until_called("r1", "DELETE")
            deployment["w1"].inbound.set()
            await deployment.until_leased("r1")
            assert await deployment.record.final_violations() == []

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_kv_state_is_released_after_the_endpoint_list_becomes_empty(tmp_path, release_timeout):
    async def test():
        async with gated_deployment(tmp_path, customer_settings(release_timeout), ONE_OF_EACH) as deployment:
            async with client_at_decode(deployment):
                removed = [
                    registry_entry(endpoint.name, endpoint.address, endpoint.kind, "Gone")
                    for endpoint in deployment.endpoints.values()
                ]
                await deployment.router.discovery.publish(removed)
                while (await deployment.router.wait_for_log("endpoint_list_updated"))["known"]:
                    pass
            assert await deployment.record.final_violations() == []

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_kv_state_of_a_reset_prefill_is_released_while_the_next_prefill_connects(tmp_path, release_timeout):
    async def test():
        settings = customer_settings(release_timeout, connect_timeout=2000 * MS)
        async with gated_deployment(tmp_path, settings, ONE_OF_EACH) as deployment:
            deployment["r1"].resets_prefills = True
            deployment["r1"].finish.clear()
            late = LateListener()  # The only other prefill endpoint accepts no connection.
            draining = registry_entry("r1", deployment["r1"].address, "prefill", "Terminating")
            async with client(deployment.router):
                await deployment.until_called("r1", "POST")
                next_entry = registry_entry("r2", late.address, "prefill")
                await deployment.router.discovery.publish([draining, next_entry])
                await deployment.until_called("w1", "DELETE")
                deployment["r1"].finish.set()
                await deployment.until_leased("r1")
                assert await deployment.record.final_violations() == []
            late.close()

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_kv_state_of_a_prefill_that_continued_after_a_reset_is_released(tmp_path, release_timeout):
    async def test():
        async with gated_deployment(tmp_path, customer_settings(release_timeout), ONE_OF_EACH) as deployment:
            deployment["r1"].resets_prefills = True
            deployment["r1"].finish.clear()
            async with client(deployment.router):
                await deployment.until_called("r1", "POST")
            await deployment.until_called("w1", "DELETE")
            await asyncio.sleep(1)  # The endpoint continues the prefill after the reset.
            deployment["r1"].finish.set()
            await deployment.until_leased("r1")
            assert await deployment.record.final_violations() == []

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_the_router_does_not_exit_before_its_release_calls_are_acknowledged(tmp_path, release_timeout):
    async def test():
        async with gated_deployment(tmp_path, customer_settings(release_timeout), ONE_OF_EACH) as deployment:
            async with client_at_decode(deployment):
                deployment.refuse_all()
                stopped = asyncio.ensure_future(deployment.router.stop())
                await deployment.router.wait_for_log("stopping")
            await wait_for_release_timer(deployment.record)
            await asyncio.sleep(REFUSAL_TIME)
            await deployment.listen_all()
            assert await deployment.record.final_violations() == []
            assert await stopped == 0

    run(test())


@pytest.mark.parametrize("release_timeout", [0, *RELEASE_TIMEOUTS])
def test_kv_state_waits_for_an_endpoint_in_slow_start_no_longer_than_the_release_timeout(
    tmp_path, release_timeout
):
    async def test():
        settings = customer_settings(release_timeout)
        slow_start = {"cold": 10_000 * MS, "cold_share": 0.3, "overload_factor": 2.5, "fall": 1000 * MS}
        settings["rules"] = {**settings["rules"], **slow_start}
        async with gated_deployment(tmp_path, settings, ONE_OF_EACH) as deployment:
            started = registry_entry("w1", deployment["w1"].address, "decode")
            started["since_ms"] = round(time.time() * 1000)
            await deployment.router.discovery.publish([deployment.router.entries[0], started])
            await deployment.router.discovery.wait_for("GET /registry/instances?since=2")
            async with client(deployment.router):
                await deployment.until_called("r1", "POST")
                assert await deployment.record.final_violations() == []

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_a_retried_prefill_that_never_arrives_does_not_delay_the_release(tmp_path, release_timeout):
    kinds = {"r1": "prefill", "r2": "prefill", "w1": "decode"}

    async def test():
        async with gated_deployment(tmp_path, customer_settings(release_timeout), kinds) as deployment:
            deployment["r1"].resets_prefills = deployment["r2"].resets_prefills = True
            deployment["r1"].finish.clear()
            deployment["r2"].finish.clear()
            async with client(deployment.router):
                await deployment.record.wait_until(
                    lambda: deployment["r1"].called("POST") or deployment["r2"].called("POST")
                )
                first, second = deployment["r1"], deployment["r2"]
                if second.called("POST"):
                    first, second = second, first
                second.inbound.clear()  # The endpoint is partitioned: the retried prefill never arrives.
                await deployment.until_sent("POST", second.name)
                first.finish.set()  # The reset prefill completes and leaves its KV state.
                await deployment.until_leased("r1")
                assert await deployment.record.final_violations() == []
            second.inbound.set()

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_a_decode_attempt_that_never_arrives_does_not_delay_the_release(tmp_path, release_timeout):
    async def test():
        async with gated_deployment(tmp_path, customer_settings(release_timeout), ONE_OF_EACH) as deployment:
            deployment["w1"].inbound.clear()  # The endpoint is partitioned: the decode attempt never arrives.
            async with client(deployment.router):
                await deployment.until_sent("POST /v1/chat", "w1")
                await deployment.until_leased("r1")
                assert await deployment.record.final_violations() == []
            deployment["w1"].inbound.set()

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_a_reservation_for_a_prefill_that_never_arrived_is_released(tmp_path, release_timeout):
    async def test():
        settings = customer_settings(release_timeout, reservations=True)
        async with gated_deployment(tmp_path, settings, ONE_OF_EACH) as deployment:
            deployment["r1"].inbound.clear()  # The endpoint is partitioned: the prefill never arrives.
            async with client(deployment.router):
                await deployment.until_leased("r1")
                assert await deployment.record.final_violations() == []
            deployment["r1"].inbound.set()

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_a_reservation_that_arrives_long_after_its_cancellation_is_released(tmp_path, release_timeout):
    async def test():
        settings = customer_settings(release_timeout, reservations=True)
        async with gated_deployment(tmp_path, settings, ONE_OF_EACH) as deployment:
            deployment["r1"].finish.clear()
            deployment["w1"].inbound.clear()  # The endpoint is partitioned: the reservation call is delayed.
            async with client(deployment.router):
                await deployment.until_sent("POST /v1/holds", "w1")
            await asyncio.sleep(2)
            deployment["w1"].inbound.set()
            await deployment.until_leased("r1")
            assert await deployment.record.final_violations() == []

    run(test())
