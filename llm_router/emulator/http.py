"""Read and encode HTTP/1.1 messages for the emulated endpoints, discovery and clients."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

HEAD_END = b"\r\n\r\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class Message(NamedTuple):
    """An HTTP message: the start line, the headers keyed by lower-case name, and the body."""

    start_line: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start_line.split(" ")[0]

    @property
    def path(self) -> str:
        """Return the path and query of a request."""
        return self.start_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status code of a response."""
        return int(self.start_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; return None if the connection ends before the head is complete."""
    try:
        head = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start_line, *header_lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in header_lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    return Message(start_line, headers, b"")


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message; return None if the connection ends before the head is complete.

    Raise asyncio.IncompleteReadError if the body is truncated."""
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


def message(start_line: str, body: bytes = b"", **headers: object) -> bytes:
    """Return an encoded message; underscores in header names become hyphens."""
    headers["Content_Length"] = len(body)
    lines = [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([start_line, *lines, "", ""]).encode() + body


def chunk(data: bytes) -> bytes:
    """Encode data as one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
