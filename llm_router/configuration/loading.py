"""Loads the configuration from the file that the command line or the environment names."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import orjson

from llm_router.configuration.platform import platform_configuration
from llm_router.configuration.schema import RELOADED_FIELDS, ConfigurationError, RouterConfig
from llm_router.configuration.standalone import standalone_configuration

CONFIGURATION_FILE = "EDGE_CONFIG"
OVERRIDES = {"name": "EDGE_NAME", "listen": "EDGE_LISTEN", "discovery": "EDGE_DISCOVERY"}


def load_configuration(
    environ: Mapping[str, str], standalone_file: Path | None = None, *, is_reload: bool = False
) -> RouterConfig:
    """Return the configuration from a standalone file if one is given, else from the platform's file.

    Environment variables override keys of the platform's file. A reload ignores them for reloadable keys: the
    environment dates from the process start and would hide a new discovery address in the file.
    Raise ConfigurationError for an unreadable file or an invalid key."""
    if standalone_file is not None:
        return standalone_configuration(standalone_file)
    values = _read_platform_file(environ)
    for key, variable in OVERRIDES.items():
        if environ.get(variable) and not (is_reload and key in RELOADED_FIELDS):
            values[key] = environ[variable]
    return platform_configuration(values)


def _read_platform_file(environ: Mapping[str, str]) -> dict[str, object]:
    """Return the JSON object in the configuration file that the environment names."""
    try:
        values = orjson.loads(Path(environ.get(CONFIGURATION_FILE, "")).read_bytes())
    except (OSError, orjson.JSONDecodeError) as error:
        raise ConfigurationError(f"{CONFIGURATION_FILE}: {error}") from None
    if not isinstance(values, dict):
        raise ConfigurationError(f"{CONFIGURATION_FILE}: must be an object")
    return values
