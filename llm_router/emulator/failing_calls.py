"""Runs a conductor whose system calls fail, and whose wall clock is wrong, as a plan says.

    LLM_ROUTER_FAULT_PLAN='{"calls": [...]}' python -m llm_router.emulator.failing_calls [FILE]

The plan is a JSON object. `wall_clock_offset_s` moves the wall clock. Each entry of `calls` makes one fail:
`call` (accept, connect, socket or send), `errors` (names of `errno`, drawn at random), `one_in` (how often,
1 is always), `times` (how often at most), and `while_file` (only while that file exists)."""

from __future__ import annotations

import errno
import os
import random
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import orjson

PLAN = "LLM_ROUTER_FAULT_PLAN"
CALLS = ("accept", "connect", "socket", "send")


@dataclass(slots=True)
class FailingCall:
    """One kind of system call that fails now and then."""

    call: str
    errors: tuple[str, ...]
    one_in: int = 1
    times: int | None = None
    while_file: Path | None = None

    def __post_init__(self) -> None:
        if self.call not in CALLS:
            raise ValueError(f"call: {self.call!r} is none of {', '.join(CALLS)}")
        if unknown := [name for name in self.errors if not hasattr(errno, name)]:
            raise ValueError(f"errors: {unknown[0]!r} is no name of an error")

    def draw(self, rng: random.Random) -> OSError | None:
        """Give the error with which this call fails, None where it does not."""
        if self.times == 0 or (self.while_file is not None and not self.while_file.exists()):
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
    def read(cls, text: str) -> FaultPlan:
        """Read a plan; a ValueError or TypeError says what is wrong with it."""
        told = orjson.loads(text)
        calls = []
        for each in told.pop("calls", ()):
            file = each.pop("while_file", None)
            errors = tuple(each.pop("errors"))
            calls.append(FailingCall(errors=errors, while_file=file and Path(file), **each))
        return cls(tuple(calls), **told)


class FailingCalls:
    """Puts a plan in force in this process."""

    def __init__(self, plan: FaultPlan) -> None:
        self.plan, self.rng = plan, random.Random(plan.seed)

    def check(self, call: str) -> None:
        """Raise the error with which this call fails, if it does."""
        for each in self.plan.calls:
            if each.call == call and (error := each.draw(self.rng)) is not None:
                raise error

    def install(self) -> None:
        """Replace the calls of Python's socket and time modules."""
        self.wrap("accept", "accept")
        self.wrap("connect", "connect")
        self.wrap("send", "send")
        self.wrap_creation()
        if offset := self.plan.wall_clock_offset_s:
            true_time = time.time
            time.time = lambda: true_time() + offset

    def wrap(self, method: str, call: str) -> None:
        """Let one method of sockets fail before it does anything."""
        genuine: Callable = getattr(socket.socket, method)

        def failing(sock: socket.socket, *arguments: object) -> object:
            if sock.family in (socket.AF_INET, socket.AF_INET6):
                self.check(call)
            return genuine(sock, *arguments)

        setattr(socket.socket, method, failing)

    def wrap_creation(self) -> None:
        """Let the making of TCP sockets fail."""
        genuine = socket.socket.__init__

        def failing(sock, family=-1, type=-1, proto=-1, fileno=None) -> None:
            if fileno is None and family in (socket.AF_INET, socket.AF_INET6):
                self.check("socket")
            genuine(sock, family, type, proto, fileno)

        socket.socket.__init__ = failing


def main(arguments: list[str]) -> int:
    """Put the plan of the environment in force and run a conductor."""
    FailingCalls(FaultPlan.read(os.environ.get(PLAN, "{}"))).install()
    from llm_router.__main__ import main as run

    return run(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
