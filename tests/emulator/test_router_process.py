"""Checks how the emulator judges the exits of a router's processes."""

import asyncio
import signal
from types import SimpleNamespace

import pytest

from llm_router.emulator.oracle.oracle import Oracle
from llm_router.emulator.router_process import ProcessRun, RouterProcess, RouterSpec


class EndedProcess:
    """A process that has ended; the wait for its status takes until `noticed` is set."""

    def __init__(self, status):
        self.returncode = status
        self.noticed = asyncio.Event()

    async def wait(self):
        await self.noticed.wait()
        return self.returncode


def router(tmp_path):
    oracle = Oracle(0.3, 1.0)
    return oracle, RouterProcess(oracle, SimpleNamespace(), RouterSpec("n0", {}, tmp_path))


# Guards against a planned restart that counts as a crash because the next process has started meanwhile.
@pytest.mark.parametrize(
    ("is_stopping", "status", "crashes"),
    [(True, 0, 0), (True, -signal.SIGKILL, 0), (True, 1, 1), (False, 0, 1), (False, -signal.SIGKILL, 1)],
)
def test_an_exit_is_judged_by_what_its_own_process_was_told(tmp_path, is_stopping, status, crashes):
    async def test():
        oracle, process = router(tmp_path)
        first, second = (ProcessRun(EndedProcess(each)) for each in (status, None))
        first.is_stopping = is_stopping
        process._run = second
        process.ready = True
        first.process.noticed.set()
        await process.check_exit(first)
        assert len(oracle.violations.violations) == crashes and process.ready

    asyncio.run(test())


@pytest.mark.parametrize(("terminated_at", "is_excused"), [(None, False), (9.7, False), (9.5, True)])
def test_only_a_request_written_late_after_sigterm_may_cross_the_close_of_a_new_connection(
    tmp_path, terminated_at, is_excused
):
    async def test():
        _, process = router(tmp_path)
        process.terminated_at = terminated_at
        assert process.may_close_unread(10.0) is is_excused

    asyncio.run(test())
