"""Reads the policy's events from the simulator's lines."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable

from llm_router.field_codec import FieldError, Fields, choice, flag, given, listed, number, text, ticks, whole
from llm_router.load_gauges import report_of_gauges
from llm_router.routing import events
from llm_router.routing.events import AttemptStatus, ConnectionFault, EndpointStatus, LoadReport

STATES = {"live": EndpointStatus.READY, "quiescing": EndpointStatus.DRAINING, "dead": EndpointStatus.REMOVED}
STATUSES = {
    "done": AttemptStatus.OK,
    "err": AttemptStatus.ERROR,
    "busy": AttemptStatus.OVERLOADED,
    "etimedout": AttemptStatus.TIMEOUT,
    "econnrefused": AttemptStatus.CONNECT_FAILED,
    "econnreset": AttemptStatus.RESET,
    "ecanceled": AttemptStatus.CANCELLED,
    "skipped": AttemptStatus.NOT_SENT,
    "handover": AttemptStatus.PREFILLED,
}
RESERVED = {"1": True, "2": False}
# What `info` means hangs on how the attempt ended.
CACHED_TOKENS_IN_INFO = (AttemptStatus.OK, AttemptStatus.PREFILLED)
STATE_MISSING = 1
CONNECTION_FAULT_IN_INFO = (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET)
CONNECTION_FAULTS = {1: ConnectionFault.STALE, 2: ConnectionFault.LOCAL}
REQUEST_FIELDS = {
    "session": ("thread", text),
    "prefix": ("prefix", text),
    "prefix_tokens": ("shared_len", whole),
    "expected_duration": ("estimate", ticks),
    "tenant": ("party", text),
    "is_retry": ("repeat", flag),
    "resumed": ("came_back", flag),
}


def read_entry(fields: Fields) -> events.EndpointEntry:
    """Translate a line of a server list."""
    return events.EndpointEntry(
        endpoint_id=whole(fields, "engine"),
        kind=text(fields, "kind"),
        zone=text(fields, "dc"),
        cell=whole(fields, "unit_group"),
        status=choice(fields, "condition", STATES),
        **given(fields, {"weight": ("weight", number), "started_at": ("born", ticks)}),
    )


def read_gauge(fields: Fields) -> LoadReport:
    """Translate a load report; there may be none."""
    pairs = (pair.partition(":") for pair in listed(fields, "gauge"))
    return report_of_gauges({name: number({name: value}, name) for name, _, value in pairs})


def read_request(fields: Fields) -> events.RequestReceived:
    """Translate a request."""
    return events.RequestReceived(
        text(fields, "req"),
        text(fields, "priority"),
        whole(fields, "n_prompt"),
        whole(fields, "max_tokens"),
        ticks(fields, "grace"),
        **given(fields, REQUEST_FIELDS),
    )


def attempt_fields(fields: Fields) -> tuple[str, int, int]:
    """Give what names an attempt."""
    return text(fields, "req"), whole(fields, "attempt"), whole(fields, "engine")


def read_first(fields: Fields) -> events.FirstToken:
    """Translate the begin of a stream."""
    return events.FirstToken(*attempt_fields(fields), ticks(fields, "wait_time"))


def read_outcome(fields: Fields) -> events.AttemptEnded:
    """Translate the end of an attempt."""
    status = choice(fields, "ending", STATUSES)
    closed = flag(fields, "closed") if fields.get("closed") else False
    info = whole(fields, "info") if fields.get("info") else 0
    connection_fault = ConnectionFault.NONE
    if status in CONNECTION_FAULT_IN_INFO:
        connection_fault = CONNECTION_FAULTS.get(info, ConnectionFault.NONE)
    return events.AttemptEnded(
        *attempt_fields(fields),
        status,
        ticks(fields, "wait_time"),
        closed,
        cached_tokens=info if status in CACHED_TOKENS_IN_INFO else 0,
        state_missing=status is AttemptStatus.OVERLOADED and info == STATE_MISSING,
        connection_fault=connection_fault,
        load_report=read_gauge(fields),
    )


def read_place(fields: Fields) -> events.ReservationResult:
    """Translate the answer to a hold."""
    return events.ReservationResult(*attempt_fields(fields), bool(choice(fields, "topic", RESERVED)))


def read_probed(fields: Fields) -> events.LoadProbeEnded:
    """Translate the result of a probe."""
    status = choice(fields, "ending", STATUSES)
    return events.LoadProbeEnded(
        whole(fields, "engine"), status, ticks(fields, "wait_time"), read_gauge(fields)
    )


def read_peer(fields: Fields) -> events.GossipReceived:
    """Translate a message of another router."""
    data = text(fields, "msg")
    try:
        return events.GossipReceived(
            whole(fields, "origin_peer"), b"" if data == "-" else base64.b64decode(data, validate=True)
        )
    except binascii.Error:
        raise FieldError(f"msg={data} is not base64") from None


EVENTS: dict[str, Callable[[Fields], events.Event]] = {
    "query": read_request,
    "headers": read_first,
    "report_back": read_outcome,
    "hold_result": read_place,
    "timed_out_client": lambda fields: events.ClientDisconnected(text(fields, "req")),
    "bell": lambda fields: events.TimerFired(whole(fields, "handle")),
    "probed": read_probed,
    "note_from": read_peer,
}
