"""Answer calls as prefill and decode endpoints do: handlers for a StandInServer."""

import asyncio

from llm_router.emulator.http import LAST_CHUNK, STREAM_HEAD, chunk, message

CHAT = "POST /v1/chat"  # how the first line of a request for an answer starts
STREAM = STREAM_HEAD
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}\n\n'
USAGE = b'data: {"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}}\n\n'
DONE = b"data: [DONE]\n\n: X-Backend-Load: latency_ms=3,x0=0.5\n\n"


async def prefill(call, writer):
    """Accept each prefill at once and each release."""
    if call[0].startswith(CHAT):
        writer.write(message("HTTP/1.1 202 Accepted", b'{"cached_tokens":4}'))
    else:
        writer.write(message("HTTP/1.1 204 No Content"))


async def decode(call, writer):
    """Stream an answer, and reject reservations."""
    if call[0].startswith(CHAT):
        writer.write(STREAM + chunk(EVENT) + chunk(USAGE + DONE) + LAST_CHUNK)
    else:
        writer.write(message("HTTP/1.1 409 Conflict"))


async def hang(_call, _writer):
    """Answer nothing."""
    await asyncio.Event().wait()


async def never_prefill(call, writer):
    """Never end a prefill, and answer all else."""
    handler = hang if call[0].startswith(CHAT) else prefill
    await handler(call, writer)


async def accept_release(_call, writer):
    """Accept each release."""
    writer.write(message("HTTP/1.1 204 No Content"))


def paused_stream(resume):
    """Return a handler that streams an event, and the rest of the answer once `resume` is set."""

    async def handler(call, writer):
        if not call[0].startswith(CHAT):
            await decode(call, writer)
            return
        writer.write(STREAM + chunk(EVENT))
        await resume.wait()
        writer.write(chunk(DONE) + LAST_CHUNK)

    return handler
