"""Parses KServe v2 inference requests from clients."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any, TypeVar

import orjson

from llm_router.frontends.request_handling import (
    MAX_KEY_LENGTH,
    InvalidRequestError,
    subtract_response_margin,
)
from llm_router.lifecycle.events import RequestReceived
from llm_router.routing.settings import ClassSettings, Idempotency

# This header gives the length in bytes of the JSON part of a body; binary tensors follow the JSON.
INFERENCE_HEADER_LENGTH = "Inference-Header-Content-Length"
MAX_ID_LENGTH = 256  # maximum number of characters in a request id
MAX_INTEGER = 10**9 - 1
MAX_TIME_REMAINING = timedelta(hours=1)
DEFAULT_MAX_OUTPUT_TOKENS = 256
# Approximate body bytes per token, to estimate the prompt length if the client does not state it.
BYTES_PER_TOKEN = 4
NANOSECONDS_PER_MILLISECOND = 1_000_000

Value = TypeVar("Value")
Default = TypeVar("Default")


def parse_inference_header(headers: Mapping[str, str], body: bytes) -> dict[str, Any]:
    """Return the JSON object at the start of a body, which binary tensors may follow.

    Raise InvalidRequestError if the body does not start with a JSON object."""
    length = _inference_header_length(headers, body)
    try:
        value = orjson.loads(body[:length])
    except orjson.JSONDecodeError as error:
        raise InvalidRequestError(str(error)) from None
    if not isinstance(value, dict):
        raise InvalidRequestError("the body must be a JSON object")
    return value


def _inference_header_length(headers: Mapping[str, str], body: bytes) -> int:
    """Return the length in bytes of a body's JSON part; without the header, the whole body is JSON."""
    text = headers.get(INFERENCE_HEADER_LENGTH, str(len(body)))
    try:
        length = int(text) if text.isascii() and text.isdecimal() else None
    except ValueError:  # The number has more digits than `int` accepts.
        length = None
    if length is None or length > len(body):
        raise InvalidRequestError(f"{INFERENCE_HEADER_LENGTH}: must be a whole number from 0 to {len(body)}")
    return length


def parse_inference(
    request_id: str, inference: Mapping[str, Any], size: int, classes: Mapping[str, ClassSettings]
) -> RequestReceived:
    """Return the request event for an inference request whose body has `size` bytes.

    The first class is the default. The router assigns `request_id`, because clients may reuse their ids.
    Raise InvalidRequestError for the first invalid parameter."""
    parameters = Parameters(inference.get("parameters", {}))
    if not isinstance(inference.get("inputs"), list):
        raise InvalidRequestError("inputs: must be a list")
    class_name = parameters.text("service_class", next(iter(classes)))
    if class_name not in classes:
        raise InvalidRequestError("parameters.service_class: is not a known class")
    request_class = classes[class_name]
    idempotency_key = _idempotency_key(inference.get("id"), request_class)
    deadline_ms = request_class.deadline // NANOSECONDS_PER_MILLISECOND
    time_remaining = timedelta(milliseconds=parameters.integer("time_left_ms", deadline_ms))
    return RequestReceived(
        request_id=request_id,
        class_name=class_name,
        prompt_tokens=parameters.integer("prompt_len", size // BYTES_PER_TOKEN),
        max_output_tokens=parameters.integer("max_out", DEFAULT_MAX_OUTPUT_TOKENS),
        time_remaining=subtract_response_margin(min(time_remaining, MAX_TIME_REMAINING)),
        session=parameters.text("session", None),
        prefix=parameters.text("prefix", None),
        prefix_tokens=parameters.integer("prefix_len", 0),
        is_retry=parameters.boolean("repeat", False),
        idempotency_key=idempotency_key,
    )


def _idempotency_key(client_id: object, request_class: ClassSettings) -> str | None:
    """Return the client's id as the idempotency key, or None if the request may run any number of times."""
    if client_id is None:
        if request_class.idempotency is Idempotency.SAFE:
            return None
        reason = f"requests of class {request_class.name} must not run twice"
        raise InvalidRequestError(f"id: is required because {reason}")
    if not isinstance(client_id, str) or not 0 < len(client_id) <= MAX_ID_LENGTH:
        raise InvalidRequestError(f"id: must be a string of 1 to {MAX_ID_LENGTH} characters")
    return None if request_class.idempotency is Idempotency.SAFE else client_id


class Parameters:
    """The parameters of an inference request; reads raise InvalidRequestError for a wrong type."""

    def __init__(self, values: object) -> None:
        if not isinstance(values, dict):
            raise InvalidRequestError("parameters: must be an object")
        self.values = values

    def text(self, name: str, default: Default) -> str | Default:
        """Return a string parameter of limited length, or the default if the parameter is absent."""
        value = self._read(name, str, default)
        if name in self.values and isinstance(value, str) and len(value) > MAX_KEY_LENGTH:
            raise InvalidRequestError(f"parameters.{name}: must have at most {MAX_KEY_LENGTH} characters")
        return value

    def integer(self, name: str, default: int) -> int:
        """Return a whole number from 0 to `MAX_INTEGER`, or the default if the parameter is absent."""
        value = self._read(name, int, default)
        if name in self.values and not 0 <= value <= MAX_INTEGER:
            raise InvalidRequestError(f"parameters.{name}: must be between 0 and {MAX_INTEGER}, got {value}")
        return value

    def boolean(self, name: str, default: bool) -> bool:
        """Return a Boolean, or the default if the parameter is absent."""
        return self._read(name, bool, default)

    def _read(self, name: str, expected_type: type[Value], default: Default) -> Value | Default:
        """Return a parameter after a type check, or the default if the parameter is absent."""
        value: Any = self.values.get(name, default)
        if value is default:
            return default
        if not isinstance(value, expected_type) or (isinstance(value, bool) and expected_type is not bool):
            raise InvalidRequestError(f"parameters.{name}: must be of type {expected_type.__name__}")
        return value
