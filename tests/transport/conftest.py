"""Fixtures for tests that run the transport in the test process."""

from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest
from reducer_harness import start
from stand_ins import SETTINGS, StandInServer, accept_release

from llm_router.configuration import platform_configuration
from llm_router.transport.runtime import Runtime


@dataclass(frozen=True)
class RuntimeWithEndpoints:
    """A runtime with one prefill and one decode endpoint."""

    runtime: Runtime
    prefill: StandInServer
    decode: StandInServer


@pytest.fixture
def runtime_with_endpoints():
    """Return an async context manager for a runtime, whose configuration gets the given `changes`."""

    @asynccontextmanager
    async def running(prefill=accept_release, decode=accept_release, **changes):
        async with (
            StandInServer(prefill) as prefill_endpoint,
            StandInServer(decode) as decode_endpoint,
        ):
            runtime = start(prefill_endpoint, decode_endpoint, **changes)
            try:
                yield RuntimeWithEndpoints(runtime, prefill_endpoint, decode_endpoint)
            finally:
                await runtime.pool.close()

    return running


@pytest.fixture
def configuration():
    """Return a function that creates a configuration with the given changes."""

    def make(**changes):
        addresses = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1"}
        return platform_configuration({"name": "n", **addresses, "settings": SETTINGS, **changes})

    return make


@pytest.fixture
def never_blocked(monkeypatch):
    """Raise the threshold above which a poll counts as blocked, so that a busy host cannot reach it."""
    monkeypatch.setattr("llm_router.transport.event_loop.BLOCKED_THRESHOLD", 60.0)
