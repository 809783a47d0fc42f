"""Converts load gauges of endpoints to load reports.

The platform and the simulator use the same gauge names."""

from __future__ import annotations

from collections.abc import Mapping

from llm_router.routing.events import LoadReport

MEMORY_SHARE = "x0"  # share of the KV memory in use
QUEUED_PROMPT_KILOTOKENS = "x1"  # thousands of prompt tokens that wait for prefill or transfer
QUEUED_REQUESTS = "queue"  # number of waiting requests
# Greater magnitudes are implausible in any unit, and estimates from them could exceed the range of floats.
MAX_GAUGE = 1e9


def report_from_gauges(gauges: Mapping[str, float]) -> LoadReport:
    """Return the load report for gauge values by name; unknown gauges and implausible values are ignored."""
    plausible = {name: value for name, value in gauges.items() if abs(value) <= MAX_GAUGE}
    kilotokens = plausible.get(QUEUED_PROMPT_KILOTOKENS)
    return LoadReport(
        memory_share=plausible.get(MEMORY_SHARE),
        queued_prompt_tokens=None if kilotokens is None else 1000 * kilotokens,
        queued_requests=plausible.get(QUEUED_REQUESTS),
    )
