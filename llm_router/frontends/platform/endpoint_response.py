"""Reads what an endpoint's response means for the attempt."""

from __future__ import annotations

import re
from collections.abc import Mapping

from llm_router.frontends.platform.load_report import parse_load_report
from llm_router.frontends.platform.names import LOAD_REPORT, NOT_PROCESSED, NOT_PROCESSED_TRUE
from llm_router.routing.events import NO_REPORT, AttemptStatus
from llm_router.transport.frontend_protocol import ResponseHead, ResponseTail

STREAM, PREFILLED, STATE_MISSING = 200, 202, 410
NOT_PROCESSED_STATUSES = (STATE_MISSING, 503, 504)
CACHED_TOKENS = re.compile(rb'"cached_tokens"\s*:\s*(\d{1,9})')
LOAD_REPORT_LINE = re.compile(  # a comment of the event stream
    rb"^: ?" + LOAD_REPORT.encode() + rb": ?([^\r\n]*)", re.MULTILINE | re.IGNORECASE
)


def parse_head(status: int, headers: Mapping[str, str], body: bytes) -> ResponseHead:
    """Return what a response's head means; without the promise that it did not run, a request may have."""
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
    """Return what a stream's end says: the cached tokens, and a load report in a comment."""
    reports = LOAD_REPORT_LINE.findall(tail)
    load_report = parse_load_report(reports[-1].decode("latin-1")) if reports else NO_REPORT
    return ResponseTail(parse_cached_tokens(tail), load_report)


def parse_cached_tokens(data: bytes) -> int:
    """Return how many prompt tokens were cached, by the last usage in the data; 0 where there is none."""
    counts = CACHED_TOKENS.findall(data)
    return int(counts[-1]) if counts else 0
