"""Name a fault that a soak can inject."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Fault:
    """One kind of fault.

    `inject` takes the seconds that the fault lasts, runs until it is over, and returns what it hit, None
    where nothing was left to hit."""

    name: str
    inject: Callable[[float], Awaitable[str | None]]
