"""Watches the xDS file of clusters and the xDS file of endpoints for changes."""

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

# A drain in the files must take effect within 1 s.
POLL_INTERVAL = timedelta(milliseconds=200)
EMPTY_LIST = EndpointListReceived((), is_full=True)

# A callback that receives the name of a cluster and its endpoint list.
EndpointListCallback = Callable[[str, EndpointListReceived], None]


class FileVersion(NamedTuple):
    """File metadata that shows whether a file was changed; a replaced file has another inode."""

    modified_ns: int
    size: int
    inode: int


class XdsFileWatch:
    """Polls two xDS files and calls a callback with each endpoint list that changed.

    While the files are invalid, the last valid lists stay in use: with empty lists the router could serve no
    request."""

    def __init__(self, files: XdsFiles, callback: EndpointListCallback) -> None:
        self.files, self.callback = files, callback
        # Versions of both files when they were last read.
        self._versions: list[FileVersion | None] | None = None
        self._lists: Mapping[str, EndpointListReceived] = {}  # Last valid list of each cluster.
        # Monotonic time in seconds of the last valid read, or of the last check that found no change.
        self._checked_at: float | None = None

    def __str__(self) -> str:
        return ", ".join(file.name for file in self.files)

    def reconfigured(self, config: RouterConfig) -> XdsFileWatch:
        """Return a watch for a reloaded configuration; it starts with the endpoint lists of this watch.

        Raise ConfigurationError if the new files are invalid."""
        assert config.xds_files is not None, "a standalone configuration has xds_files"
        watch = XdsFileWatch(config.xds_files, self.callback)
        watch._lists, watch._checked_at = self._lists, self._checked_at
        watch.load()
        return watch

    def load(self) -> None:
        """Read the files; raise ConfigurationError if they are invalid."""
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
                continue  # `_poll` has logged the error, and reads the files again when they change.

    def _poll(self) -> None:
        """Read the files if they have changed, and call the callback with each changed endpoint list."""
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
                self.callback(name, replace(endpoint_list, since_last_answer=self._time_since_check()))
        self._lists, self._checked_at = lists, time.monotonic()

    def _time_since_check(self) -> timedelta | None:
        """Return the time since the last check of the files, or None before the first valid read."""
        return None if self._checked_at is None else timedelta(seconds=time.monotonic() - self._checked_at)


def _file_version(file: Path) -> FileVersion | None:
    """Return a file's version, or None if the file is not accessible."""
    try:
        stat = file.stat()
    except OSError:
        return None
    return FileVersion(stat.st_mtime_ns, stat.st_size, stat.st_ino)
