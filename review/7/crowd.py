"""Clients that send requests at full speed, and again once their connection has ended, for case 7.

Arguments: the conductor's address, the number of clients, the characters of text in each request, and a word
with which the ids of this process begin."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import kit2

END_TIMEOUT = 6.0  # seconds after which a client leaves


async def client(address: str, padding: int, word: str) -> None:
    """Send one request on each connection, and read all that comes until its end."""
    count = 0
    while True:
        count += 1
        try:
            connection = await kit2.Connection.open(address)
            connection.writer.write(kit2.chat(f"{word}-{count}", padding=padding))
            async with asyncio.timeout(END_TIMEOUT):
                while await connection.reader.read(65536):
                    pass
            connection.writer.close()
        except (OSError, TimeoutError):
            await asyncio.sleep(0.01)


async def main() -> None:
    """Run all clients of this process."""
    address, number, padding, word = sys.argv[1:]
    await asyncio.gather(*(client(address, int(padding), f"{word}-{at}") for at in range(int(number))))


asyncio.run(main())
