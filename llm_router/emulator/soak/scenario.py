"""Define the customer whose traffic and settings the soak uses."""

from __future__ import annotations

from typing import Any

from llm_router.emulator.oracle import Idempotency

SECOND = 1_000_000_000  # nanoseconds
CLASSES = {"lookup": Idempotency.SAFE, "booking": Idempotency.NONE}
DEADLINE = 4.0  # seconds
RELEASE_TIMEOUT = 0.3  # seconds
DRAIN_GRACE = 1.0  # seconds
SLOW_START_WINDOW = 3.0  # seconds
SLOW_START_SHARE = 0.3
OVERLOAD_FACTOR = 2.5
OVERLOAD_WINDOW = 1.0  # seconds


def class_settings(name: str, idempotency: Idempotency) -> dict[str, Any]:
    """Return the settings of one class of requests."""
    return {
        "name": name,
        "target": SECOND,
        "hard_limit": int(DEADLINE * SECOND),
        "idempotency": idempotency.value,
    }


def router_settings(router_count: int, position: int, reservations: bool) -> dict[str, Any]:
    """Return the settings of one router, in the form of the deploy file."""
    return {
        "kinds": ["prefill", "decode"],
        "tick": 2_000_000,
        "my_zone": "z",
        "balancers": router_count,
        "position": position,
        "lanes": [class_settings(name, idempotency) for name, idempotency in CLASSES.items()],
        "allowed": {
            "attempts_cap": 4,
            "cancel": True,
            "retry_after": True,
            "max_retry_after": SECOND,
            "connect_timeout": SECOND // 4,
            "conn_idle": 15 * SECOND,
        },
        "family_info": {
            "ahead": reservations,
            "local_read": False,
            "duty_by_kind": ["read", "write"],
            "release_within": int(RELEASE_TIMEOUT * SECOND),
            "memory_tokens": [200_000, 150_000],
        },
        "rules": {
            "drain_grace": int(DRAIN_GRACE * SECOND),
            "cold": int(SLOW_START_WINDOW * SECOND),
            "cold_share": SLOW_START_SHARE,
            "overload_factor": OVERLOAD_FACTOR,
            "fall": int(OVERLOAD_WINDOW * SECOND),
        },
    }
