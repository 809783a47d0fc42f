"""Parses the endpoint list that discovery sends as JSON.

A malformed entry does not invalidate the others. The router uses the readable fields of a malformed entry, so
that it does not miss that an endpoint is draining."""

from __future__ import annotations

import re
from collections.abc import Mapping
from math import isfinite
from typing import Any

from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.events import EndpointListReceived
from llm_router.lifecycle.start_times import parse_start_time
from llm_router.routing.events import EndpointStatus

STATUSES = {
    "Ready": EndpointStatus.READY,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.REMOVED,
}
# An endpoint whose status is unknown to the router gets no new requests.
UNKNOWN_STATUS = EndpointStatus.DRAINING
ADDRESS = re.compile(r"(?:[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]):(\d{1,5})")
PORTS = range(1, 65536)
MAX_REPORTED = 10  # maximum number of malformed fields and entries in one log line


class MalformedEntryError(ValueError):
    """Raised for an endpoint list entry without a readable name or status."""


def read_list(answer: Mapping[str, Any]) -> EndpointListReceived:
    """Return the endpoint list in discovery's answer; raise ValueError if none of its entries can be read."""
    entries = answer.get("endpoints")
    if not isinstance(entries, list):
        raise ValueError("the endpoint list is malformed: endpoints must be a list")
    endpoints: list[Endpoint] = []
    malformed: list[str] = []
    for index, entry in enumerate(entries):
        try:
            endpoints.append(_read_entry(entry, malformed))
        except MalformedEntryError as error:
            malformed.append(f"endpoints.{index}: {error}")
    if entries and not endpoints:
        raise ValueError(f"the endpoint list is malformed: {malformed[0]}")
    is_full = bool(answer.get("snapshot"))
    return EndpointListReceived(tuple(endpoints), is_full, malformed=tuple(malformed[:MAX_REPORTED]))


def _read_entry(entry: object, malformed: list[str]) -> Endpoint:
    """Return the endpoint that an entry describes.

    A malformed field gets its default value and is reported in `malformed`."""
    if not isinstance(entry, dict):
        raise MalformedEntryError("must be an object")
    name, status = entry.get("name"), entry.get("status")
    if not isinstance(name, str) or not name:
        raise MalformedEntryError("name must be a non-empty string")
    if not isinstance(status, str):
        raise MalformedEntryError(f"status of {name} must be a string")
    fields = _EntryFields(name, entry, malformed)
    start_ms = fields.start_ms()
    address = fields.address()
    kind = fields.text("type")
    zone = fields.text("zone")
    cell = fields.number("group", default=0)
    weight = fields.number("weight", default=1.0)
    return Endpoint(
        name=name,
        address=address,
        zone=zone,
        kind=kind,
        cell=int(cell),
        status=STATUSES.get(status, UNKNOWN_STATUS),
        weight=float(weight),
        started_at=parse_start_time(start_ms),
    )


class _EntryFields:
    """Reads the fields of one endpoint list entry, and reports the malformed ones in a list."""

    def __init__(self, name: str, entry: Mapping[str, Any], malformed: list[str]) -> None:
        self._name, self._entry, self._malformed = name, entry, malformed

    def text(self, key: str) -> str:
        """Return a string field; report any other type and return an empty string."""
        value = self._entry.get(key)
        if isinstance(value, str):
            return value
        self._report(key, value)
        return ""

    def number(self, key: str, default: float) -> float:
        """Return a finite number; report any other value and return the default."""
        value: object = self._entry.get(key, default)
        if isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value):
            return value
        self._report(key, value)
        return default

    def address(self) -> str:
        """Return the endpoint's HOST:PORT; report a malformed address and return an empty string."""
        address = self.text("address")
        if not isinstance(self._entry.get("address"), str) or _is_address(address):
            return address
        self._report("address", address)
        return ""

    def start_ms(self) -> object:
        """Return the start time as received, and report a malformed start time.

        `parse_start_time` treats a malformed start time as a start at the present moment."""
        value: object = self._entry.get("since_ms", 0)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            self._report("since_ms", value)
        return value

    def _report(self, key: str, value: object) -> None:
        """Add a malformed field and its value to the reported problems."""
        self._malformed.append(f"{self._name}.{key}: {value!r}")


def _is_address(text: str) -> bool:
    """Return whether a string has the form HOST:PORT."""
    match = ADDRESS.fullmatch(text)
    return match is not None and int(match[1]) in PORTS
