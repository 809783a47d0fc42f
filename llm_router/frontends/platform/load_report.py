"""Parses load reports from endpoints, which are comma-separated `name=value` pairs."""

from __future__ import annotations

from contextlib import suppress

from llm_router.load_gauges import report_from_gauges
from llm_router.routing.events import LoadReport


def parse_load_report(text: str) -> LoadReport:
    """Return the load report; ignore a gauge whose value is not a number."""
    gauges: dict[str, float] = {}
    for gauge in text.split(","):
        name, _, value = gauge.strip().partition("=")
        with suppress(ValueError):
            gauges[name] = float(value)
    return report_from_gauges(gauges)


def parse_load_probe(body: bytes) -> LoadReport:
    """Return the load report in the response to a load probe."""
    return parse_load_report(body.decode("latin-1"))
