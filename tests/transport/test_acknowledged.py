"""The kernel's word on what has come to the other end's machine, over real connections."""

import asyncio
import socket

from stand_ins import SETTINGS, run, within

from llm_router.configuration import platform_configuration
from llm_router.transport.acknowledged import ROUND_TRIPS, ArrivalWatch, unacknowledged
from llm_router.transport.pool import ConnectionPool


async def connection():
    """Give a client's transport, and the other end's socket with a small buffer."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
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
        assert unacknowledged(writer.transport) == 0
        writer.write(b"x" * (8 << 20))  # more than both ends hold, and nobody reads
        await asyncio.sleep(0.06)
        assert unacknowledged(writer.transport) > 0
        writer.transport.abort()
        accepted.close()

    run(test())


def test_a_watch_tells_of_bytes_that_are_still_on_their_way_and_of_no_others():
    async def test():
        loop, told = asyncio.get_running_loop(), asyncio.Queue()
        for size, missing in ((1000, False), (8 << 20, True)):
            writer, accepted = await connection()
            watch = ArrivalWatch(loop, lambda: told.put_nowait(None))
            watch.start(writer.transport)
            writer.write(b"x" * size)
            if missing:
                await within(told.get())
            else:
                await asyncio.sleep(2 * ROUND_TRIPS.total_seconds())
                assert told.empty()
            stopped = ArrivalWatch(loop, lambda: told.put_nowait(None))
            stopped.start(writer.transport)
            stopped.stop()
            writer.transport.abort()
            accepted.close()
        await asyncio.sleep(2 * ROUND_TRIPS.total_seconds())
        assert told.empty(), "a watch that was stopped tells nothing"

    run(test())


def test_what_the_other_machine_has_not_taken_of_a_call_that_is_given_up_never_arrives():
    """The kernel would go on sending after a plain close, and the endpoint would run it for nobody."""
    size = 150_000  # more than the other end's small buffer takes, and less than our kernel's

    async def test():
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        loop = asyncio.get_running_loop()
        address = "{}:{}".format(*listener.getsockname())
        told = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS}
        pool = ConnectionPool(platform_configuration(told), 8)

        async def send():
            await pool.request("POST", address, "/", data=b"x" * size)

        sending = asyncio.ensure_future(send())
        accepted, _ = await loop.sock_accept(listener)
        await asyncio.sleep(0.3)  # all is in the machines' buffers, or on its way
        sending.cancel()
        await within(asyncio.wait({sending}))
        await asyncio.sleep(0.1)
        came = 0
        try:
            while data := await within(loop.sock_recv(accepted, 1 << 16)):
                came += len(data)
        except ConnectionResetError:
            pass
        assert came < size
        accepted.close()
        listener.close()
        await pool.close()

    run(test())
