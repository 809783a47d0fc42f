"""Decodes events for the routing policy from lines of the simulator's protocol."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from typing import NamedTuple

from llm_router.field_codec import FieldError, Fields, without_none
from llm_router.load_gauges import report_from_gauges
from llm_router.routing import events
from llm_router.routing.events import AttemptStatus, ConnectionFault, EndpointStatus, LoadReport

ENDPOINT_STATUSES = {
    "live": EndpointStatus.READY,
    "quiescing": EndpointStatus.DRAINING,
    "dead": EndpointStatus.REMOVED,
}
ATTEMPT_STATUSES = {
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
RESERVATION_GRANTED = {"1": True, "2": False}
# The meaning of the field `info` depends on the status: cached tokens, connection fault or missing KV state.
CACHED_TOKENS_IN_INFO = (AttemptStatus.OK, AttemptStatus.PREFILLED)
CONNECTION_FAULT_IN_INFO = (AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET)
CONNECTION_FAULTS = {1: ConnectionFault.STALE, 2: ConnectionFault.LOCAL}
STATE_MISSING_INFO = 1  # value of `info` if an overloaded endpoint does not have the KV state
EMPTY_MESSAGE = "-"  # stands for a gossip message without content


class AttemptKey(NamedTuple):
    """The fields that identify an attempt, in the same order as in the events."""

    request_id: str
    attempt: int
    endpoint_id: int


def decode_event(name: str, fields: Fields) -> events.Event:
    """Return the event for a message name and its fields; raise FieldError if a field is malformed."""
    return DECODERS[name](fields)


def decode_entry(fields: Fields) -> events.EndpointEntry:
    """Return the endpoint list entry that a line's fields describe."""
    return events.EndpointEntry(
        endpoint_id=fields.integer("engine"),
        kind=fields.text("kind"),
        zone=fields.text("dc"),
        cell=fields.integer("unit_group"),
        status=fields.choice("condition", ENDPOINT_STATUSES),
        **without_none(
            weight=fields.optional("weight", fields.number),
            started_at=fields.optional("born", fields.rounded),
        ),
    )


def _decode_request(fields: Fields) -> events.RequestReceived:
    return events.RequestReceived(
        request_id=fields.text("req"),
        class_name=fields.text("priority"),
        prompt_tokens=fields.integer("n_prompt"),
        max_output_tokens=fields.integer("max_tokens"),
        time_remaining=fields.rounded("grace"),
        **without_none(
            session=fields.optional("thread", fields.text),
            prefix=fields.optional("prefix", fields.text),
            prefix_tokens=fields.optional("shared_len", fields.integer),
            expected_duration=fields.optional("estimate", fields.rounded),
            tenant=fields.optional("party", fields.text),
            is_retry=fields.optional("repeat", fields.boolean),
            resumed=fields.optional("came_back", fields.boolean),
        ),
    )


def _decode_first_token(fields: Fields) -> events.FirstToken:
    return events.FirstToken(*_attempt_key(fields), elapsed=fields.rounded("wait_time"))


def _decode_attempt_ended(fields: Fields) -> events.AttemptEnded:
    status = fields.choice("ending", ATTEMPT_STATUSES)
    closed = fields.optional("closed", fields.boolean) or False
    info = fields.optional("info", fields.integer) or 0
    connection_fault = ConnectionFault.NONE
    if status in CONNECTION_FAULT_IN_INFO:
        connection_fault = CONNECTION_FAULTS.get(info, ConnectionFault.NONE)
    return events.AttemptEnded(
        *_attempt_key(fields),
        status,
        fields.rounded("wait_time"),
        closed,
        cached_tokens=info if status in CACHED_TOKENS_IN_INFO else 0,
        state_missing=status is AttemptStatus.OVERLOADED and info == STATE_MISSING_INFO,
        connection_fault=connection_fault,
        load_report=_load_report(fields),
    )


def _decode_reservation_result(fields: Fields) -> events.ReservationResult:
    return events.ReservationResult(*_attempt_key(fields), fields.choice("topic", RESERVATION_GRANTED))


def _decode_client_disconnected(fields: Fields) -> events.ClientDisconnected:
    return events.ClientDisconnected(fields.text("req"))


def _decode_timer_fired(fields: Fields) -> events.TimerFired:
    return events.TimerFired(fields.integer("handle"))


def _decode_load_probe_ended(fields: Fields) -> events.LoadProbeEnded:
    status = fields.choice("ending", ATTEMPT_STATUSES)
    return events.LoadProbeEnded(
        fields.integer("engine"), status, fields.rounded("wait_time"), _load_report(fields)
    )


def _decode_gossip(fields: Fields) -> events.GossipReceived:
    message = fields.text("msg")
    sender = fields.integer("origin_peer")
    if message == EMPTY_MESSAGE:
        return events.GossipReceived(sender, b"")
    try:
        return events.GossipReceived(sender, base64.b64decode(message, validate=True))
    except binascii.Error:
        raise FieldError(f"msg={message} is not base64") from None


def _attempt_key(fields: Fields) -> AttemptKey:
    """Return the fields that identify an attempt."""
    return AttemptKey(fields.text("req"), fields.integer("attempt"), fields.integer("engine"))


def _load_report(fields: Fields) -> LoadReport:
    """Return the load report in the field `gauge`, or an empty report if the field is absent."""
    gauges: dict[str, float] = {}
    for gauge in fields.items("gauge"):
        name, _, value = gauge.partition(":")
        gauges[name] = Fields({name: value}).number(name)
    return report_from_gauges(gauges)


DECODERS: dict[str, Callable[[Fields], events.Event]] = {
    "query": _decode_request,
    "headers": _decode_first_token,
    "report_back": _decode_attempt_ended,
    "hold_result": _decode_reservation_result,
    "timed_out_client": _decode_client_disconnected,
    "bell": _decode_timer_fired,
    "probed": _decode_load_probe_ended,
    "note_from": _decode_gossip,
}
