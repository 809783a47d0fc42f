"""Runs one router instance from its start to an orderly shutdown."""

from __future__ import annotations

import asyncio
import gc
import os
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any, Protocol, Self

from llm_router import log
from llm_router.configuration import ConfigurationError, HostAndPort, RouterConfig, XdsFiles
from llm_router.configuration.schema import RELOADED_FIELDS
from llm_router.frontends.kserve import KServeFrontend
from llm_router.frontends.platform import (
    LOAD_REPORT_PATH,
    PlatformFrontend,
    parse_load_probe,
    reservation_path,
)
from llm_router.frontends.registry_list import read_list
from llm_router.transport import signals
from llm_router.transport.clock import to_seconds
from llm_router.transport.discovery import Discovery
from llm_router.transport.event_loop import take_longest_turn
from llm_router.transport.frontend_server import FrontendServer
from llm_router.transport.memory_budget import MemoryBudget
from llm_router.transport.pool import DISCOVERY_SOCKETS, RELEASE_SOCKETS, ConnectionPool
from llm_router.transport.runtime import Runtime
from llm_router.transport.supervisor import Supervisor
from llm_router.xds.watch import XdsFileWatch

GARBAGE_COLLECTION_INTERVAL = timedelta(seconds=10)  # Each collection blocks the event loop for 5 to 8 ms.
EVENT_LOOP_REPORT_INTERVAL = timedelta(seconds=5)
# A turn of the event loop that takes longer than this is logged: all clients wait meanwhile.
LONG_TURN = timedelta(milliseconds=50)


class Frontend(Protocol):
    """The interface of a frontend that the service uses."""

    @property
    def server(self) -> FrontendServer:
        """The server that listens for clients."""

    @property
    def runtimes(self) -> list[Runtime]:
        """The runtimes that send the frontend's requests to endpoints."""


class EndpointWatch(Protocol):
    """A source of endpoint lists; `str()` returns the name of the source."""

    async def watch(self) -> None:
        """Report changes of the endpoint list until cancelled."""

    def reconfigured(self, config: RouterConfig) -> Self:
        """Return the watch for a reloaded configuration; raise ConfigurationError if that is invalid."""


@dataclass(slots=True, frozen=True)
class ServiceParts:
    """The parts of a service that depend on its protocol."""

    frontend: Frontend
    endpoint_watch: EndpointWatch
    pools: tuple[ConnectionPool, ...]  # The service closes the pools when it ends.


class StartError(Exception):
    """A router instance cannot listen at its address; the message names the address and the reason."""


class RouterService:
    """One running router instance: its frontend, its endpoint watch and its connection pools.

    Create it on the event loop on which it runs. `reload_config` reads the configuration for a reload."""

    def __init__(self, config: RouterConfig, reload_config: Callable[[], RouterConfig]) -> None:
        self.config, self.reload_config = config, reload_config
        self.pool = ConnectionPool(config, config.limits.upstream_sockets, RELEASE_SOCKETS)
        self.memory = MemoryBudget(config.limits.peer_memory)
        parts = build_parts(config, self.pool, self.memory)
        self.frontend, self.endpoint_watch, self.pools = parts.frontend, parts.endpoint_watch, parts.pools
        self.watch_supervisor = Supervisor("watch", self.endpoint_watch.watch)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, and then until all accepted requests are answered.

        Raise StartError if the router cannot listen at its address."""
        stop_requested = asyncio.Event()
        # The signal handlers are installed first because the server accepts requests as soon as it starts.
        signals.install(stop_requested.set, self.reload)
        try:
            await self._start()
        except OSError as error:
            await self._close()
            raise StartError(f"{self.config.listen}: {error}") from error
        garbage_collector = Supervisor("tidy", collect_garbage)
        event_loop_monitor = Supervisor("event_loop", report_long_turns)
        await stop_requested.wait()
        await self._drain()
        garbage_collector.stop()
        event_loop_monitor.stop()
        await self._close()
        log.emit("stopped")

    async def _start(self) -> None:
        """Start the server, and exclude long-lived objects from garbage collection."""
        await self.frontend.server.start()
        gc.collect()
        gc.freeze()  # Collections then skip objects that live as long as the process.
        log.emit("started", name=self.config.name, listen=str(self.config.listen), pid=os.getpid())

    async def _drain(self) -> None:
        """Answer the accepted requests, and release their KV state and reservations."""
        log.emit("stopping", open=self.frontend.server.open_requests)
        await self.frontend.server.shut_down()
        for runtime in self.frontend.runtimes:
            await runtime.wait_until_idle()

    async def _close(self) -> None:
        """Stop the endpoint watch and close the connection pools."""
        signals.ignore_reload()
        self.watch_supervisor.stop()
        for pool in self.pools:
            await pool.close()

    def reload(self) -> None:
        """Load the configuration again, and apply the settings that a reload may change.

        An invalid configuration changes nothing. The endpoint watch is always replaced, because discovery may
        have moved to another address."""
        try:
            new = self.reload_config()
            endpoint_watch = self.endpoint_watch.reconfigured(new)
        except ConfigurationError as error:
            log.emit("configuration_reload_failed", error=str(error))
            return
        self._replace_watch(endpoint_watch)
        self.frontend.server.apply_limits(new.limits)
        self.memory.resize(new.limits.peer_memory)
        self.pool.socket_budget.max_sockets = new.limits.upstream_sockets
        pending_changes = self.config.changes_requiring_restart(new)
        self.config = replace(self.config, **{name: getattr(new, name) for name in RELOADED_FIELDS})
        log.emit("configuration_reloaded", watch=str(endpoint_watch), at_next_start=pending_changes)

    def _replace_watch(self, endpoint_watch: EndpointWatch) -> None:
        """Stop the running endpoint watch and start the given one."""
        self.watch_supervisor.stop()
        self.endpoint_watch = endpoint_watch
        self.watch_supervisor = Supervisor("watch", endpoint_watch.watch)


def build_parts(config: RouterConfig, pool: ConnectionPool, memory: MemoryBudget) -> ServiceParts:
    """Return the parts for the protocol that the configuration selects.

    Raise ConfigurationError if the initial endpoint list is malformed."""
    if config.xds_files is not None:
        return build_kserve(config, config.xds_files, pool, memory)
    assert config.discovery is not None, "a platform configuration has a discovery address"
    return build_platform(config, config.discovery, pool, memory)


def build_platform(
    config: RouterConfig, discovery_address: HostAndPort, pool: ConnectionPool, memory: MemoryBudget
) -> ServiceParts:
    """Return the parts of a service for the platform's protocol."""
    runtime = Runtime(config, pool, memory, reservation_path, LOAD_REPORT_PATH, parse_load_probe)
    # Discovery has its own sockets, so that requests cannot use up all of them and block list updates.
    discovery_pool = ConnectionPool(config, DISCOVERY_SOCKETS)
    discovery = Discovery(discovery_pool, str(discovery_address), read_list, runtime.feed)
    if config.initial_endpoints.get("endpoints"):
        try:
            discovery.accept_list({**config.initial_endpoints, "snapshot": True})
        except ValueError as error:
            raise ConfigurationError(f"known: {error}") from None
    return ServiceParts(PlatformFrontend(config, runtime, memory), discovery, (pool, discovery_pool))


def build_kserve(
    config: RouterConfig, files: XdsFiles, pool: ConnectionPool, memory: MemoryBudget
) -> ServiceParts:
    """Return the parts of a service for KServe v2."""
    frontend = KServeFrontend(config, pool, memory)
    watch = XdsFileWatch(files, frontend.feed)
    watch.load()
    return ServiceParts(frontend, watch, (pool,))


async def collect_garbage() -> None:
    """Run a garbage collection periodically, which frees closed connections in reference cycles."""
    while True:
        await asyncio.sleep(GARBAGE_COLLECTION_INTERVAL.total_seconds())
        gc.collect()


async def report_long_turns() -> None:
    """Log the longest turn of the event loop in each interval in which one exceeded LONG_TURN."""
    loop = asyncio.get_running_loop()
    take_longest_turn(loop)
    while True:
        await asyncio.sleep(to_seconds(EVENT_LOOP_REPORT_INTERVAL))
        longest = take_longest_turn(loop)
        if longest > to_seconds(LONG_TURN):
            log.emit("event_loop_delayed", longest_turn_ms=round(longest * 1000))


async def serve(config: RouterConfig, reload_config: Callable[[], RouterConfig]) -> None:
    """Run a router instance on the current event loop."""
    asyncio.get_running_loop().set_exception_handler(_log_event_loop_error)
    await RouterService(config, reload_config).run()


def _log_event_loop_error(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an error that no task or callback of the router has handled."""
    error = repr(context.get("exception"))
    log.emit_rate_limited("event_loop_error", text=context["message"], error=error)
