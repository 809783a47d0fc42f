"""Marks requests that are rejected while they wait behind another one on their connection.

It uses private parts of the pinned aiohttp release, which `tests/transport/test_connections.py` checks."""

from __future__ import annotations

from collections import deque
from typing import Any

from aiohttp import HttpVersion11
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

# It takes the place of each rejected request in aiohttp's queue, so that the rejection comes in its turn.
REJECTED_MESSAGE = RawRequestMessage(
    method="POST",
    path="/",
    version=HttpVersion11,
    headers=CIMultiDictProxy(CIMultiDict()),
    raw_headers=(),
    should_close=False,
    compression=None,
    upgrade=False,
    chunked=False,
    url=URL("/"),
)
_REJECTED_REQUEST = (REJECTED_MESSAGE, EMPTY_PAYLOAD)


def is_rejected(message: object) -> bool:
    """Return whether a message from aiohttp's queue stands for a rejected request."""
    return message is REJECTED_MESSAGE


def last_is_rejected(messages: deque[Any]) -> bool:
    """Return whether the last request in aiohttp's queue was rejected."""
    return bool(messages) and is_rejected(messages[-1][0])


def reject_last(messages: deque[Any], is_handling: bool) -> RawRequestMessage | None:
    """Reject the last request in aiohttp's queue and return its message, or None if there is none to reject.

    The first request is not rejected unless another one is being handled, because its turn has come."""
    if not messages or (len(messages) == 1 and not is_handling):
        return None
    message, _ = messages[-1]
    if not isinstance(message, RawRequestMessage) or is_rejected(message):
        return None
    messages[-1] = _REJECTED_REQUEST
    return message
