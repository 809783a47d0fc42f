"""Loads the configuration of a router instance.

`schema` has the types and `section` the checked reads; `platform` and `standalone` read one form of file each
with what stands in `common`, and `loading` chooses between them."""

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
