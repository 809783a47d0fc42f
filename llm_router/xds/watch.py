"""Watches a file of clusters and a file of endpoints for changes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

from llm_router import log
from llm_router.configuration import ConfigurationError, RouterConfig, XdsFiles
from llm_router.lifecycle.events import EndpointListReceived
from llm_router.xds.resources import XdsFileError, load_endpoint_lists

POLL_INTERVAL = timedelta(milliseconds=200)  # a drain must count within 1 s
EMPTY_LIST = EndpointListReceived((), is_full=True)

ListListener = Callable[[str, EndpointListReceived], None]  # is given a cluster's name and its endpoint list


class FileVersion(NamedTuple):
    """What changes when a file does; a replaced file has another inode."""

    modified_ns: int
    size: int
    inode: int


class XdsFileWatch:
    """Polls two xDS files and passes on each cluster's endpoint list when it changes.

    While the files are invalid the last valid lists stay: an empty fleet would be worse than an old one."""

    def __init__(self, files: XdsFiles, listener: ListListener) -> None:
        self.files, self.listener = files, listener
        self._versions: list[FileVersion | None] | None = None  # of both files, when they were read last
        self._lists: Mapping[str, EndpointListReceived] = {}  # as passed on last
        self._checked_at: float | None = (
            None  # monotonic seconds of the last valid read, or check that found no change
        )

    def __str__(self) -> str:
        return ", ".join(file.name for file in self.files)

    def reconfigured(self, config: RouterConfig) -> XdsFileWatch:
        """Return the watch of a reloaded configuration, which knows what this one has passed on.

        Raise ConfigurationError if its files are invalid."""
        assert config.xds_files is not None, "the file that is loaded again is a standalone configuration"
        watch = XdsFileWatch(config.xds_files, self.listener)
        watch._lists, watch._checked_at = self._lists, self._checked_at
        watch.load()
        return watch

    def load(self) -> None:
        """Read the files, which must be valid; raise ConfigurationError if they are not."""
        try:
            self._poll()
        except XdsFileError as error:
            raise ConfigurationError(str(error)) from None

    async def watch(self) -> None:
        """Poll the files until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL.total_seconds())
            try:
                self._poll()
            except XdsFileError:
                continue  # it is logged; the file is read again when it changes

    def _poll(self) -> None:
        """Read the files if they have changed since the last time, and pass on each list that has."""
        versions = [_file_version(file) for file in self.files]
        if versions == self._versions:
            self._checked_at = time.monotonic()
            return
        self._versions = versions
        try:
            lists = load_endpoint_lists(self.files)
        except XdsFileError as error:
            log.emit("xds_files_invalid", file=error.file.name, error=error.problem)
            raise
        for name in {*lists, *self._lists}:
            endpoint_list = lists.get(name, EMPTY_LIST)
            if self._lists.get(name) != endpoint_list:
                self.listener(name, replace(endpoint_list, since_last_answer=self._since_check()))
        self._lists, self._checked_at = lists, time.monotonic()

    def _since_check(self) -> timedelta | None:
        """Return how long ago the files were last checked, None before their first valid read."""
        return None if self._checked_at is None else timedelta(seconds=time.monotonic() - self._checked_at)


def _file_version(file: Path) -> FileVersion | None:
    """Return a file's version, None while it cannot be found."""
    try:
        stat = file.stat()
    except OSError:
        return None
    return FileVersion(stat.st_mtime_ns, stat.st_size, stat.st_ino)
