"""Starts one router instance: `python -m llm_router [FILE]`."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from pathlib import Path

from llm_router import library_log, log
from llm_router.configuration import ConfigurationError, RouterConfig, load_configuration
from llm_router.service import StartError, serve
from llm_router.transport import signals
from llm_router.transport.event_loop import TimedEventLoop

EXIT_START_FAILED = 1  # exit code if the router cannot listen at its address
EXIT_INVALID = 2  # exit code for an invalid configuration; the log names the key


def main(arguments: list[str]) -> int:
    """Load the configuration and serve; return the exit code.

    The exit code is 2 for an invalid configuration, 1 if the router cannot listen at its address, else 0."""
    log.occupy_standard_streams()
    library_log.install()
    standalone_file = _parse_arguments(arguments)
    signals.ignore_reload()

    def reload_config() -> RouterConfig:
        return load_configuration(os.environ, standalone_file, is_reload=True)

    try:
        config = load_configuration(os.environ, standalone_file)
        with asyncio.Runner(loop_factory=TimedEventLoop) as runner:
            runner.run(serve(config, reload_config))
    except ConfigurationError as error:
        log.emit("configuration_invalid", error=str(error))
        return EXIT_INVALID
    except StartError as error:
        log.emit("start_failed", error=str(error))
        return EXIT_START_FAILED
    finally:
        log.flush()
    return 0


def _parse_arguments(arguments: list[str]) -> Path | None:
    """Return the standalone configuration file, or None if the platform's configuration applies."""
    parser = argparse.ArgumentParser(prog="llm_router", description="One router instance.")
    parser.add_argument("file", nargs="?", type=Path, help="serve KServe v2 with this configuration file")
    file: Path | None = parser.parse_args(arguments).file
    return file


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
