"""Forwards the log records of libraries to the router's log."""

from __future__ import annotations

import logging

from llm_router import log


class LibraryLogHandler(logging.Handler):
    """A logging handler that logs each record as the event `library`."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record of a library; `logging` calls this method."""
        try:
            text = record.getMessage()
        except (TypeError, ValueError):  # The format string does not match the arguments.
            text = str(record.msg)
        error = record.exc_info and repr(record.exc_info[1])
        log.emit("library", logger=record.name, level=record.levelname, text=text, error=error)


def install() -> None:
    """Forward the warnings and errors of all libraries to the log."""
    logging.basicConfig(level=logging.WARNING, handlers=[LibraryLogHandler()])
