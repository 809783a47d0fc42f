"""Define the fault plan of a process: its failing system calls and its wall-clock error."""

from __future__ import annotations

import errno
import os
import random
from dataclasses import dataclass
from pathlib import Path

import orjson

FAULT_PLAN_VARIABLE = "LLM_ROUTER_FAULT_PLAN"  # name of the environment variable that holds the fault plan
CALLS = ("accept", "connect", "socket", "send")


@dataclass(slots=True)
class FailingCall:
    """A system call that fails at random, with the conditions of its failures."""

    call: str
    errors: tuple[str, ...]  # constant names of the `errno` module
    one_in: int = 1  # One in this many calls fails on average.
    times: int | None = None  # failures that are left; None means no limit
    while_file: Path | None = None  # Calls fail only while this file exists.

    def __post_init__(self) -> None:
        if self.call not in CALLS:
            raise ValueError(f"call: unknown call {self.call!r}, expected one of {', '.join(CALLS)}")
        unknown = [name for name in self.errors if not hasattr(errno, name)]
        if unknown:
            raise ValueError(f"errors: {unknown[0]!r} is not the name of an errno constant")

    def draw_error(self, rng: random.Random) -> OSError | None:
        """Draw whether this call fails; return its error, or None if the call succeeds."""
        if self.times == 0:
            return None
        if self.while_file is not None and not self.while_file.exists():
            return None
        if rng.randrange(self.one_in):
            return None
        if self.times is not None:
            self.times -= 1
        number = getattr(errno, rng.choice(self.errors))
        return OSError(number, os.strerror(number))


@dataclass(slots=True)
class FaultPlan:
    """The faults to inject into one process."""

    calls: tuple[FailingCall, ...] = ()
    wall_clock_offset_s: float = 0.0
    seed: int = 0

    @classmethod
    def parse(cls, text: str) -> FaultPlan:
        """Parse a JSON fault plan; raise a ValueError, TypeError or KeyError if it is invalid."""
        plan_fields = orjson.loads(text)
        calls = []
        for call_fields in plan_fields.pop("calls", ()):
            file = call_fields.pop("while_file", None)
            errors = tuple(call_fields.pop("errors"))
            while_file = Path(file) if file else None
            calls.append(FailingCall(errors=errors, while_file=while_file, **call_fields))
        return cls(tuple(calls), **plan_fields)
