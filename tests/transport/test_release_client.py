"""Tests of release calls: cancellation, and the sockets reserved for them."""

import asyncio
from datetime import timedelta

from stand_ins import hang, within

from llm_router.frontends.platform import reservation_path
from llm_router.lifecycle import effects
from llm_router.lifecycle.events import ReleaseCallEnded
from llm_router.transport.background_tasks import BackgroundTasks
from llm_router.transport.pool import UpstreamCall
from llm_router.transport.release_client import ReleaseClient

ACCEPTED_AT = timedelta(seconds=1)


def endpoint_named(runtime, name):
    return next(each for each in runtime.state.endpoints.values() if each.name == name)


def test_a_cancelled_release_call_closes_its_connection_and_feeds_no_event(runtime_with_endpoints):
    called = asyncio.Event()

    async def silent(_call, _writer):
        called.set()
        await asyncio.Event().wait()

    async def test():
        async with runtime_with_endpoints(prefill=silent) as deployment:
            fed = []
            client = ReleaseClient(deployment.runtime.pool, reservation_path, BackgroundTasks(), fed.append)
            endpoint = endpoint_named(deployment.runtime, "r1")
            client.start(effects.Release("q", ACCEPTED_AT, 0, endpoint))
            await within(called.wait())
            ((release,),) = client.running.values()
            client.cancel(effects.CancelReleases("q"))
            await within(asyncio.wait({release}))
            await within(deployment.prefill.closed.get())
            assert release.cancelled() and not client.running and fed == []

    asyncio.run(test())


def test_a_release_call_gets_a_socket_while_attempts_use_all_other_sockets(runtime_with_endpoints):
    async def test():
        limits = {"sockets": 64, "memory_mb": 96}
        async with runtime_with_endpoints(prefill=hang, limits=limits) as deployment:
            pool, busy = deployment.runtime.pool, deployment.prefill
            attempt = UpstreamCall("POST", busy.address, "/")
            tasks = [asyncio.ensure_future(pool.call(attempt, timedelta(seconds=9))) for _ in range(40)]
            await busy.wait_for("POST", 20)
            fed = asyncio.Queue()
            client = ReleaseClient(pool, reservation_path, BackgroundTasks(), fed.put_nowait)
            client.start(effects.Release("q", ACCEPTED_AT, 0, endpoint_named(deployment.runtime, "w1")))
            assert await within(fed.get()) == ReleaseCallEnded("q", ACCEPTED_AT, 0, acknowledged=True)
            pool.connector.drop_idle()
            pool.socket_budget.max_sockets = len(busy.open)
            client.start(effects.Release("q", ACCEPTED_AT, 1, endpoint_named(deployment.runtime, "w1")))
            assert await within(fed.get()) == ReleaseCallEnded(
                "q", ACCEPTED_AT, 1, acknowledged=False, failed_locally=True
            ), "no socket is free"
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)

    asyncio.run(test())
