"""Signal handling: SIGTERM or SIGINT stops the program, SIGHUP reloads the configuration."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable


def ignore_reload() -> None:
    """Ignore SIGHUP before the program serves and once it has stopped: its default ends the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def install(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Call `stop` or `reload` on the running event loop when a signal comes."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    # Not the loop's own handler, which restores the default, the process's end, when the loop closes.
    signal.signal(signal.SIGHUP, lambda _number, _frame: loop.call_soon_threadsafe(reload))
