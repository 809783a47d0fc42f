"""Reads endpoints' load reports, which are written as `name=value` pairs joined by commas."""

from __future__ import annotations

from contextlib import suppress
from math import isfinite

from llm_router.load_gauges import report_from_gauges
from llm_router.routing.events import LoadReport


def parse_load_report(text: str) -> LoadReport:
    """Return the report; a gauge that is not a finite number is left out."""
    gauges: dict[str, float] = {}
    for gauge in text.split(","):
        name, _, value = gauge.strip().partition("=")
        with suppress(ValueError):
            number = float(value)
            if isfinite(number):
                gauges[name] = number
    return report_from_gauges(gauges)


def parse_load_probe(body: bytes) -> LoadReport:
    """Return the report in the response to a load probe."""
    return parse_load_report(body.decode("latin-1"))
