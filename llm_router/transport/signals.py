"""Handles signals: SIGTERM and SIGINT stop the router, SIGHUP reloads its configuration."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable


def ignore_reload() -> None:
    """Ignore SIGHUP, whose default action ends the process, before and after the router serves."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def install(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Call `stop` or `reload` on the running event loop when a signal is received."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    # loop.add_signal_handler() is not used for SIGHUP, because the loop removes such handlers when it closes.
    # Without a handler, SIGHUP would end the process.
    signal.signal(signal.SIGHUP, lambda _number, _frame: loop.call_soon_threadsafe(reload))
