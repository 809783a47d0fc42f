"""Listen at an address at which connecting takes until the test allows it."""

import asyncio
import socket

QUEUE_FILLERS = 4  # number of connections that fill the listener's accept queue


class LateListener:
    """A listener that completes no connection before `open`, because its accept queue is full until then."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.fillers = [socket.socket() for _ in range(QUEUE_FILLERS)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())

    def close(self):
        """Close the listener and the connections that fill its accept queue."""
        for each in (*self.fillers, self.listener):
            each.close()

    async def open(self, serve):
        """Let connections complete, and return the server that serves them."""
        self.drain_queue()
        for filler in self.fillers:
            filler.close()
        return await asyncio.start_server(serve, sock=self.listener)

    def drain_queue(self):
        """Accept and close the connections that fill the accept queue."""
        while True:
            try:
                accepted, _ = self.listener.accept()
            except BlockingIOError:
                return
            accepted.close()
