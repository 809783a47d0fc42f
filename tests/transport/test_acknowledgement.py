"""The kernel's account of what the other end's machine has acknowledged, over real connections."""

import asyncio
import socket

from stand_ins import run, within

from llm_router.transport.acknowledgement import (
    ACKNOWLEDGEMENT_TIMEOUT,
    AcknowledgementTimer,
    unacknowledged_bytes,
)
from llm_router.transport.clock import to_seconds
from llm_router.transport.pool import ConnectionPool, UpstreamCall


def small_listener():
    """Return a listening socket whose connections have a small receive buffer."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


async def connection():
    """Return a client's transport, and the other end's socket with a small buffer."""
    listener = small_listener()
    _, writer = await asyncio.open_connection(*listener.getsockname())
    accepted, _ = listener.accept()
    accepted.setblocking(False)
    listener.close()
    return writer, accepted


def test_what_the_other_machine_took_is_acknowledged_and_what_it_did_not_take_is_not():
    async def test():
        writer, accepted = await connection()
        writer.write(b"x" * 1000)
        await asyncio.sleep(0.06)
        assert unacknowledged_bytes(writer.transport) == 0
        writer.write(b"x" * (8 << 20))  # more than both ends buffer, and nobody reads
        await asyncio.sleep(0.06)
        assert unacknowledged_bytes(writer.transport) > 0
        writer.transport.abort()
        accepted.close()

    run(test())


def test_the_timer_reports_bytes_that_are_still_on_their_way_and_no_others():
    async def test():
        loop, reports = asyncio.get_running_loop(), asyncio.Queue()
        for size, missing in ((1000, False), (8 << 20, True)):
            writer, accepted = await connection()
            timer = AcknowledgementTimer(loop, lambda: reports.put_nowait(None))
            timer.start(writer.transport)
            writer.write(b"x" * size)
            if missing:
                await within(reports.get())
            else:
                await asyncio.sleep(2 * to_seconds(ACKNOWLEDGEMENT_TIMEOUT))
                assert reports.empty()
            stopped = AcknowledgementTimer(loop, lambda: reports.put_nowait(None))
            stopped.start(writer.transport)
            stopped.stop()
            writer.transport.abort()
            accepted.close()
        await asyncio.sleep(2 * to_seconds(ACKNOWLEDGEMENT_TIMEOUT))
        assert reports.empty(), "a timer that was stopped reports nothing"

    run(test())


def test_what_is_unacknowledged_of_a_call_that_is_given_up_never_arrives(configuration):
    """The kernel would go on sending after a plain close, and the endpoint would run it for nobody."""
    size = 150_000  # more than the other end's small buffer takes, and less than our kernel's

    async def test():
        listener = small_listener()
        listener.setblocking(False)
        loop = asyncio.get_running_loop()
        address = "{}:{}".format(*listener.getsockname())
        pool = ConnectionPool(configuration(), 8)

        async def send():
            await pool.request(UpstreamCall("POST", address, "/", body=b"x" * size))

        sending = asyncio.ensure_future(send())
        accepted, _ = await loop.sock_accept(listener)
        await asyncio.sleep(0.3)  # all is in the machines' buffers, or on its way
        sending.cancel()
        await within(asyncio.wait({sending}))
        await asyncio.sleep(0.1)
        received = 0
        try:
            while data := await within(loop.sock_recv(accepted, 1 << 16)):
                received += len(data)
        except ConnectionResetError:
            pass
        assert received < size
        accepted.close()
        listener.close()
        await pool.close()

    run(test())
