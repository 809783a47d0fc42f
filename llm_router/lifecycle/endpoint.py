"""An endpoint as discovery describes it."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from llm_router.routing.events import EndpointStatus

NO_START_TIME = timedelta()  # the start of an endpoint that discovery gives no start time for


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A model server as discovery lists it.

    `started_at` is by the wall clock of discovery's machine. `address` and `kind` are empty where the entry
    is malformed there."""

    name: str
    address: str
    zone: str
    kind: str
    cell: int
    status: EndpointStatus
    weight: float = 1.0
    started_at: timedelta = NO_START_TIME
