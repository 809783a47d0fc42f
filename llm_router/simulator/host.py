"""Runs independent router instances on the batches of messages that the simulator sends."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TextIO

from llm_router.field_codec import FieldError, Fields
from llm_router.routing import events
from llm_router.routing.policy import RoutingPolicy
from llm_router.settings_codec import read_settings
from llm_router.simulator.action_codec import encode_action
from llm_router.simulator.event_codec import DECODERS, decode_entry, decode_event

BATCH_START = "begin_batch"
BATCH_END = "eof_batch"
BATCH_ANSWERED = "ok"
ENDPOINT_LIST = "list"
ENDPOINT_ENTRY = "entry"
START_ROUTER = "enlist"
STOP_ROUTER = "destroy"
ENDPOINT_LIST_UPDATE = "fleet"
ROUTER_MESSAGES = {START_ROUTER, STOP_ROUTER, ENDPOINT_LIST_UPDATE, *DECODERS}

DISCOVERY_FAILED = "Error"
IS_FULL_SNAPSHOT = {"Partial": False, "Complete": True, "Persisted": True}


class SimulatorHost:
    """Router instances by id, endpoint lists by slot, and the clock of the current batch in nanoseconds."""

    def __init__(self) -> None:
        self.routers: dict[str, RoutingPolicy] = {}
        self.lists: dict[int, tuple[events.EndpointEntry, ...]] = {}
        self.now = 0

    def run(self, lines: Iterator[str], output: TextIO) -> None:
        """Answer batches until the input ends; raise FieldError or ValueError if a line is malformed."""
        for line in lines:
            words = line.split()
            if not words or words[0] != BATCH_START:
                raise FieldError("a batch must start with a begin_batch line")
            self.now = Fields.parse(words[1:]).rounded("clock")
            reply = self._run_batch(lines)
            output.write("\n".join([*reply, f"{BATCH_ANSWERED}\n"]))
            output.flush()

    def _run_batch(self, lines: Iterator[str]) -> list[str]:
        """Handle the messages of one batch and return the lines of the resulting actions."""
        reply: list[str] = []
        for line in lines:
            words = line.split()
            if not words:
                raise FieldError("a line within a batch is empty")
            if words[0] == BATCH_END:
                return reply
            reply.extend(self._handle_message(words[0], Fields.parse(words[1:]), lines))
        raise FieldError("the input ends within a batch")

    def _handle_message(self, name: str, fields: Fields, lines: Iterator[str]) -> list[str]:
        """Handle one message and return its action lines.

        The entries of an endpoint list are read from the lines that follow the message."""
        if name == ENDPOINT_LIST:
            self._read_list(fields, lines)
            return []
        if name not in ROUTER_MESSAGES:
            raise FieldError(f"unknown message {name!r}")
        router_id = fields.text("router_id")
        if name == START_ROUTER:
            self.routers[router_id] = RoutingPolicy(read_settings(fields), fields.integer("random_seed"))
            return []
        if router_id not in self.routers:
            raise FieldError(f"router instance {router_id} has not been started")
        if name == STOP_ROUTER:
            del self.routers[router_id]
            return []
        is_list_update = name == ENDPOINT_LIST_UPDATE
        event = self._decode_list_update(fields) if is_list_update else decode_event(name, fields)
        actions = self.routers[router_id].handle(self.now, event)
        return [encode_action(router_id, action) for action in actions]

    def _read_list(self, fields: Fields, lines: Iterator[str]) -> None:
        """Read an endpoint list and store it in its slot."""
        count = fields.integer("records")
        entries = tuple(self._read_entry(next(lines, "")) for _ in range(count))
        self.lists[fields.integer("slot")] = entries

    @staticmethod
    def _read_entry(line: str) -> events.EndpointEntry:
        """Return the endpoint list entry on a line; raise FieldError if the line has another type."""
        words = line.split()
        if not words or words[0] != ENDPOINT_ENTRY:
            raise FieldError("the endpoint list is incomplete: expected an entry line")
        return decode_entry(Fields.parse(words[1:]))

    def _decode_list_update(self, fields: Fields) -> events.EndpointListUpdate:
        """Return the event for a new endpoint list or for a failed call to discovery."""
        if fields.text("kind") == DISCOVERY_FAILED:
            return events.EndpointListUpdate(None, is_full=False)
        is_full = fields.choice("kind", IS_FULL_SNAPSHOT)
        slot = fields.integer("slot")
        if slot not in self.lists:
            raise FieldError(f"slot={slot} contains no endpoint list")
        return events.EndpointListUpdate(self.lists[slot], is_full)


class NumberedLines:
    """An iterator over input lines that counts the lines read."""

    def __init__(self, source: Iterable[str]) -> None:
        self._source = iter(source)
        self.number = 0

    def __iter__(self) -> NumberedLines:
        return self

    def __next__(self) -> str:
        line = next(self._source)
        self.number += 1
        return line
