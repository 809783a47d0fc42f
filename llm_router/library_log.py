"""Passes the log records of libraries on to the program's own log."""

from __future__ import annotations

import logging

from llm_router import log


class LibraryLogHandler(logging.Handler):
    """Logs each record of a library as the event `library`."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record; logging calls this method by its name."""
        try:
            text = record.getMessage()
        except (TypeError, ValueError):  # the library's format and its arguments do not fit
            text = str(record.msg)
        error = record.exc_info and repr(record.exc_info[1])
        log.emit("library", logger=record.name, level=record.levelname, text=text, error=error)


def install() -> None:
    """Log the warnings and errors of all libraries."""
    logging.basicConfig(level=logging.WARNING, handlers=[LibraryLogHandler()])
