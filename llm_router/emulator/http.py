"""HTTP/1.1 messages as the emulator's endpoints, discovery and clients read and write them."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class Message(NamedTuple):
    """A message: its first line, its headers with names in lower case, and its body."""

    first: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Give a request's method."""
        return self.first.split(" ")[0]

    @property
    def path(self) -> str:
        """Give a request's path and query."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """Give an answer's status."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a message's head; None where the connection ends before it does."""
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Message(lines[0], {name.lower(): value.strip() for name, _, value in pairs}, b"")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message; None where the connection ends before its head does.

    Raises asyncio.IncompleteReadError where the body is cut short."""
    head = await read_head(reader)
    if head is None:
        return None
    body = b""
    if head.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif "content-length" in head.headers:
        body = await reader.readexactly(int(head.headers["content-length"]))
    return head._replace(body=body)


def message(first: str, body: bytes = b"", **headers: object) -> bytes:
    """Write a message; underscores in the names of headers stand for hyphens."""
    headers["Content_Length"] = len(body)
    lines = [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([first, *lines, "", ""]).encode() + body


def chunk(data: bytes) -> bytes:
    """Write a chunk of a body in chunks."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
