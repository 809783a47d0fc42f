"""The kernel's word on what has come to the other end's machine, over real connections."""

import asyncio
import socket

from standins import run, within

from hoplane.net.acknowledged import ROUND_TRIPS, ArrivalWatch, unacknowledged


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
