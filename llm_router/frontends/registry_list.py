"""Discovery's list in the registry's JSON form. One entry that cannot be read does not spoil the others."""

from __future__ import annotations

import re
from math import isfinite

from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.events import EndpointListReceived
from llm_router.lifecycle.start_times import parse_start_time
from llm_router.routing.events import EndpointStatus

# A status that the protocol does not name gets nothing new.
STATES = {
    "Ready": EndpointStatus.READY,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.REMOVED,
}
ADDRESS = re.compile(r"(?:[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]):(\d{1,5})")
PORTS = range(1, 65536)
ODD_NAMED = 10  # entries that are named in a log line, at most


class EntryError(ValueError):
    """An entry of which not even the name and the status are told."""


def read_list(answer: dict) -> EndpointListReceived:
    """Translate a list; a ValueError tells that nothing of it can be read."""
    told = answer.get("endpoints")
    if not isinstance(told, list):
        raise ValueError("the list is malformed: endpoints must be a list")
    endpoints, odd = [], []
    for index, each in enumerate(told):
        try:
            endpoints.append(read_entry(each, odd))
        except EntryError as error:
            odd.append(f"endpoints.{index}: {error}")
    if told and not endpoints:
        raise ValueError(f"the list is malformed: {odd[0]}")
    return EndpointListReceived(
        tuple(endpoints), bool(answer.get("snapshot")), malformed=tuple(odd[:ODD_NAMED])
    )


def read_entry(told: object, odd: list[str]) -> Endpoint:
    """Translate an entry; what cannot be read of it is added to `odd`, and told as empty or unknown."""
    if not isinstance(told, dict):
        raise EntryError("is no object")
    name, status = told.get("name"), told.get("status")
    if not isinstance(name, str) or not name:
        raise EntryError("name is missing")
    if not isinstance(status, str):
        raise EntryError(f"status of {name} is missing")
    started = parse_start_time(since := told.get("since_ms", 0))
    if isinstance(since, bool) or not isinstance(since, int | float) or since < 0:
        odd.append(f"{name}.since_ms: {since!r}")
    address, kind, zone = (read_text(told, name, key, odd) for key in ("address", "type", "zone"))
    if isinstance(told.get("address"), str) and not is_address(address):
        odd.append(f"{name}.address: {address!r}")
        address = ""
    cell, weight = read_number(told, name, "group", 0, odd), read_number(told, name, "weight", 1.0, odd)
    state = STATES.get(status, EndpointStatus.DRAINING)
    return Endpoint(name, address, zone, kind, int(cell), state, float(weight), started)


def read_text(told: dict, name: str, key: str, odd: list[str]) -> str:
    """Give a text of an entry, empty where there is none."""
    value = told.get(key)
    if isinstance(value, str):
        return value
    odd.append(f"{name}.{key}: {value!r}")
    return ""


def read_number(told: dict, name: str, key: str, default: float, odd: list[str]) -> float:
    """Give a finite number of an entry, or its default."""
    value = told.get(key, default)
    if isinstance(value, int | float) and not isinstance(value, bool) and isfinite(value):
        return value
    odd.append(f"{name}.{key}: {value!r}")
    return default


def is_address(text: str) -> bool:
    """Tell whether a text is HOST:PORT."""
    found = ADDRESS.fullmatch(text)
    return found is not None and int(found[1]) in PORTS
