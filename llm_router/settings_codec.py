"""Reads the routing policy's settings; the one table of the names that deployments use for them."""

from __future__ import annotations

from llm_router.field_codec import Fields, at_index, choice, flag, given, listed, number, text, ticks, whole
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

CLASS_FIELDS = {
    "priority_weight": ("worth", number),
    "late_weight": ("late_worth", number),
    "deduplication_scope": (
        "group",
        lambda fields, key: choice(fields, key, {group.value: group for group in DeduplicationScope}),
    ),
    "deduplication_window": ("window", ticks),
}
TENANT_FIELDS = {"capacity_share": ("share", number), "requests_per_second": ("quota_per_s", number)}
SETTING_FIELDS = {
    "router_count": ("balancers", whole),
    "router_index": ("position", whole),
    "zone": ("my_zone", text),
    "timer_resolution": ("tick", ticks),
    "over_quota_weight": ("over_share_worth", number),
    "max_attempts": ("allowed.attempts_cap", whole),
    "may_cancel": ("allowed.cancel", flag),
    "hedging": ("allowed.second_copies", flag),
    "load_probes": ("allowed.probes", flag),
    "gossip": ("allowed.may_tell", flag),
    "retry_after": ("allowed.retry_after", flag),
    "max_retry_after": ("allowed.max_retry_after", ticks),
    "reservations": ("family_info.ahead", flag),
    "stream_migration": ("family_info.resume", flag),
    "append_prefill": ("family_info.local_read", flag),
    "release_timeout": ("family_info.release_within", ticks),
    "transfer_price": ("family_info.transfer_price", number),
    "must_subscribe": ("discovery", lambda fields, key: choice(fields, key, {"ask": True, "push": False})),
    "probe_price": ("prices.probe", number),
    "answer_grace": ("rules.answer_slack", ticks),
    "drain_grace": ("rules.drain_grace", ticks),
    "slow_start_window": ("rules.cold", ticks),
    "slow_start_share": ("rules.cold_share", number),
    "overload_factor": ("rules.overload_factor", number),
    "overload_window": ("rules.fall", ticks),
}


def part(fields: Fields, path: str) -> Fields:
    """Give the settings below a path."""
    return {name[len(path) :]: value for name, value in fields.items() if name.startswith(path)}


def class_settings(fields: Fields, index: int) -> ClassSettings:
    """Translate one class of requests."""
    own = part(fields, f"lanes.{index}.")
    key = "family_info.token_aim"
    extra = given(at_index(fields, key, index), {"token_interval": (key, ticks)})
    key = "family_info.aim_us_per_1000_prompt_tokens"
    if stretch := at_index(fields, key, index):
        extra["objective_per_1000_tokens"] = round(number(stretch, key) * 1000)
    extra |= given(own, CLASS_FIELDS)
    times = ticks(own, "target"), ticks(own, "hard_limit")
    return ClassSettings(text(own, "name"), *times, choice(own, "idempotency", IDEMPOTENCY), **extra)


def kind_settings(fields: Fields, name: str, index: int) -> KindSettings:
    """Translate one kind of server."""
    duty = at_index(fields, "family_info.duty_by_kind", index)
    role = choice(duty, "family_info.duty_by_kind", ROLES)
    key = "family_info.memory_tokens"
    return KindSettings(name, role, **given(at_index(fields, key, index), {"memory_tokens": (key, ticks)}))


def tenant_settings(fields: Fields, index: int) -> TenantSettings:
    """Translate one tenant."""
    own = part(fields, f"projects.{index}.")
    return TenantSettings(text(own, "name"), **given(own, TENANT_FIELDS))


def count(fields: Fields, name: str) -> range:
    """Give the indices of a list of objects; an absent list is empty."""
    return range(whole(fields, name)) if name in fields else range(0)


def read_settings(fields: Fields) -> Settings:
    """Translate what an instance is told at start."""
    return Settings(
        kinds=tuple(kind_settings(fields, name, index) for index, name in enumerate(listed(fields, "kinds"))),
        classes=tuple(class_settings(fields, index) for index in count(fields, "lanes.count")),
        tenants=tuple(tenant_settings(fields, index) for index in count(fields, "projects.count")),
        **given(fields, SETTING_FIELDS),
    )
