"""Run a router whose system calls fail, and whose wall clock is wrong, as a plan says.

    LLM_ROUTER_FAULT_PLAN='{"calls": [...]}' python -m llm_router.emulator.failing_calls [FILE]

The plan is a JSON object. `wall_clock_offset_s` moves the wall clock. Each entry of `calls` makes one call
fail: `call` (accept, connect, socket or send), `errors` (names of `errno`, drawn at random), `one_in` (how
often, 1 is always), `times` (how often at most), and `while_file` (only while that file exists)."""

from __future__ import annotations

import os
import random
import socket
import sys
import time
from collections.abc import Callable

from llm_router.emulator.fault_plan import FAULT_PLAN_VARIABLE, FaultPlan

INTERNET_FAMILIES = (socket.AF_INET, socket.AF_INET6)


class FailingCalls:
    """A fault plan in force in this process."""

    def __init__(self, plan: FaultPlan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)

    def install(self) -> None:
        """Replace calls of Python's socket and time modules by ones that fail."""
        for call in ("accept", "connect", "send"):
            self._wrap_method(call)
        self._wrap_creation()
        if self._plan.wall_clock_offset_s:
            self._shift_wall_clock(self._plan.wall_clock_offset_s)

    def _raise_drawn_error(self, call: str) -> None:
        """Raise the error with which this call fails, if it does."""
        for failing_call in self._plan.calls:
            if failing_call.call != call:
                continue
            error = failing_call.draw_error(self._rng)
            if error is not None:
                raise error

    def _wrap_method(self, name: str) -> None:
        """Make one method of internet sockets fail before it does anything."""
        original: Callable[..., object] = getattr(socket.socket, name)

        def failing(sock: socket.socket, *arguments: object) -> object:
            if sock.family in INTERNET_FAMILIES:
                self._raise_drawn_error(name)
            return original(sock, *arguments)

        setattr(socket.socket, name, failing)

    def _wrap_creation(self) -> None:
        """Make the creation of internet sockets fail."""
        original = socket.socket.__init__

        def failing(
            sock: socket.socket,
            family: int = -1,
            type: int = -1,  # noqa: A002  # the name of the parameter that it replaces
            proto: int = -1,
            fileno: int | None = None,
        ) -> None:
            if fileno is None and family in INTERNET_FAMILIES:
                self._raise_drawn_error("socket")
            original(sock, family, type, proto, fileno)

        socket.socket.__init__ = failing  # type: ignore[assignment,method-assign]  # on purpose

    @staticmethod
    def _shift_wall_clock(offset: float) -> None:
        """Move `time.time` by seconds."""
        true_time = time.time
        time.time = lambda: true_time() + offset


def main(arguments: list[str]) -> int:
    """Put the plan of the environment in force and run a router."""
    plan = FaultPlan.parse(os.environ.get(FAULT_PLAN_VARIABLE, "{}"))
    FailingCalls(plan).install()
    # Imported late: the router's modules must find the calls replaced.
    from llm_router.__main__ import main as run_router

    return run_router(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
