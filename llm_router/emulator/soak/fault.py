"""Define the type of a fault that a soak can inject."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Fault:
    """One kind of fault.

    `inject` takes the duration of the fault in seconds and returns when the fault has ended. It returns a
    description of the affected target, or None if no target was available."""

    name: str
    inject: Callable[[float], Awaitable[str | None]]
