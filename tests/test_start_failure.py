"""Checks that a router retries its start, and logs the error and exits if it cannot start."""

import asyncio
import json
import os
import socket
import sys

import pytest
from stand_ins import SETTINGS, chat_request, router_with_endpoints, run, within


def test_a_router_whose_address_stays_in_use_logs_the_error_and_exits(tmp_path):
    """Guards against a hang at exit: after a failed start, finalizers of open connection pools log while the
    interpreter shuts down. The log must not wait for a thread that cannot start."""

    async def test():
        with socket.create_server(("127.0.0.1", 0)) as occupant:
            address = f"127.0.0.1:{occupant.getsockname()[1]}"
            configuration = {
                "name": "n1",
                "listen": address,
                "discovery": "127.0.0.1:1",
                "seed": "8c1f",
                "limits": {"memory_mb": 192, "sockets": 1024},
                "settings": SETTINGS,
                "known": {"index": 0, "snapshot": True, "endpoints": []},
            }
            file = tmp_path / "config.json"
            file.write_text(json.dumps(configuration))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "llm_router",
                env={**os.environ, "EDGE_CONFIG": str(file)},
                stderr=asyncio.subprocess.PIPE,
            )
            try:
                _, log = await within(process.communicate())
            finally:
                if process.returncode is None:
                    process.kill()
            *retries, last = [json.loads(line) for line in log.splitlines()]
            assert last["event"] == "start_failed" and address in last["error"]
            assert {line["event"] for line in retries} <= {"listen_failed", "discovery_lost"}
            assert len(retries) <= 5, "retries are logged about once a second"
            assert process.returncode == 1

    run(test())


@pytest.mark.parametrize("error", ["ENOMEM", "ENFILE", "ENOBUFS"])
def test_a_router_starts_although_its_first_sockets_cannot_be_created(tmp_path, error):
    """Guards against an exit with "start_failed ... Cannot allocate memory" after a temporary shortage. The
    creation of the listening socket must be retried."""

    async def test():
        plan = {"calls": [{"call": "socket", "errors": [error], "times": 3}]}
        async with router_with_endpoints(tmp_path, plan=plan) as router:
            status_line, _, _ = await router.exchange(chat_request())
            assert status_line.split()[1] == "200"

    run(test())
