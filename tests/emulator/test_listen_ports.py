"""Checks that a reserved port stays reserved until its router listens."""

import errno
import socket
import subprocess
import sys

import pytest

from llm_router.emulator.listen_ports import LOOPBACK, reserve_port

RESERVE_FROM = """
import itertools, random, sys
from llm_router.emulator import listen_ports
candidates = itertools.count(int(sys.argv[1]))
random.randrange = lambda *_: next(candidates)
print(listen_ports.reserve_port())
"""


# Guards against a test that fails because another process took its router's port before the router listened.
def test_only_a_listener_that_may_share_its_address_gets_a_reserved_port():
    port = reserve_port()
    with socket.socket() as other, pytest.raises(OSError) as failure:
        other.bind((LOOPBACK, port))
    assert failure.value.errno == errno.EADDRINUSE
    with socket.socket() as listener, socket.socket() as client:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((LOOPBACK, port))
        listener.listen()
        client.connect((LOOPBACK, port))


def test_two_processes_reserve_different_ports():
    port = reserve_port()
    command = [sys.executable, "-c", RESERVE_FROM, str(port)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=20, check=True)
    assert int(result.stdout) > port


def test_nothing_listens_at_a_reserved_port():
    with socket.socket() as client:
        assert client.connect_ex((LOOPBACK, reserve_port())) == errno.ECONNREFUSED
