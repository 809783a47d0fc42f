"""Reads the routing policy's settings from fields under the names that deployments use."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from llm_router.field_codec import Fields, without_none
from llm_router.routing.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    KindSettings,
    Role,
    Settings,
    TenantSettings,
)

ROLES = {"read": Role.PREFILL, "write": Role.DECODE, "both": Role.MIXED}
IDEMPOTENCY = {"pure": Idempotency.SAFE, "token": Idempotency.KEYED, "side_effect": Idempotency.NONE}
DEDUPLICATION_SCOPES = {scope.value: scope for scope in DeduplicationScope}
MUST_SUBSCRIBE = {"ask": True, "push": False}

# Comma-separated lists. The first two have one item for each of `kinds`, the others one for each of `lanes`.
ROLE_BY_KIND = "family_info.duty_by_kind"
MEMORY_BY_KIND = "family_info.memory_tokens"
TOKEN_INTERVAL_BY_CLASS = "family_info.token_aim"
OBJECTIVE_PER_1000_BY_CLASS = "family_info.aim_us_per_1000_prompt_tokens"
NANOSECONDS_PER_MICROSECOND = 1000


def read_settings(fields: Fields) -> Settings:
    """Return the settings of a router instance.

    Raise FieldError if a field is malformed, and ValueError if a setting is invalid."""
    kinds = fields.items("kinds")
    return Settings(
        kinds=tuple(_read_kind(fields, name, index) for index, name in enumerate(kinds)),
        classes=tuple(_read_class(fields, index) for index in _indices(fields, "lanes.count")),
        tenants=tuple(_read_tenant(fields, index) for index in _indices(fields, "projects.count")),
        **_read_instance(fields),
        **_read_permissions(fields),
        **_read_endpoint_facts(fields),
        **_read_rules(fields),
    )


def _read_instance(fields: Fields) -> dict[str, Any]:
    """Return the settings of this router instance: its index, its zone and its timer resolution."""
    return without_none(
        router_count=fields.optional("balancers", fields.integer),
        router_index=fields.optional("position", fields.integer),
        zone=fields.optional("my_zone", fields.text),
        timer_resolution=fields.optional("tick", fields.rounded),
        over_quota_weight=fields.optional("over_share_worth", fields.number),
    )


def _read_permissions(fields: Fields) -> dict[str, Any]:
    """Return the settings that allow or limit actions of the policy, such as hedging and gossip."""
    return without_none(
        max_attempts=fields.optional("allowed.attempts_cap", fields.integer),
        may_cancel=fields.optional("allowed.cancel", fields.boolean),
        hedging=fields.optional("allowed.second_copies", fields.boolean),
        load_probes=fields.optional("allowed.probes", fields.boolean),
        gossip=fields.optional("allowed.may_tell", fields.boolean),
        retry_after=fields.optional("allowed.retry_after", fields.boolean),
        max_retry_after=fields.optional("allowed.max_retry_after", fields.rounded),
    )


def _read_endpoint_facts(fields: Fields) -> dict[str, Any]:
    """Return the settings about the features of the endpoints and about discovery."""
    return without_none(
        reservations=fields.optional("family_info.ahead", fields.boolean),
        stream_migration=fields.optional("family_info.resume", fields.boolean),
        append_prefill=fields.optional("family_info.local_read", fields.boolean),
        release_timeout=fields.optional("family_info.release_within", fields.rounded),
        transfer_price=fields.optional("family_info.transfer_price", fields.number),
        must_subscribe=fields.optional("discovery", lambda name: fields.choice(name, MUST_SUBSCRIBE)),
        probe_price=fields.optional("prices.probe", fields.number),
    )


def _read_rules(fields: Fields) -> dict[str, Any]:
    """Return the settings of the protocol's rules: grace times, slow start and overload."""
    return without_none(
        answer_grace=fields.optional("rules.answer_slack", fields.rounded),
        drain_grace=fields.optional("rules.drain_grace", fields.rounded),
        slow_start_window=fields.optional("rules.cold", fields.rounded),
        slow_start_share=fields.optional("rules.cold_share", fields.number),
        overload_factor=fields.optional("rules.overload_factor", fields.number),
        overload_window=fields.optional("rules.fall", fields.rounded),
    )


def _read_class(fields: Fields, index: int) -> ClassSettings:
    """Return the settings of the request class at an index."""
    interval = fields.item(TOKEN_INTERVAL_BY_CLASS, index)
    token_interval = interval.optional(TOKEN_INTERVAL_BY_CLASS, interval.rounded)
    objective_per_1000_tokens = _read_objective_per_1000_tokens(fields, index)
    own = fields.with_prefix(f"lanes.{index}.")
    optional = without_none(
        token_interval=token_interval,
        objective_per_1000_tokens=objective_per_1000_tokens,
        priority_weight=own.optional("worth", own.number),
        late_weight=own.optional("late_worth", own.number),
        deduplication_scope=own.optional("group", lambda name: own.choice(name, DEDUPLICATION_SCOPES)),
        deduplication_window=own.optional("window", own.rounded),
    )
    latency_objective = own.rounded("target")
    deadline = own.rounded("hard_limit")
    return ClassSettings(
        name=own.text("name"),
        latency_objective=latency_objective,
        deadline=deadline,
        idempotency=own.choice("idempotency", IDEMPOTENCY),
        **optional,
    )


def _read_objective_per_1000_tokens(fields: Fields, index: int) -> int | None:
    """Return the nanoseconds that each 1000 prompt tokens add to a class's latency objective."""
    item = fields.item(OBJECTIVE_PER_1000_BY_CLASS, index)
    if OBJECTIVE_PER_1000_BY_CLASS not in item:
        return None
    return round(item.number(OBJECTIVE_PER_1000_BY_CLASS) * NANOSECONDS_PER_MICROSECOND)


def _read_kind(fields: Fields, name: str, index: int) -> KindSettings:
    """Return the settings of a kind of endpoint."""
    role = fields.item(ROLE_BY_KIND, index).choice(ROLE_BY_KIND, ROLES)
    memory = fields.item(MEMORY_BY_KIND, index)
    return KindSettings(name, role, memory.optional(MEMORY_BY_KIND, memory.rounded))


def _read_tenant(fields: Fields, index: int) -> TenantSettings:
    """Return the settings of the tenant at an index."""
    own = fields.with_prefix(f"projects.{index}.")
    return TenantSettings(
        name=own.text("name"),
        capacity_share=own.optional("share", own.number),
        requests_per_second=own.optional("quota_per_s", own.number),
    )


def _indices(fields: Fields, count_name: str) -> Iterable[int]:
    """Return the indices of a list of objects, given the name of its count field.

    A list without that field is empty."""
    return range(fields.integer(count_name)) if count_name in fields else ()
