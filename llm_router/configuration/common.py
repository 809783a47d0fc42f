"""Reads the sections that the platform's file and the standalone file have in common."""

from __future__ import annotations

from collections.abc import Iterator

from llm_router.configuration.schema import MEGABYTE, ConfigurationError, ResourceLimits
from llm_router.configuration.section import Section
from llm_router.field_codec import FieldError, Fields
from llm_router.routing.settings import Settings
from llm_router.settings_codec import read_settings


def read_policy_settings(section: Section) -> Settings:
    """Return the routing policy's settings, whose names and units are the simulator's.

    Raise ConfigurationError for a setting that cannot be read or is impossible."""
    try:
        return read_settings(Fields(dict(flatten(section.values))))
    except (FieldError, ValueError) as error:
        raise ConfigurationError(f"{section.path}{error}") from None


def read_limits(section: Section) -> ResourceLimits:
    """Return the resource limits."""
    return ResourceLimits(
        memory_bytes=section.integer("memory_mb", default=192, minimum=32) * MEGABYTE,
        sockets=section.integer("sockets", default=1024, minimum=64),
    )


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield the names and values of nested settings as the simulator writes them.

    An object's keys are joined by points; a list of objects is a `count` and an object for each index."""
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
