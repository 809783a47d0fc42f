"""Loads the configuration that the command line and the environment name."""

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
    """Return the standalone file's configuration where one is given, the platform's otherwise.

    Raise ConfigurationError for what cannot be read. A reload takes its reloadable keys from the file alone:
    the environment is as old as the process, and must not hide the file's new address of discovery."""
    if standalone_file is not None:
        return standalone_configuration(standalone_file)
    values = _read_platform_file(environ)
    for key, variable in OVERRIDES.items():
        if environ.get(variable) and not (is_reload and key in RELOADED_FIELDS):
            values[key] = environ[variable]
    return platform_configuration(values)


def _read_platform_file(environ: Mapping[str, str]) -> dict[str, object]:
    """Return the object in the file that the environment names."""
    try:
        values = orjson.loads(Path(environ.get(CONFIGURATION_FILE, "")).read_bytes())
    except (OSError, orjson.JSONDecodeError) as error:
        raise ConfigurationError(f"{CONFIGURATION_FILE}: {error}") from None
    if not isinstance(values, dict):
        raise ConfigurationError(f"{CONFIGURATION_FILE}: must be an object")
    return values
