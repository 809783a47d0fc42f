"""Runs any number of independent router instances on the simulator's batches."""

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
    """The router instances by name, the endpoint lists by slot, and the batch's clock in nanoseconds."""

    def __init__(self) -> None:
        self.routers: dict[str, RoutingPolicy] = {}
        self.lists: dict[int, tuple[events.EndpointEntry, ...]] = {}
        self.now = 0

    def run(self, lines: Iterator[str], output: TextIO) -> None:
        """Answer batches until the input ends; raise FieldError or ValueError for a malformed line."""
        for line in lines:
            words = line.split()
            if not words or words[0] != BATCH_START:
                raise FieldError("a batch must open with begin_batch")
            self.now = Fields.parse(words[1:]).rounded("clock")
            reply = self._run_batch(lines)
            output.write("\n".join([*reply, f"{BATCH_ANSWERED}\n"]))
            output.flush()

    def _run_batch(self, lines: Iterator[str]) -> list[str]:
        """Handle a batch's messages up to its end; return the lines of the actions that they call for."""
        reply: list[str] = []
        for line in lines:
            words = line.split()
            if not words:
                raise FieldError("an empty line")
            if words[0] == BATCH_END:
                return reply
            reply.extend(self._handle_message(words[0], Fields.parse(words[1:]), lines))
        raise FieldError("the input ends within a batch")

    def _handle_message(self, name: str, fields: Fields, lines: Iterator[str]) -> list[str]:
        """Handle one message; an endpoint list takes its entries from the lines that follow it."""
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
            raise FieldError(f"{router_id} has not been started")
        if name == STOP_ROUTER:
            del self.routers[router_id]
            return []
        is_list_update = name == ENDPOINT_LIST_UPDATE
        event = self._decode_list_update(fields) if is_list_update else decode_event(name, fields)
        actions = self.routers[router_id].handle(self.now, event)
        return [encode_action(router_id, action) for action in actions]

    def _read_list(self, fields: Fields, lines: Iterator[str]) -> None:
        """Read an endpoint list into its slot."""
        count = fields.integer("records")
        entries = tuple(self._read_entry(next(lines, "")) for _ in range(count))
        self.lists[fields.integer("slot")] = entries

    @staticmethod
    def _read_entry(line: str) -> events.EndpointEntry:
        """Return the entry on a line that must be one."""
        words = line.split()
        if not words or words[0] != ENDPOINT_ENTRY:
            raise FieldError("an entry of the list is missing")
        return decode_entry(Fields.parse(words[1:]))

    def _decode_list_update(self, fields: Fields) -> events.EndpointListUpdate:
        """Return the event that delivers an endpoint list, or the failure to fetch one."""
        if fields.text("kind") == DISCOVERY_FAILED:
            return events.EndpointListUpdate(None, is_full=False)
        is_full = fields.choice("kind", IS_FULL_SNAPSHOT)
        slot = fields.integer("slot")
        if slot not in self.lists:
            raise FieldError(f"slot={slot} has not been declared")
        return events.EndpointListUpdate(self.lists[slot], is_full)


class NumberedLines:
    """Lines of input, with the number of the last one read."""

    def __init__(self, source: Iterable[str]) -> None:
        self._source = iter(source)
        self.number = 0

    def __iter__(self) -> NumberedLines:
        return self

    def __next__(self) -> str:
        line = next(self._source)
        self.number += 1
        return line
