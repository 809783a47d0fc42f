"""Parses the headers of client requests in the platform's protocol."""

from __future__ import annotations

import re
from collections.abc import Mapping
from datetime import timedelta

from llm_router.frontends.platform.names import (
    FACTS,
    REQUEST_ID,
    RESUMED,
    RETRY,
    SERVICE_CLASS,
    SESSION,
    TIME_REMAINING_MS,
)
from llm_router.frontends.request_handling import (
    MAX_KEY_LENGTH,
    InvalidRequestError,
    subtract_response_margin,
)
from llm_router.lifecycle.events import RequestReceived
from llm_router.routing.settings import ClassSettings, Idempotency

REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9_.:-]{1,128}")
MAX_DIGITS = 9  # maximum number of digits of a whole number in a header


def parse_request(headers: Mapping[str, str], classes: Mapping[str, ClassSettings]) -> RequestReceived:
    """Return the request event that the headers describe; `classes` has the settings by class name.

    Raise InvalidRequestError for the first invalid header."""
    request_id = headers.get(REQUEST_ID, "")
    if not REQUEST_ID_PATTERN.fullmatch(request_id):
        raise InvalidRequestError(f"{REQUEST_ID}: is missing or malformed")
    class_name = headers.get(SERVICE_CLASS, "")
    if class_name not in classes:
        raise InvalidRequestError(f"{SERVICE_CLASS}: is not a known class")
    time_remaining = _time_remaining(headers)
    facts = _facts(headers)
    prompt_tokens = _token_count(facts, "prompt_len")
    prefix_tokens = _token_count({"prefix_len": "0", **facts}, "prefix_len")
    max_output_tokens = _token_count(facts, "max_out")
    session = _key(SESSION, headers.get(SESSION, ""))
    prefix = _key(f"{FACTS}: prefix", facts.get("prefix", ""))
    retry = headers.get(RETRY)
    may_run_twice = classes[class_name].idempotency is Idempotency.SAFE
    return RequestReceived(
        request_id=request_id,
        class_name=class_name,
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output_tokens,
        time_remaining=subtract_response_margin(time_remaining),
        session=session,
        prefix=prefix,
        prefix_tokens=prefix_tokens,
        is_retry=retry is not None and retry != RESUMED,
        resumed=retry == RESUMED,
        idempotency_key=None if may_run_twice else request_id,
    )


def _time_remaining(headers: Mapping[str, str]) -> timedelta:
    """Return the client's time remaining, as stated in its header."""
    milliseconds = headers.get(TIME_REMAINING_MS, "")
    if not _is_integer(milliseconds):
        raise InvalidRequestError(f"{TIME_REMAINING_MS}: must be a whole number of milliseconds")
    return timedelta(milliseconds=int(milliseconds))


def _facts(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the values in the facts header by name, unparsed."""
    facts = {}
    for fact in headers.get(FACTS, "").split(","):
        name, _, value = fact.strip().partition("=")
        if name:
            facts[name] = value
    return facts


def _token_count(facts: Mapping[str, str], name: str) -> int:
    """Return a required number of tokens from the facts header."""
    value = facts.get(name, "")
    if not _is_integer(value):
        raise InvalidRequestError(f"{FACTS}: {name} must be a whole number")
    return int(value)


def _key(name: str, value: str) -> str | None:
    """Return a session or prefix key, or None for an empty one.

    Bytes of a header that are not valid UTF-8 arrive here as lone surrogates, which no key may contain."""
    if len(value) > MAX_KEY_LENGTH:
        raise InvalidRequestError(f"{name}: must have at most {MAX_KEY_LENGTH} characters")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise InvalidRequestError(f"{name}: must be valid UTF-8") from None
    return value or None


def _is_integer(text: str) -> bool:
    """Return whether a string is a whole number of at most `MAX_DIGITS` ASCII digits."""
    return text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
