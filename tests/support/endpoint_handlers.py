"""Handlers with which a StandInServer answers calls like a prefill or decode endpoint."""

import asyncio

from llm_router.emulator.http import LAST_CHUNK, STREAM_HEAD, chunk, message

CHAT = "POST /v1/chat"  # The request line of a chat request starts with this text.
STREAM = STREAM_HEAD
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}\n\n'
USAGE = b'data: {"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}}\n\n'
DONE = b"data: [DONE]\n\n: X-Backend-Load: latency_ms=3,x0=0.5\n\n"


async def prefill(call, writer):
    """Complete every prefill without delay, and accept every other call."""
    if call[0].startswith(CHAT):
        writer.write(message("HTTP/1.1 202 Accepted", b'{"cached_tokens":4}'))
    else:
        writer.write(message("HTTP/1.1 204 No Content"))


async def decode(call, writer):
    """Stream a complete response to a chat request, and reject every other call with a conflict."""
    if call[0].startswith(CHAT):
        writer.write(STREAM + chunk(EVENT) + chunk(USAGE + DONE) + LAST_CHUNK)
    else:
        writer.write(message("HTTP/1.1 409 Conflict"))


async def hang(_call, _writer):
    """Never answer."""
    await asyncio.Event().wait()


async def never_prefill(call, writer):
    """Never answer a prefill, and accept every other call."""
    handler = hang if call[0].startswith(CHAT) else prefill
    await handler(call, writer)


async def accept_release(_call, writer):
    """Accept every call."""
    writer.write(message("HTTP/1.1 204 No Content"))


def paused_stream(resume):
    """Return a handler that streams one event, and the rest of the response once `resume` is set."""

    async def handler(call, writer):
        if not call[0].startswith(CHAT):
            await decode(call, writer)
            return
        writer.write(STREAM + chunk(EVENT))
        await resume.wait()
        writer.write(chunk(DONE) + LAST_CHUNK)

    return handler


def streams_by_id(streams):
    """Return a handler that writes the stream with the id of a chat request; `streams` has writers by id."""

    async def handler(call, writer):
        if call[0].startswith(CHAT):
            await streams[call[1]["x-correlation-id"]](writer)
        else:
            await decode(call, writer)

    return handler
