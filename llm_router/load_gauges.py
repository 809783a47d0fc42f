"""The names of the gauges in endpoints' load reports."""

from __future__ import annotations

from collections.abc import Mapping

from llm_router.routing.events import LoadReport


def report_of_gauges(gauges: Mapping[str, float]) -> LoadReport:
    """Return a load report from its gauges by name: `x0`, `x1` (thousands of tokens) and `queue`."""
    thousands = gauges.get("x1")
    queued_prompt_tokens = None if thousands is None else 1000 * thousands
    return LoadReport(gauges.get("x0"), queued_prompt_tokens, gauges.get("queue"))
