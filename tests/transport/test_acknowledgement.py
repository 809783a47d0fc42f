"""Tests of the detection of unacknowledged bytes, on real TCP connections."""

import asyncio
import gc
import socket
import weakref
from contextvars import ContextVar, copy_context

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
    """Return the client's writer, and the peer's socket with a small receive buffer."""
    listener = small_listener()
    _, writer = await asyncio.open_connection(*listener.getsockname())
    accepted, _ = listener.accept()
    accepted.setblocking(False)
    listener.close()
    return writer, accepted


def test_received_bytes_count_as_acknowledged_and_bytes_over_the_buffers_do_not():
    async def test():
        writer, accepted = await connection()
        writer.write(b"x" * 1000)
        await asyncio.sleep(0.06)
        assert unacknowledged_bytes(writer.transport) == 0
        writer.write(b"x" * (8 << 20))  # more than both kernels buffer, and the peer does not read
        await asyncio.sleep(0.06)
        assert unacknowledged_bytes(writer.transport) > 0
        writer.transport.abort()
        accepted.close()

    run(test())


def test_the_timer_reports_unacknowledged_bytes_only():
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
        assert reports.empty(), "a stopped timer must not report"

    run(test())


def test_unacknowledged_bytes_of_a_cancelled_call_are_discarded(configuration):
    """Guard against a plain close, after which the kernel would send the rest and the call would run."""
    size = 150_000  # bytes; more than the peer's receive buffer holds, less than the kernel's send buffer

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
        await asyncio.sleep(0.3)  # all bytes are then in the kernels' buffers or in transit
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


# Guards against request bodies that stay in memory until the next garbage collection.
def test_a_stopped_timer_does_not_keep_the_request_that_its_context_holds():
    class Request:
        pass

    hook = ContextVar("hook")

    def send(loop):
        request = Request()
        timer = AcknowledgementTimer(loop, lambda: request)
        hook.set(lambda: (timer, request))
        timer.start(asyncio.Transport())
        timer.stop()
        return weakref.ref(request)

    async def test():
        sent = copy_context().run(send, asyncio.get_running_loop())
        assert sent() is None

    gc.disable()
    try:
        run(test())
    finally:
        gc.enable()
