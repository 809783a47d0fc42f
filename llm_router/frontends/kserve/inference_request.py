"""Reads a client's inference request."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any, TypeVar

import orjson

from llm_router.frontends.request_handling import MAX_KEY_LENGTH, InvalidRequestError, usable_time
from llm_router.lifecycle.events import RequestReceived
from llm_router.routing.settings import ClassSettings, Idempotency

# How many bytes of a body are JSON, where binary tensors follow.
INFERENCE_HEADER_LENGTH = "Inference-Header-Content-Length"
MAX_ID_LENGTH = 256
MAX_INTEGER = 10**9 - 1
MAX_TIME_REMAINING = timedelta(hours=1)
DEFAULT_MAX_OUTPUT_TOKENS = 256
BYTES_PER_TOKEN = 4  # about so many, to guess the length of a prompt that the client does not tell
NANOSECONDS_PER_MILLISECOND = 1_000_000

Value = TypeVar("Value")
Default = TypeVar("Default")


def parse_inference_header(headers: Mapping[str, str], body: bytes) -> dict[str, Any]:
    """Return the JSON object of a body that may go on with binary tensors.

    Raise InvalidRequestError for what is not one."""
    length = _inference_header_length(headers, body)
    try:
        value = orjson.loads(body[:length])
    except orjson.JSONDecodeError as error:
        raise InvalidRequestError(str(error)) from None
    if not isinstance(value, dict):
        raise InvalidRequestError("the body must be a JSON object")
    return value


def _inference_header_length(headers: Mapping[str, str], body: bytes) -> int:
    """Return how many bytes of a body are JSON: all, unless a header says otherwise."""
    text = headers.get(INFERENCE_HEADER_LENGTH, str(len(body)))
    try:
        length = int(text) if text.isascii() and text.isdecimal() else None
    except ValueError:  # more digits than Python reads
        length = None
    if length is None or length > len(body):
        raise InvalidRequestError(f"{INFERENCE_HEADER_LENGTH}: must be at most the body's length")
    return length


def parse_inference(
    request_id: str, inference: Mapping[str, Any], size: int, classes: Mapping[str, ClassSettings]
) -> RequestReceived:
    """Return the request that an inference of `size` bytes describes; the first class is the default.

    `request_id` is the router's own, as clients may use an id again. Raise InvalidRequestError for the first
    parameter at fault."""
    parameters = Parameters(inference.get("parameters", {}))
    if not isinstance(inference.get("inputs"), list):
        raise InvalidRequestError("inputs: must be a list")
    class_name = parameters.text("service_class", next(iter(classes)))
    if class_name not in classes:
        raise InvalidRequestError("parameters.service_class: is not a class of this service")
    request_class = classes[class_name]
    idempotency_key = _idempotency_key(inference.get("id"), request_class)
    deadline_ms = request_class.deadline // NANOSECONDS_PER_MILLISECOND
    time_remaining = timedelta(milliseconds=parameters.integer("time_left_ms", deadline_ms))
    return RequestReceived(
        request_id=request_id,
        class_name=class_name,
        prompt_tokens=parameters.integer("prompt_len", size // BYTES_PER_TOKEN),
        max_output_tokens=parameters.integer("max_out", DEFAULT_MAX_OUTPUT_TOKENS),
        time_remaining=usable_time(min(time_remaining, MAX_TIME_REMAINING)),
        session=parameters.text("session", None),
        prefix=parameters.text("prefix", None),
        prefix_tokens=parameters.integer("prefix_len", 0),
        is_retry=parameters.boolean("repeat", False),
        idempotency_key=idempotency_key,
    )


def _idempotency_key(client_id: object, request_class: ClassSettings) -> str | None:
    """Return the id under which a request may run once, None where it may run any number of times."""
    if client_id is None:
        if request_class.idempotency is Idempotency.SAFE:
            return None
        reason = f"requests of the class {request_class.name} must not run twice"
        raise InvalidRequestError(f"id: is needed, as {reason}")
    if not isinstance(client_id, str) or not 0 < len(client_id) <= MAX_ID_LENGTH:
        raise InvalidRequestError(f"id: must be a text of 1 to {MAX_ID_LENGTH} characters")
    return None if request_class.idempotency is Idempotency.SAFE else client_id


class Parameters:
    """The parameters of an inference request; every read raises InvalidRequestError for a wrong type."""

    def __init__(self, values: object) -> None:
        if not isinstance(values, dict):
            raise InvalidRequestError("parameters: must be an object")
        self.values = values

    def text(self, name: str, default: Default) -> str | Default:
        """Return a text of bounded length, or the default."""
        value = self._read(name, str, default)
        if name in self.values and isinstance(value, str) and len(value) > MAX_KEY_LENGTH:
            raise InvalidRequestError(f"parameters.{name}: is at most {MAX_KEY_LENGTH} characters")
        return value

    def integer(self, name: str, default: int) -> int:
        """Return a whole number from 0 on, or the default."""
        value = self._read(name, int, default)
        if name in self.values and not 0 <= value <= MAX_INTEGER:
            raise InvalidRequestError(f"parameters.{name}: is out of range")
        return value

    def boolean(self, name: str, default: bool) -> bool:
        """Return a truth value, or the default."""
        return self._read(name, bool, default)

    def _read(self, name: str, kind: type[Value], default: Default) -> Value | Default:
        """Return a parameter of a JSON type, or the default."""
        value: Any = self.values.get(name, default)
        if value is default:
            return default
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise InvalidRequestError(f"parameters.{name}: must be of the type {kind.__name__}")
        return value
