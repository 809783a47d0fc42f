"""Parses the JSON configuration that the platform passes to a router instance."""

from __future__ import annotations

from datetime import timedelta

from llm_router.configuration.common import read_limits, read_policy_settings
from llm_router.configuration.schema import RouterConfig
from llm_router.configuration.section import Section

# Maximum number of request ids that are remembered, which take up to 350 bytes each.
# Clients use each id once, so a full memory forgets the oldest instead of rejecting new requests.
ID_CAPACITY = 10_000


def platform_configuration(values: dict[str, object]) -> RouterConfig:
    """Return the checked configuration; raise ConfigurationError for the first invalid key."""
    root = Section(values)
    settings = root.section("settings", required=True)
    allowed = settings.section("allowed")
    return RouterConfig(
        name=root.text("name"),
        listen=root.host_and_port("listen"),
        discovery=root.host_and_port("discovery"),
        settings=read_policy_settings(settings),
        seed=root.seed("seed"),
        limits=read_limits(root.section("limits")),
        initial_endpoints=root.section("known").values,
        connect_timeout=_nanoseconds(allowed, "connect_timeout", default=250_000_000),
        idle_timeout=_nanoseconds(allowed, "conn_idle", default=15_000_000_000),
        max_open_requests=allowed.integer("max_open", default=20_000, minimum=1),
        idempotency_capacity=ID_CAPACITY,
        forgets_oldest_key=True,
    )


def _nanoseconds(section: Section, key: str, default: int) -> timedelta:
    """Return the duration that a key gives in nanoseconds."""
    return timedelta(microseconds=section.integer(key, default=default, minimum=1) / 1000)
