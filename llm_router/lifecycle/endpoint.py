"""An endpoint as discovery describes it."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from llm_router.routing.events import EndpointStatus

NO_START_TIME = timedelta()  # marks the start time of an endpoint as unknown


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A model server as discovery lists it.

    `started_at` is on the wall clock of discovery's host. `address` and `kind` are empty if they are
    malformed in the list entry."""

    name: str
    address: str
    zone: str
    kind: str
    cell: int
    status: EndpointStatus
    weight: float = 1.0
    started_at: timedelta = NO_START_TIME
