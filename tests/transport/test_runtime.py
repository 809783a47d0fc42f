"""Tests of the runtime in the test process, for cases that are rare in a running router."""

import asyncio
from datetime import timedelta

import pytest
from stand_ins import within

from llm_router.lifecycle import effects, reducer
from llm_router.lifecycle.events import ClientDisconnected, LoadReportReceived, RequestReceived
from llm_router.routing.events import AttemptStatus


def test_an_attempt_aborted_before_its_first_step_still_ends(runtime_with_endpoints):
    async def test():
        async with runtime_with_endpoints() as deployment:
            runtime = deployment.runtime
            runtime.proxied_requests["q"] = None
            runtime.feed(RequestReceived("q", "lookup", 100, 20, timedelta(seconds=3), session="s"))
            runtime.feed(ClientDisconnected("q"))
            await within(runtime.wait_until_idle())
            await deployment.prefill.wait_for("DELETE /v1/holds/q")
            assert not runtime.state.requests and not deployment.prefill.named("POST")

    asyncio.run(test())


def test_an_exception_in_one_event_does_not_drop_the_queued_events(monkeypatch, runtime_with_endpoints):
    async def test():
        async with runtime_with_endpoints() as deployment:
            runtime, handled = deployment.runtime, []

            def fails(_state, _now, _event):
                runtime.feed(ClientDisconnected("after"))  # is queued while the first event is handled
                raise RuntimeError("internal error of the router")

            def record(*_):
                handled.append("after")
                return ()

            monkeypatch.setitem(reducer.HANDLERS, LoadReportReceived, fails)
            monkeypatch.setitem(reducer.HANDLERS, ClientDisconnected, record)
            with pytest.raises(RuntimeError):
                runtime.feed(LoadReportReceived(1, AttemptStatus.OK, timedelta(), {}))
            assert handled == ["after"]

    asyncio.run(test())


# Guards against a final answer that is lost because another effect of its event fails.
def test_an_effect_that_fails_does_not_drop_the_other_effects_of_its_event(
    monkeypatch, runtime_with_endpoints
):
    async def test():
        async with runtime_with_endpoints() as deployment:
            runtime, logged = deployment.runtime, []
            failing = effects.SendFailure("q", "failed")
            resulting = (failing, effects.LogEvent("after", {}))
            monkeypatch.setitem(reducer.HANDLERS, ClientDisconnected, lambda *_: resulting)
            monkeypatch.setitem(runtime._handlers, effects.SendFailure, lambda _effect: 1 / 0)
            monkeypatch.setitem(runtime._handlers, effects.LogEvent, logged.append)
            with pytest.raises(ZeroDivisionError):
                runtime.feed(ClientDisconnected("q"))
            assert logged == [resulting[1]]

    asyncio.run(test())
