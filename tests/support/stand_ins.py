"""Export the stand-ins for clients, endpoints and discovery, and the router as a process."""

from endpoint_handlers import (
    DONE,
    EVENT,
    STREAM,
    USAGE,
    accept_release,
    decode,
    hang,
    never_prefill,
    paused_stream,
    prefill,
    streams_by_id,
)
from late_listener import LateListener
from platform_requests import FACTS, SETTINGS, chat_request
from router_process import RouterProcess, router_with_endpoints, running_router, started_process
from stand_in_discovery import StandInDiscovery, registry_entry
from stand_in_server import StandInServer
from time_limits import run, within

from llm_router.emulator.http import chunk, message, read_message
from llm_router.emulator.listen_ports import reserve_port

__all__ = [
    "DONE",
    "EVENT",
    "FACTS",
    "SETTINGS",
    "STREAM",
    "USAGE",
    "LateListener",
    "RouterProcess",
    "StandInDiscovery",
    "StandInServer",
    "accept_release",
    "chat_request",
    "chunk",
    "decode",
    "reserve_port",
    "hang",
    "message",
    "never_prefill",
    "paused_stream",
    "prefill",
    "read_message",
    "registry_entry",
    "router_with_endpoints",
    "run",
    "running_router",
    "started_process",
    "streams_by_id",
    "within",
]
