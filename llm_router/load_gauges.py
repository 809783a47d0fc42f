"""Translates the gauges in endpoints' load reports, which the platform and the simulator name alike."""

from __future__ import annotations

from collections.abc import Mapping

from llm_router.routing.events import LoadReport

MEMORY_SHARE = "x0"  # the part of the KV memory in use
QUEUED_PROMPT_KILOTOKENS = "x1"
QUEUED_REQUESTS = "queue"


def report_from_gauges(gauges: Mapping[str, float]) -> LoadReport:
    """Return a load report from its gauges by name; gauges of other names are ignored."""
    kilotokens = gauges.get(QUEUED_PROMPT_KILOTOKENS)
    return LoadReport(
        memory_share=gauges.get(MEMORY_SHARE),
        queued_prompt_tokens=None if kilotokens is None else 1000 * kilotokens,
        queued_requests=gauges.get(QUEUED_REQUESTS),
    )
