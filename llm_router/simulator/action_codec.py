"""Encodes the routing policy's actions as lines of the simulator's protocol."""

from __future__ import annotations

import base64
from typing import assert_never

from llm_router.routing import actions

ALL_ROUTERS = -1  # recipient number for gossip to all other router instances
EMPTY_MESSAGE = "-"  # stands for a gossip message without content


def encode_action(router_id: str, action: actions.Action) -> str:
    """Return the line for an action of a router instance, without the line feed."""
    name, fields = _name_and_fields(action)
    return f"{name} router_id={router_id} {fields}"


def _name_and_fields(action: actions.Action) -> tuple[str, str]:  # noqa: C901, PLR0911, PLR0912 - a flat table
    """Return the name and the fields of an action on the wire."""
    match action:
        case actions.StartAttempt():
            return "pass_on", f"req={action.request_id} within={action.timeout} engine={action.endpoint_id}"
        case actions.Reserve():
            return "hold_place", f"req={action.request_id} engine={action.endpoint_id}"
        case actions.Release():
            return "unpin", f"req={action.request_id}"
        case actions.CancelAttempt():
            return "undo_send", f"req={action.request_id} attempt={action.attempt}"
        case actions.RejectRequest():
            return "shed", f"req={action.request_id} pause={action.retry_after}"
        case actions.FailRequest():
            return "drop_request", f"req={action.request_id}"
        case actions.MigrateStream():
            return "reassign", f"req={action.request_id}"
        case actions.SetTimer():
            return "wake_me", f"fire_at={action.at} handle={action.timer_id}"
        case actions.ProbeLoad():
            return "ping", f"engine={action.endpoint_id}"
        case actions.SendGossip():
            return "broadcast_to", _gossip_fields(action)
        case actions.WatchEndpoints():
            return "observe", "want=1"
        case actions.LogLine():
            return "remark", f"line={' '.join(action.text.split())}"
        case _:
            assert_never(action)


def _gossip_fields(action: actions.SendGossip) -> str:
    """Return the wire fields of a gossip message to other router instances."""
    recipient = ALL_ROUTERS if action.recipient is None else action.recipient
    data = base64.b64encode(action.data).decode() or EMPTY_MESSAGE
    return f"dest={recipient} msg={data}"
