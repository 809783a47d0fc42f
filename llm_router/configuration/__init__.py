"""Loads the configuration of a router instance.

`schema` defines the types, and `section` reads and checks single keys. `platform` and `standalone` each parse
one file format and share `common`. `loading` selects the format."""

from llm_router.configuration.loading import load_configuration
from llm_router.configuration.platform import platform_configuration
from llm_router.configuration.schema import (
    MAX_BODY_BYTES,
    ConfigurationError,
    HostAndPort,
    ResourceLimits,
    RouterConfig,
    XdsFiles,
)
from llm_router.configuration.standalone import standalone_configuration

__all__ = [
    "MAX_BODY_BYTES",
    "ConfigurationError",
    "HostAndPort",
    "ResourceLimits",
    "RouterConfig",
    "XdsFiles",
    "load_configuration",
    "platform_configuration",
    "standalone_configuration",
]
