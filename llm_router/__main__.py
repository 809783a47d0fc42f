"""Starts one conductor: `python -m llm_router`, or with a file of ours for the v2 front."""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import os
import sys
from collections.abc import Callable
from dataclasses import fields, replace
from datetime import timedelta
from pathlib import Path

from llm_router import configuration, log, xds
from llm_router.configuration import ConfigurationError, RouterConfig
from llm_router.frontends import kserve, platform, registry_list
from llm_router.transport import signals
from llm_router.transport.discovery import Discovery
from llm_router.transport.event_loop import TimedEventLoop
from llm_router.transport.pool import DISCOVERY_SOCKETS, RELEASE_SOCKETS, ConnectionPool
from llm_router.transport.runtime import Runtime
from llm_router.transport.supervisor import Supervisor

TIDY = timedelta(seconds=10)  # between collections of garbage, which take 5 to 8 ms


class RouterService:
    """One conductor at work: its front, its watch and what a reload changes."""

    def __init__(self, config: RouterConfig, again: Callable[[], RouterConfig]) -> None:
        self.config, self.again = config, again
        self.pool = ConnectionPool(config, config.limits.upstream_sockets, RELEASE_SOCKETS)
        self.pools = [self.pool]
        self.front, self.watch = self.beside() if config.xds_files else self.on_platform()
        self.watching = Supervisor("watch", self.watch.watch)

    def on_platform(self) -> tuple[platform.Platform, Discovery]:
        """Put the platform's front and its discovery together."""
        config = self.config
        runtime = Runtime(config, self.pool, platform.reservation_path, platform.STATS, platform.read_report)
        # Guards against requests that take the last descriptor, so that no list comes any more.
        self.pools.append(agent := ConnectionPool(config, DISCOVERY_SOCKETS))
        watch = Discovery(agent, "{}:{}".format(*config.discovery), registry_list.read_list, runtime.feed)
        if config.initial_endpoints.get("endpoints"):
            try:
                watch.accept_list({**config.initial_endpoints, "snapshot": True})
            except ValueError as error:
                raise ConfigurationError(f"known: {error}") from None
        return platform.Platform(config, runtime), watch

    def beside(self) -> tuple[kserve.KServe, xds.Files]:
        """Put the v2 front and its files together; at the start they must be whole."""
        front = kserve.KServe(self.config, self.pool)
        watch = xds.Files(*self.config.xds_files, front.feed)
        if broken := watch.look():
            raise ConfigurationError(broken)
        return front, watch

    def reload(self) -> None:
        """Read the configuration anew; README tells what each key does. A bad one changes nothing.

        Guards against a watch that stays with an address that discovery has left."""
        try:
            new = self.again()
            watch = self.watch.moved(new)
        except ConfigurationError as error:
            log.emit("configuration_reload_failed", error=str(error))
            return
        self.watching.stop()
        self.watch, self.watching = watch, Supervisor("watch", watch.watch)
        self.front.server.apply_limits(new.limits)
        self.pool.socket_budget.max_sockets = new.limits.upstream_sockets
        known = (*configuration.RELOADED, *configuration.IGNORED)
        wait = [
            name
            for name in (field.name for field in fields(new))
            if name not in known and getattr(self.config, name) != getattr(new, name)
        ]
        self.config = replace(self.config, **{name: getattr(new, name) for name in configuration.RELOADED})
        log.emit("configuration_reloaded", watch=str(watch), at_next_start=wait)

    async def tidy(self) -> None:
        """Guard against closed connections that stay in memory, tied in cycles, till a full collection."""
        while True:
            await asyncio.sleep(TIDY.total_seconds())
            gc.collect()

    async def serve(self) -> None:
        """Serve until a signal asks for the end, and then to the end of what was taken."""
        stop = asyncio.Event()
        signals.install(stop.set, self.reload)  # first: from its start on the server may have taken a request
        await self.front.server.start()
        gc.collect()
        gc.freeze()  # what lives from the start to the end need not be looked at again and again
        log.emit(
            "started", name=self.config.name, listen="{}:{}".format(*self.config.listen), pid=os.getpid()
        )
        tidying = Supervisor("tidy", self.tidy)
        await stop.wait()
        log.emit("stopping", open=self.front.server.open_requests)
        await self.front.server.shut_down()
        for runtime in self.front.runtimes:
            await runtime.wait_until_idle()
        signals.ignore_reload()
        tidying.stop()
        self.watching.stop()
        for pool in self.pools:
            await pool.close()
        log.emit("stopped")


async def serve(config: RouterConfig, again: Callable[[], RouterConfig]) -> None:
    """Serve to the end."""
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, told: log.emit_rate_limited(
            "event_loop_error", text=told["message"], error=repr(told.get("exception"))
        )
    )
    await RouterService(config, again).serve()


def main(arguments: list[str]) -> int:
    """Read the configuration and serve."""
    log.occupy_standard_streams()
    logging.basicConfig(level=logging.WARNING, handlers=[log.Lines()])
    parser = argparse.ArgumentParser(prog="llm_router", description="One router instance.")
    parser.add_argument("file", nargs="?", type=Path, help="serve KServe v2 as this file says")
    file = parser.parse_args(arguments).file
    signals.ignore_reload()
    try:
        config = configuration.load_configuration(os.environ, file)
        with asyncio.Runner(loop_factory=TimedEventLoop) as runner:
            runner.run(serve(config, lambda: configuration.load_configuration(os.environ, file, again=True)))
    except ConfigurationError as error:
        log.emit("configuration_invalid", error=str(error))
        return 2
    finally:
        log.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
