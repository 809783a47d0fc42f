"""Check that KV state and reservations are released in time if endpoint responses are lost or delayed.

A router leaves KV state or a reservation leased if it starts a release only after a response, or if it stops
its release calls too early."""

import asyncio

import pytest
from gated_deployment import gated_deployment
from stand_ins import FACTS, SETTINGS, chat_request, registry_entry, run

MS = 1_000_000  # nanoseconds
RELEASE_TIMEOUTS = [60 * MS, 400 * MS]
ONE_OF_EACH = {"r1": "prefill", "w1": "decode"}
UNACKNOWLEDGED_TIME = 6.0  # seconds; a release with a limited number of calls ends after about 5.4 s
# Seconds of partition before the client disconnects.
# After that time without a response, the router assumes that the close of an attempt may arrive late.
PARTITION_BEFORE_DISCONNECT = 0.2
SHORT_PARTITION_BEFORE_DISCONNECT = 0.02  # seconds; the attempt is given up before its silence is noticed
PARTITION_AFTER_DISCONNECT = 1.5  # seconds of partition after the client has disconnected
# Milliseconds that a client waits. Its class must not be repeated, so the decode attempt lasts as long.
LONG_TIME_REMAINING = 9000


def customer_settings(release_timeout, reservations):
    """Return settings with a release timeout in nanoseconds, with or without reservations."""
    family = {"ahead": reservations, "release_within": release_timeout}
    return {**SETTINGS, "family_info": {**SETTINGS["family_info"], **family}}


def test_a_release_without_acknowledgement_is_retried_for_seconds(tmp_path):
    """Keep release calls unacknowledged while a decode attempt claims the KV state, then acknowledge them.

    A router with a limited number of release calls spends all of them during the attempt, and the KV state
    stays leased. The report says: "when the attempt is given up 5.7 s after the prefill, and endpoints
    acknowledge again, no release is made any more"."""

    async def test():
        settings = customer_settings(300 * MS, reservations=False)
        async with gated_deployment(tmp_path, settings, ONE_OF_EACH) as deployment:
            deployment["w1"].finish.clear()
            for endpoint in deployment.endpoints.values():
                endpoint.answers_releases = False
            _, writer = await deployment.router.connect()
            writer.write(
                chat_request("r1", cls="booking", time_remaining_ms=LONG_TIME_REMAINING, facts=FACTS)
            )
            await deployment.record.wait_until(lambda: deployment.record.of("r1").decodes)
            await asyncio.sleep(UNACKNOWLEDGED_TIME)
            for endpoint in deployment.endpoints.values():
                endpoint.answers_releases = True
            writer.close()
            assert await deployment.record.final_violations() == []

    run(test())


async def answer_no_reservation(deployment):
    """Make the decode endpoint leave every reservation call unanswered."""
    deployment["w1"].answers_reservations = False


async def answer_first_reservation(deployment):
    """Make the decode endpoint answer only its first reservation call, which finds no prefill in flight."""
    await deployment.until_called("w1", "POST /v1/holds")
    deployment["w1"].answers_reservations = False


async def drain_after_first_reservation(deployment):
    """Drain the decode endpoint after its first reservation call, so that it gets no second one."""
    await deployment.until_called("w1", "POST /v1/holds")
    draining = registry_entry("w1", deployment["w1"].address, "decode", "Terminating")
    await deployment.router.discovery.publish([draining])


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
@pytest.mark.parametrize(
    "answers", [answer_no_reservation, answer_first_reservation, drain_after_first_reservation]
)
def test_a_reservation_for_a_prefill_that_is_never_read_is_released(tmp_path, release_timeout, answers):
    """Let the host of the prefill endpoint accept the attempt's bytes while its process never reads them.

    The report shows such a prefill as "bytes 5.255 to 5.262, taken -". A router that starts a release only
    after an answer to the reservation call leaves the reservation leased, because no answer says whether the
    reservation was made."""

    async def test():
        settings = customer_settings(release_timeout, reservations=True)
        async with gated_deployment(tmp_path, settings, ONE_OF_EACH) as deployment:
            deployment["r1"].inbound.clear()
            if answers is answer_no_reservation:
                await answers(deployment)
            _, writer = await deployment.router.connect()
            writer.write(chat_request("r1", facts=FACTS))
            if answers is not answer_no_reservation:
                await answers(deployment)
            await deployment.until_leased("r1")
            assert await deployment.record.final_violations() == []
            deployment["r1"].inbound.set()
            writer.close()

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_kv_state_is_claimed_in_time_if_the_prefill_response_is_truncated(tmp_path, release_timeout):
    """Truncate the body of a prefill response with status 202 and keep the connection open.

    The head of the response already confirms the KV state. A router that waits for the end of the body sends
    the decode attempt after the release timeout. The report says:
    "202 with a cut body and an open connection: the decode attempt is sent 1.00 s later"."""

    async def test():
        settings = customer_settings(release_timeout, reservations=False)
        async with gated_deployment(tmp_path, settings, ONE_OF_EACH) as deployment:
            deployment["r1"].truncates_prefill_responses = True
            status_line, _, _ = await deployment.router.exchange(chat_request("r1", facts=FACTS))
            assert status_line.split()[1] == "200"
            assert await deployment.record.final_violations() == []

    run(test())


async def disconnect_during_partition(deployment, endpoint, partition_before=PARTITION_BEFORE_DISCONNECT):
    """Partition an endpoint while it processes the request `r1`, and disconnect the client.

    The partition lasts for `partition_before` seconds before the client disconnects."""
    endpoint.finish.clear()
    _, writer = await deployment.router.connect()
    writer.write(chat_request("r1", facts=FACTS))
    await deployment.until_called(endpoint.name, "POST /v1/chat")
    await deployment.record.wait_until(lambda: deployment.record.of("r1").has_attempt_in_flight)
    endpoint.inbound.clear()
    await asyncio.sleep(partition_before)
    writer.close()
    await asyncio.sleep(PARTITION_AFTER_DISCONNECT)


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_kv_state_is_released_if_the_close_of_the_decode_attempt_arrives_late(tmp_path, release_timeout):
    """Deliver the close of a cancelled decode attempt 1.5 s late, as after a partition.

    Until the close arrives, release calls do not free the KV state that the attempt claims. A router whose
    release calls end 0.2 s after the attempt leaves this KV state leased."""

    async def test():
        settings = customer_settings(release_timeout, reservations=False)
        async with gated_deployment(tmp_path, settings, ONE_OF_EACH) as deployment:
            await disconnect_during_partition(deployment, deployment["w1"])
            deployment["w1"].inbound.set()
            assert await deployment.record.final_violations() == []

    run(test())


@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_kv_state_is_released_if_the_prefill_completes_before_a_late_close(tmp_path, release_timeout):
    """Complete a cancelled prefill at a partitioned endpoint before the close of its connection arrives.

    A router whose release calls end too early leaves this KV state leased. The soak reports "KV state at p3
    leased for 1.331 s", counted from the end of the partition, after the attempt was cancelled."""

    async def test():
        settings = customer_settings(release_timeout, reservations=False)
        async with gated_deployment(tmp_path, settings, ONE_OF_EACH) as deployment:
            await disconnect_during_partition(deployment, deployment["r1"])
            deployment["r1"].finish.set()
            await deployment.until_leased("r1")
            assert await deployment.record.final_violations() == []
            deployment["r1"].inbound.set()

    run(test())


# Guards against KV state that stays leased because the attempt was too short to show a partition.
@pytest.mark.parametrize("release_timeout", RELEASE_TIMEOUTS)
def test_kv_state_is_released_if_a_client_leaves_just_after_a_partition_began(tmp_path, release_timeout):
    async def test():
        settings = customer_settings(release_timeout, reservations=False)
        async with gated_deployment(tmp_path, settings, ONE_OF_EACH) as deployment:
            await disconnect_during_partition(deployment, deployment["r1"], SHORT_PARTITION_BEFORE_DISCONNECT)
            deployment["r1"].finish.set()
            await deployment.until_leased("r1")
            assert await deployment.record.final_violations() == []
            deployment["r1"].inbound.set()

    run(test())
