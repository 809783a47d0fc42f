"""Interprets endpoints' responses in the platform's protocol."""

from __future__ import annotations

import re
from collections.abc import Mapping

from llm_router.frontends.platform.load_report import parse_load_report
from llm_router.frontends.platform.names import LOAD_REPORT, NOT_PROCESSED, NOT_PROCESSED_TRUE
from llm_router.routing.events import NO_REPORT, AttemptStatus
from llm_router.transport.frontend_protocol import ResponseHead, ResponseTail

# HTTP statuses for the start of an event stream, a finished prefill, and KV state that the endpoint lacks.
STREAM, PREFILLED, STATE_MISSING = 200, 202, 410
# With these statuses an endpoint may state that it did not process the request.
NOT_PROCESSED_STATUSES = (STATE_MISSING, 503, 504)
CACHED_TOKENS = re.compile(rb'"cached_tokens"\s*:\s*(\d{1,9})')
# An event stream carries a load report in a comment line.
LOAD_REPORT_LINE = re.compile(
    rb"^: ?" + LOAD_REPORT.encode() + rb": ?([^\r\n]*)", re.MULTILINE | re.IGNORECASE
)


def parse_head(status: int, headers: Mapping[str, str], body: bytes) -> ResponseHead:
    """Interpret the status, headers and short body of a response.

    A failed request counts as run unless the endpoint states that it was not processed."""
    load_report = parse_load_report(headers.get(LOAD_REPORT, ""))
    if status == STREAM:
        return ResponseHead(None, load_report=load_report)
    if status == PREFILLED:
        cached_tokens = parse_cached_tokens(body)
        return ResponseHead(AttemptStatus.PREFILLED, cached_tokens=cached_tokens, load_report=load_report)
    if headers.get(NOT_PROCESSED) == NOT_PROCESSED_TRUE and status in NOT_PROCESSED_STATUSES:
        state_missing = status == STATE_MISSING
        return ResponseHead(AttemptStatus.OVERLOADED, state_missing=state_missing, load_report=load_report)
    return ResponseHead(AttemptStatus.ERROR, load_report=load_report)


def parse_tail(tail: bytes) -> ResponseTail:
    """Return the cached tokens and the load report in the last bytes of an event stream."""
    reports = LOAD_REPORT_LINE.findall(tail)
    load_report = parse_load_report(reports[-1].decode("latin-1")) if reports else NO_REPORT
    return ResponseTail(parse_cached_tokens(tail), load_report)


def parse_cached_tokens(data: bytes) -> int:
    """Return the number of cached prompt tokens in the last usage object of the data, or 0 without one."""
    counts = CACHED_TOKENS.findall(data)
    return int(counts[-1]) if counts else 0
