"""Maps request paths to the operations of the KServe v2 protocol."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, auto

MODEL_PATH = re.compile(r"/v2/models/([^/]+)(?:/versions/[^/]+)?(/ready|/infer)?")


class Operation(Enum):
    """An operation of the KServe v2 protocol."""

    SERVER_METADATA = auto()
    SERVER_LIVE = auto()
    SERVER_READY = auto()
    MODEL_METADATA = auto()
    MODEL_READY = auto()
    INFER = auto()

    @property
    def method(self) -> str:
        """The only HTTP method that the operation supports."""
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
    """An operation and its model; `model` is None if the operation concerns the whole server."""

    operation: Operation
    model: str | None = None


def find_route(path: str) -> Route | None:
    """Return the route of a path, or None for an unknown path."""
    if path in SERVER_OPERATIONS:
        return Route(SERVER_OPERATIONS[path])
    match = MODEL_PATH.fullmatch(path)
    if match is None:
        return None
    return Route(MODEL_OPERATIONS[match[2]], match[1])
