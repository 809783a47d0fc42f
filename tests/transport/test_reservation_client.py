"""Tests that a reservation call is not written once its prefill has ended or its endpoint drains."""

import asyncio
from dataclasses import replace
from datetime import timedelta

from reducer_harness import endpoint
from stand_ins import hang, within

from llm_router.frontends.platform import reservation_path
from llm_router.lifecycle import effects, events
from llm_router.lifecycle.attempt import Attempt
from llm_router.lifecycle.events import ReservationOutcome
from llm_router.lifecycle.send_guard import Denial, check_reserve
from llm_router.routing.events import EndpointStatus
from llm_router.transport.reservation_client import ReservationClient
from llm_router.transport.running_attempts import RunningAttempt


def written_prefill():
    """Return a running prefill attempt whose request has been written."""
    attempt = RunningAttempt(asyncio.get_running_loop().create_future(), asyncio.Event())
    attempt.written.set()
    return attempt


def test_a_reservation_call_is_cancelled_if_the_prefill_ends_before_it_is_written():
    class SlowPool:
        """A connection pool whose connections open once the event `up` is set."""

        def __init__(self):
            self.up, self.calls, self.written = asyncio.Event(), 0, 0

        async def call(self, call, _timeout):
            self.calls += 1
            await self.up.wait()
            call.written.set()
            self.written += 1
            return 200

    async def test():
        pool, fed, prefill = SlowPool(), [], written_prefill()
        client = ReservationClient(pool, reservation_path, fed.append, lambda _: None)
        reserving = asyncio.ensure_future(
            client.run(effects.Reserve("q", 0, endpoint("w1", "decode")), prefill)
        )
        await asyncio.sleep(0)
        prefill.task.set_result(None)
        await within(reserving)
        assert fed == [events.ReservationEnded("q", 0, ReservationOutcome.NOT_MADE)]
        pool.up.set()
        await asyncio.sleep(0)
        assert (pool.calls, pool.written) == (1, 0)

    asyncio.run(test())


def test_a_reservation_is_checked_again_once_its_connection_is_open(runtime_with_endpoints):
    async def test():
        async with runtime_with_endpoints(decode=hang) as deployment:
            runtime = deployment.runtime
            runtime.proxied_requests["q"] = None
            runtime.state.policy.handle = lambda *_: []
            runtime.feed(events.RequestReceived("q", "lookup", 100, 20, timedelta(seconds=3), session="s"))
            prefill_attempt = Attempt(
                runtime.state.numbers["r1"], is_prefill=True, opened_at=timedelta(seconds=1)
            )
            runtime.state.requests["q"].attempts.append(prefill_attempt)
            (ready,) = [each for each in runtime.state.endpoints.values() if each.kind == "decode"]
            drained = replace(ready, status=EndpointStatus.DRAINING)
            runtime.state.endpoints[runtime.state.numbers[ready.name]] = drained
            fed = []
            client = ReservationClient(
                runtime.pool,
                reservation_path,
                fed.append,
                lambda effect: check_reserve(runtime.state, effect),
            )
            reserve = effects.Reserve("q", 0, ready)
            assert check_reserve(runtime.state, reserve) is Denial.ENDPOINT_NOT_READY
            await client.run(reserve, written_prefill())
            assert [each.outcome for each in fed] == [ReservationOutcome.NOT_MADE]
            assert not deployment.decode.calls

    asyncio.run(test())
