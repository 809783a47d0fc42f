"""Writes the policy's actions as the simulator's lines."""

from __future__ import annotations

import base64
from collections.abc import Callable

from llm_router.routing import actions


def write_tell(action: actions.SendGossip) -> str:
    """Write a message to other routers."""
    data = base64.b64encode(action.data).decode() or "-"
    return f"dest={-1 if action.recipient is None else action.recipient} msg={data}"


ACTIONS: dict[type, tuple[str, Callable[..., str]]] = {
    actions.StartAttempt: (
        "pass_on",
        lambda action: f"req={action.request_id} within={action.timeout} engine={action.endpoint_id}",
    ),
    actions.Reserve: ("hold_place", lambda action: f"req={action.request_id} engine={action.endpoint_id}"),
    actions.Release: ("unpin", lambda action: f"req={action.request_id}"),
    actions.CancelAttempt: ("undo_send", lambda action: f"req={action.request_id} attempt={action.attempt}"),
    actions.RejectRequest: ("shed", lambda action: f"req={action.request_id} pause={action.retry_after}"),
    actions.FailRequest: ("drop_request", lambda action: f"req={action.request_id}"),
    actions.MigrateStream: ("reassign", lambda action: f"req={action.request_id}"),
    actions.SetTimer: ("wake_me", lambda action: f"fire_at={action.at} handle={action.timer_id}"),
    actions.ProbeLoad: ("ping", lambda action: f"engine={action.endpoint_id}"),
    actions.SendGossip: ("broadcast_to", write_tell),
    actions.WatchEndpoints: ("observe", lambda action: "want=1"),
    actions.LogLine: ("remark", lambda action: f"line={' '.join(action.text.split())}"),
}


def write_action(instance: str, action: actions.Action) -> str:
    """Write one action as a line."""
    name, fields = ACTIONS[type(action)]
    return f"{name} router_id={instance} {fields(action)}"
