"""Parses the TOML configuration of a standalone router, which serves KServe v2 beside one application."""

from __future__ import annotations

import tomllib
from datetime import timedelta
from pathlib import Path

from llm_router.configuration.common import read_limits, read_policy_settings
from llm_router.configuration.schema import ConfigurationError, RouterConfig, XdsFiles
from llm_router.configuration.section import Section


def standalone_configuration(path: Path) -> RouterConfig:
    """Return the checked configuration in a file; paths in the file are relative to its folder.

    Raise ConfigurationError for an unreadable file or for the first invalid key."""
    try:
        root = Section(tomllib.loads(path.read_text()))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigurationError(f"{path.name}: {error}") from None
    xds = root.section("xds", required=True)
    settings = root.section("settings", required=True)
    upstream = root.section("upstream")
    idempotency = root.section("ledger")
    return RouterConfig(
        name=root.text("name"),
        listen=root.host_and_port("listen"),
        settings=read_policy_settings(settings),
        seed=root.seed("seed"),
        limits=read_limits(root.section("limits")),
        connect_timeout=_milliseconds(upstream, "connect_timeout_ms", default=250),
        idle_timeout=_milliseconds(upstream, "idle_ms", default=15_000),
        idempotency_capacity=idempotency.integer("ids", default=50_000, minimum=1),
        idempotency_retention=timedelta(seconds=idempotency.integer("keep_s", default=600, minimum=1)),
        xds_files=XdsFiles(path.parent / xds.text("clusters"), path.parent / xds.text("endpoints")),
    )


def _milliseconds(section: Section, key: str, default: int) -> timedelta:
    """Return the duration that a key gives in milliseconds."""
    return timedelta(milliseconds=section.integer(key, default=default, minimum=1))
