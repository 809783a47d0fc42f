"""Describe which system calls of a process fail, and how wrong its wall clock is."""

from __future__ import annotations

import errno
import os
import random
from dataclasses import dataclass
from pathlib import Path

import orjson

FAULT_PLAN_VARIABLE = "LLM_ROUTER_FAULT_PLAN"  # of the environment
CALLS = ("accept", "connect", "socket", "send")


@dataclass(slots=True)
class FailingCall:
    """One kind of system call that fails now and then."""

    call: str
    errors: tuple[str, ...]  # names of `errno`
    one_in: int = 1
    times: int | None = None  # how often it still fails; None: no limit
    while_file: Path | None = None

    def __post_init__(self) -> None:
        if self.call not in CALLS:
            raise ValueError(f"call: {self.call!r} is none of {', '.join(CALLS)}")
        unknown = [name for name in self.errors if not hasattr(errno, name)]
        if unknown:
            raise ValueError(f"errors: {unknown[0]!r} is no name of an error")

    def draw_error(self, rng: random.Random) -> OSError | None:
        """Return the error with which this call fails, None where it does not."""
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
    """What fails in one process."""

    calls: tuple[FailingCall, ...] = ()
    wall_clock_offset_s: float = 0.0
    seed: int = 0

    @classmethod
    def parse(cls, text: str) -> FaultPlan:
        """Parse a plan in JSON; raise a ValueError, TypeError or KeyError that says what is wrong."""
        plan_fields = orjson.loads(text)
        calls = []
        for call_fields in plan_fields.pop("calls", ()):
            file = call_fields.pop("while_file", None)
            errors = tuple(call_fields.pop("errors"))
            while_file = Path(file) if file else None
            calls.append(FailingCall(errors=errors, while_file=while_file, **call_fields))
        return cls(tuple(calls), **plan_fields)
