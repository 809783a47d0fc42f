"""Run a router with injected system call failures and a shifted wall clock.

    LLM_ROUTER_FAULT_PLAN='{"calls": [...]}' python -m llm_router.emulator.failing_calls [FILE]

The fault plan is a JSON object. `wall_clock_offset_s` shifts the wall clock by that many seconds. `seed`
seeds the random draws. Each entry of `calls` makes one system call fail and has these fields:

- `call`: accept, connect, socket or send
- `errors`: names of `errno` constants; each failure draws one at random
- `one_in`: one in this many calls fails on average; with 1, each call fails
- `times`: the largest number of failures
- `while_file`: a path; the call fails only while this file exists"""

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
    """The fault injector of this process, which follows a fault plan."""

    def __init__(self, plan: FaultPlan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)

    def install(self) -> None:
        """Patch the `socket` and `time` modules so that calls fail as the fault plan says."""
        for call in ("accept", "connect", "send"):
            self._wrap_method(call)
        self._wrap_constructor()
        if self._plan.wall_clock_offset_s:
            self._shift_wall_clock(self._plan.wall_clock_offset_s)

    def _raise_drawn_error(self, call: str) -> None:
        """Draw whether a system call fails, and raise its error if it does."""
        for failing_call in self._plan.calls:
            if failing_call.call != call:
                continue
            error = failing_call.draw_error(self._rng)
            if error is not None:
                raise error

    def _wrap_method(self, name: str) -> None:
        """Wrap one method of internet sockets so that an injected error is raised in place of the call."""
        original: Callable[..., object] = getattr(socket.socket, name)

        def failing(sock: socket.socket, *arguments: object) -> object:
            if sock.family in INTERNET_FAMILIES:
                self._raise_drawn_error(name)
            return original(sock, *arguments)

        setattr(socket.socket, name, failing)

    def _wrap_constructor(self) -> None:
        """Wrap the constructor of sockets so that creating an internet socket can fail."""
        original = socket.socket.__init__

        def failing(
            sock: socket.socket,
            family: int = -1,
            type: int = -1,  # noqa: A002  # The wrapped constructor has a parameter of this name.
            proto: int = -1,
            fileno: int | None = None,
        ) -> None:
            if fileno is None and family in INTERNET_FAMILIES:
                self._raise_drawn_error("socket")
            original(sock, family, type, proto, fileno)

        socket.socket.__init__ = failing  # type: ignore[assignment,method-assign]  # The patch is intended.

    @staticmethod
    def _shift_wall_clock(offset: float) -> None:
        """Make `time.time` run ahead of the true time by `offset` seconds."""
        true_time = time.time
        time.time = lambda: true_time() + offset


def main(arguments: list[str]) -> int:
    """Install the fault plan from the environment variable, and run a router."""
    plan = FaultPlan.parse(os.environ.get(FAULT_PLAN_VARIABLE, "{}"))
    FailingCalls(plan).install()
    # The router is imported after the patches, so that its modules bind the patched calls.
    from llm_router.__main__ import main as run_router

    return run_router(arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
