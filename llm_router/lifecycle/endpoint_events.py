"""Handlers of the events about endpoint lists and load probes."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from llm_router.lifecycle import effects, events
from llm_router.lifecycle.endpoint import Endpoint
from llm_router.lifecycle.endpoint_table import EndpointTable
from llm_router.lifecycle.policy_actions import consult_policy
from llm_router.lifecycle.state import RouterState
from llm_router.lifecycle.units import to_nanoseconds
from llm_router.routing import events as routing_events
from llm_router.routing.events import EndpointStatus


def on_endpoint_list_received(
    state: RouterState, now: timedelta, event: events.EndpointListReceived
) -> Iterator[effects.Effect]:
    """Update the endpoint table from an endpoint list, and report the list to the policy.

    For a list of changes, the cost depends on the entries received and not on the size of the fleet."""
    received = _numbered_entries(state.endpoint_table, event)
    if event.is_full:
        for number in set(state.endpoints) - set(received):
            state.endpoint_table.remove(number, now)
    entries = tuple(
        _update_endpoint(state.endpoint_table, now, number, endpoint, event.since_last_answer)
        for number, endpoint in received.items()
    )
    yield _list_updated_log_event(state, event, received)
    if event.malformed:
        yield effects.LogEvent("endpoint_entries_malformed", {"entries": event.malformed}, rate_limited=True)
    yield from consult_policy(state, now, routing_events.EndpointListUpdate(entries, event.is_full))


def _numbered_entries(table: EndpointTable, event: events.EndpointListReceived) -> dict[int, Endpoint]:
    """Return the usable entries of an endpoint list by the numbers of the endpoints."""
    completed = [table.complete(entry) for entry in event.endpoints]
    return {table.numbering.assign(entry.name): entry for entry in completed if entry is not None}


def _update_endpoint(
    table: EndpointTable,
    now: timedelta,
    number: int,
    endpoint: Endpoint,
    since_last_answer: timedelta | None,
) -> routing_events.EndpointEntry:
    """Update one endpoint in the endpoint table, and return its entry for the policy."""
    started_at = table.start_times.effective_start(endpoint.name, endpoint.started_at, now, since_last_answer)
    table.put(number, endpoint)
    if endpoint.status is EndpointStatus.REMOVED:
        table.remove(number, now)
    return routing_events.EndpointEntry(
        number,
        endpoint.kind,
        endpoint.zone,
        endpoint.cell,
        endpoint.status,
        endpoint.weight,
        to_nanoseconds(started_at),
    )


def _list_updated_log_event(
    state: RouterState, event: events.EndpointListReceived, received: dict[int, Endpoint]
) -> effects.LogEvent:
    """Return the log event that reports an updated endpoint list."""
    not_ready = {
        endpoint.name: endpoint.status.value
        for endpoint in received.values()
        if endpoint.status is not EndpointStatus.READY
    }
    fields: dict[str, object] = {
        "full": event.is_full,
        "known": len(state.endpoints),
        "not_ready": not_ready,
    }
    return effects.LogEvent("endpoint_list_updated", fields)


def on_load_report_received(
    state: RouterState, now: timedelta, event: events.LoadReportReceived
) -> Iterator[effects.Effect]:
    """Count a load probe that has ended, and report its result to the policy."""
    state.metrics.add(f"probe_{event.status.value}", event.elapsed)
    probe_ended = routing_events.LoadProbeEnded(
        event.endpoint_id, event.status, to_nanoseconds(event.elapsed), event.report
    )
    yield from consult_policy(state, now, probe_ended)
