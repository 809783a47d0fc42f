"""Maps request paths to the operations of the v2 protocol."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, auto

MODEL_PATH = re.compile(r"/v2/models/([^/]+)(?:/versions/[^/]+)?(/ready|/infer)?")


class Operation(Enum):
    """What a client asks for."""

    SERVER_METADATA = auto()
    SERVER_LIVE = auto()
    SERVER_READY = auto()
    MODEL_METADATA = auto()
    MODEL_READY = auto()
    INFER = auto()

    @property
    def method(self) -> str:
        """The only HTTP method that the operation has."""
        return "POST" if self is Operation.INFER else "GET"


SERVER_OPERATIONS = {
    "/v2": Operation.SERVER_METADATA,
    "/v2/": Operation.SERVER_METADATA,
    "/v2/health/live": Operation.SERVER_LIVE,
    "/v2/health/ready": Operation.SERVER_READY,
}
MODEL_OPERATIONS = {
    None: Operation.MODEL_METADATA,
    "/ready": Operation.MODEL_READY,
    "/infer": Operation.INFER,
}


@dataclass(slots=True, frozen=True)
class Route:
    """An operation, and the model that it is about; None for the server as a whole."""

    operation: Operation
    model: str | None = None


def find_route(path: str) -> Route | None:
    """Return the route of a path, None for an unknown one."""
    if path in SERVER_OPERATIONS:
        return Route(SERVER_OPERATIONS[path])
    match = MODEL_PATH.fullmatch(path)
    if match is None:
        return None
    return Route(MODEL_OPERATIONS[match[2]], match[1])
