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
from llm_router.transport.discovery import Discovery
from llm_router.transport.frontend_server import FrontendServer
from llm_router.transport.pool import DISCOVERY_SOCKETS, RELEASE_SOCKETS, ConnectionPool
from llm_router.transport.runtime import Runtime
from llm_router.transport.supervisor import Supervisor
from llm_router.xds.watch import XdsFileWatch

GARBAGE_COLLECTION_INTERVAL = timedelta(seconds=10)  # each collection takes 5 to 8 ms


class Frontend(Protocol):
    """What the service needs of a front end."""

    @property
    def server(self) -> FrontendServer:
        """The server that listens for clients."""

    @property
    def runtimes(self) -> list[Runtime]:
        """The runtimes that have requests out."""


class EndpointWatch(Protocol):
    """A source of endpoint lists; its text names where they come from."""

    async def watch(self) -> None:
        """Pass on changes until cancelled."""

    def reconfigured(self, config: RouterConfig) -> Self:
        """Return the watch of a reloaded configuration; raise ConfigurationError if it cannot be used."""


@dataclass(slots=True, frozen=True)
class ServiceParts:
    """What a service is put together of for its protocol."""

    frontend: Frontend
    endpoint_watch: EndpointWatch
    pools: tuple[ConnectionPool, ...]  # which are closed at the end


class StartError(Exception):
    """A router instance cannot listen at its address; the message names the address and the reason."""


class RouterService:
    """One running router instance: its front end, its endpoint watch and its connections.

    Make it on the event loop that it is to run on. `reload_config` reads the configuration for a reload."""

    def __init__(self, config: RouterConfig, reload_config: Callable[[], RouterConfig]) -> None:
        self.config, self.reload_config = config, reload_config
        self.pool = ConnectionPool(config, config.limits.upstream_sockets, RELEASE_SOCKETS)
        parts = build_parts(config, self.pool)
        self.frontend, self.endpoint_watch, self.pools = parts.frontend, parts.endpoint_watch, parts.pools
        self.watch_supervisor = Supervisor("watch", self.endpoint_watch.watch)

    async def run(self) -> None:
        """Serve until a signal asks for the shutdown, and then until all accepted requests are answered.

        Raise StartError where it cannot listen."""
        stop_requested = asyncio.Event()
        # First, as the server may have accepted a request from its start on.
        signals.install(stop_requested.set, self.reload)
        try:
            await self._start()
        except OSError as error:
            await self._close()
            raise StartError(f"{self.config.listen}: {error}") from error
        garbage_collector = Supervisor("tidy", collect_garbage)
        await stop_requested.wait()
        await self._drain()
        garbage_collector.stop()
        await self._close()
        log.emit("stopped")

    async def _start(self) -> None:
        """Start to listen."""
        await self.frontend.server.start()
        gc.collect()
        gc.freeze()  # what lives as long as the process need not be visited by each collection
        log.emit("started", name=self.config.name, listen=str(self.config.listen), pid=os.getpid())

    async def _drain(self) -> None:
        """Answer what was accepted, and release what endpoints hold for it."""
        log.emit("stopping", open=self.frontend.server.open_requests)
        await self.frontend.server.shut_down()
        for runtime in self.frontend.runtimes:
            await runtime.wait_until_idle()

    async def _close(self) -> None:
        """End the watch and close the connections."""
        signals.ignore_reload()
        self.watch_supervisor.stop()
        for pool in self.pools:
            await pool.close()

    def reload(self) -> None:
        """Load the configuration again and put in force what a reload may change.

        A configuration that cannot be used changes nothing. The watch is always made anew: it must not stay
        with an address that discovery has left."""
        try:
            new = self.reload_config()
            endpoint_watch = self.endpoint_watch.reconfigured(new)
        except ConfigurationError as error:
            log.emit("configuration_reload_failed", error=str(error))
            return
        self._replace_watch(endpoint_watch)
        self.frontend.server.apply_limits(new.limits)
        self.pool.socket_budget.max_sockets = new.limits.upstream_sockets
        waiting = self.config.changes_requiring_restart(new)
        self.config = replace(self.config, **{name: getattr(new, name) for name in RELOADED_FIELDS})
        log.emit("configuration_reloaded", watch=str(endpoint_watch), at_next_start=waiting)

    def _replace_watch(self, endpoint_watch: EndpointWatch) -> None:
        """Stop the running watch and start another."""
        self.watch_supervisor.stop()
        self.endpoint_watch = endpoint_watch
        self.watch_supervisor = Supervisor("watch", endpoint_watch.watch)


def build_parts(config: RouterConfig, pool: ConnectionPool) -> ServiceParts:
    """Return the parts for the protocol that the configuration asks for.

    Raise ConfigurationError if the endpoints that are known at the start are malformed."""
    if config.xds_files is not None:
        return build_kserve(config, config.xds_files, pool)
    assert config.discovery is not None, "the platform's configuration requires it"
    return build_platform(config, config.discovery, pool)


def build_platform(
    config: RouterConfig, discovery_address: HostAndPort, pool: ConnectionPool
) -> ServiceParts:
    """Return the parts that serve the platform's protocol."""
    runtime = Runtime(config, pool, reservation_path, LOAD_REPORT_PATH, parse_load_probe)
    # Discovery has sockets of its own: requests must not take the last one, so that no list comes any more.
    discovery_pool = ConnectionPool(config, DISCOVERY_SOCKETS)
    discovery = Discovery(discovery_pool, str(discovery_address), read_list, runtime.feed)
    if config.initial_endpoints.get("endpoints"):
        try:
            discovery.accept_list({**config.initial_endpoints, "snapshot": True})
        except ValueError as error:
            raise ConfigurationError(f"known: {error}") from None
    return ServiceParts(PlatformFrontend(config, runtime), discovery, (pool, discovery_pool))


def build_kserve(config: RouterConfig, files: XdsFiles, pool: ConnectionPool) -> ServiceParts:
    """Return the parts that serve KServe v2."""
    frontend = KServeFrontend(config, pool)
    watch = XdsFileWatch(files, frontend.feed)
    watch.load()
    return ServiceParts(frontend, watch, (pool,))


async def collect_garbage() -> None:
    """Collect garbage now and then: closed connections are tied in cycles and stay in memory until then."""
    while True:
        await asyncio.sleep(GARBAGE_COLLECTION_INTERVAL.total_seconds())
        gc.collect()


async def serve(config: RouterConfig, reload_config: Callable[[], RouterConfig]) -> None:
    """Run a router instance on the current event loop."""
    asyncio.get_running_loop().set_exception_handler(_log_event_loop_error)
    await RouterService(config, reload_config).run()


def _log_event_loop_error(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an error that no task or callback of ours has handled."""
    error = repr(context.get("exception"))
    log.emit_rate_limited("event_loop_error", text=context["message"], error=error)
