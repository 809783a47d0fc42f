"""Parses the sections that occur in both the platform's file and the standalone file."""

from __future__ import annotations

from collections.abc import Iterator

from llm_router.configuration.schema import MEGABYTE, ConfigurationError, ResourceLimits
from llm_router.configuration.section import Section
from llm_router.field_codec import FieldError, Fields
from llm_router.routing.settings import Settings
from llm_router.settings_codec import read_settings


def read_policy_settings(section: Section) -> Settings:
    """Return the routing policy's settings, which have the same names and units as in the simulator.

    Raise ConfigurationError for a malformed or inconsistent setting."""
    try:
        return read_settings(Fields(dict(flatten(section.values))))
    except (FieldError, ValueError) as error:
        raise ConfigurationError(f"{section.path}{error}") from None


def read_limits(section: Section) -> ResourceLimits:
    """Return the resource limits in a section, with defaults for absent keys."""
    return ResourceLimits(
        memory_bytes=section.integer("memory_mb", default=192, minimum=32) * MEGABYTE,
        sockets=section.integer("sockets", default=1024, minimum=64),
    )


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield nested settings as pairs of a dotted name and a string, the simulator's format.

    A list of objects becomes a `count` and one object for each index."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from flatten(item, f"{path}.{key}" if path else key)
    elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        yield f"{path}.count", str(len(value))
        for index, item in enumerate(value):
            yield from flatten(item, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(map(str, value))
    elif isinstance(value, bool):
        yield path, "1" if value else "0"
    elif value is not None:
        yield path, str(value)
