"""Check SIGTERM and SIGHUP while the router serves the platform's protocol."""

import asyncio
import os
import signal
from contextlib import asynccontextmanager, suppress
from socket import SO_ERROR, SOL_SOCKET

import pytest
from stand_ins import (
    DONE,
    EVENT,
    STREAM,
    USAGE,
    chat_request,
    chunk,
    decode,
    hang,
    message,
    paused_stream,
    read_message,
    router_with_endpoints,
    run,
    within,
)


def test_sigterm_finishes_accepted_requests_and_ends_keep_alive(tmp_path):
    resume = asyncio.Event()

    async def test():
        async with router_with_endpoints(tmp_path, decode=paused_stream(resume)) as program:
            idle_reader, idle_writer = await program.connect()
            idle_writer.write(message("GET /health/ready HTTP/1.1", Host="h"))
            assert (await within(read_message(idle_reader)))[0].split()[1] == "200"
            reader, writer = await program.connect()
            writer.write(chat_request())
            await program.decode_server.wait_for("POST /v1/chat")
            program.process.terminate()
            await program.wait_for_log("stopping")
            late = await program.exchange(message("GET /health/ready HTTP/1.1", Host="h"))
            assert late[0].split()[1] == "503" and late[1]["connection"] == "close"
            assert await within(idle_reader.read()) == b"", "an idle connection must be closed"
            resume.set()
            assert (await within(read_message(reader)))[2] == EVENT + DONE
            assert await within(program.process.wait()) == 0

    run(test())


def test_sighup_never_ends_the_program_even_during_shutdown(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path, decode=hang) as program:
            reader, writer = await program.connect()
            writer.write(chat_request(time_remaining_ms=900))
            await program.decode_server.wait_for("POST /v1/chat")
            program.process.terminate()
            await program.wait_for_log("stopping")
            program.reload()
            await program.wait_for_log("configuration_reloaded")
            assert (await within(read_message(reader)))[0].split()[1] == "503"
            while program.process.returncode is None:  # Send SIGHUP until the process has ended.
                with suppress(ProcessLookupError):
                    # os.kill() is used because send_signal() would reap the process, with status 255.
                    os.kill(program.process.pid, signal.SIGHUP)
                await asyncio.sleep(0)
                with suppress(TimeoutError):
                    await asyncio.wait_for(asyncio.shield(program.process.wait()), 0.002)
            assert program.process.returncode == 0

    run(test())


def test_sigterm_closes_idle_connections_without_a_reset_and_serves_a_partly_received_request(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            idle_reader, idle_writer = await program.connect()
            idle_writer.write(chat_request("first"))
            assert (await within(read_message(idle_reader)))[0].endswith("200 OK")
            slow_reader, slow_writer = await program.connect()
            slow_writer.write(chat_request("pieces")[:40])
            await asyncio.sleep(0.1)
            program.process.send_signal(signal.SIGTERM)
            await program.wait_for_log("stopping")
            slow_writer.write(chat_request("pieces")[40:])
            answer = await within(read_message(slow_reader))
            assert answer[0].endswith("200 OK") and answer[1]["connection"] == "close"
            assert await within(idle_reader.read()) == b"", "the idle connection must be closed"
            for data in (chat_request("crossed"), b"more"):  # The bytes cross the close of the connection.
                idle_writer.write(data)
                await asyncio.sleep(0.1)
            connection = idle_writer.transport.get_extra_info("socket")
            assert connection.getsockopt(SOL_SOCKET, SO_ERROR) == 0, "the connection must not be reset"
            idle_writer.close()
            slow_writer.close()
            assert await within(program.process.wait()) == 0
            ids = [call[1]["x-correlation-id"] for call in program.prefill_server.named("POST /v1/chat")]
            assert ids == ["first", "pieces"], "requests after the end of the connection must not be accepted"

    run(test())


# Guards against streams that SIGKILL cuts, because their requests came late in the shutdown.
@pytest.mark.parametrize("cut", [40, -5], ids=["in the head", "in the body"])
def test_a_request_that_is_complete_late_in_the_shutdown_is_rejected_and_reaches_no_endpoint(tmp_path, cut):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            idle_reader, _ = await program.connect()
            reader, writer = await program.connect()
            writer.write(chat_request()[:cut])
            await asyncio.sleep(0.1)
            program.process.send_signal(signal.SIGTERM)
            assert await within(idle_reader.read()) == b"", "the shutdown begins to drain"
            await asyncio.sleep(0.3)
            writer.write(chat_request()[cut:])
            first, headers, _ = await within(read_message(reader))
            assert first.split()[1] == "503" and headers["connection"] == "close"
            writer.close()
            assert await within(program.process.wait()) == 0
            assert not program.prefill_server.named("POST /v1/chat")

    run(test())


def test_sigterm_relays_a_stream_to_its_end_though_its_client_sent_more(tmp_path):
    started, resume = asyncio.Event(), asyncio.Event()

    async def stall_mid_stream(_call, writer):
        writer.write(STREAM + chunk(EVENT))
        started.set()
        await resume.wait()
        writer.write(chunk(EVENT) * 200 + chunk(USAGE + DONE) + b"0\r\n\r\n")

    async def test():
        async with router_with_endpoints(tmp_path, decode=stall_mid_stream) as program:
            answers, client = await program.connect()
            client.write(chat_request("r1"))
            await within(started.wait())
            program.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.8)
            client.write(b"x" * 300_000)
            resume.set()
            assert (await within(read_message(answers)))[2] == EVENT * 201 + USAGE + DONE
            assert (await within(read_message(answers)))[0].split()[1] == "400", (
                "what came behind is malformed"
            )
            assert await within(answers.read()) == b"", "the connection must be closed without a reset"
            client.close()
            assert await within(program.process.wait()) == 0

    run(test())


@asynccontextmanager
async def streaming_client(tmp_path, *behind):
    """Run a router that relays the stream of the request "first", with the input `behind` received behind it.

    The stream goes on once `resume` is set. Later requests are streamed at once."""
    resume = asyncio.Event()
    pause = paused_stream(resume)

    async def pause_first(call, writer):
        await (pause if call[1].get("x-correlation-id") == "first" else decode)(call, writer)

    async with router_with_endpoints(tmp_path, decode=pause_first) as program:
        idle_reader, _ = await program.connect()
        reader, writer = await program.connect()
        writer.write(b"".join([chat_request("first"), *behind]))
        await program.decode_server.wait_for("POST /v1/chat")
        program.process.send_signal(signal.SIGTERM)
        assert await within(idle_reader.read()) == b"", "the shutdown begins to drain"
        yield program, reader, writer, resume
        writer.close()
        assert await within(program.process.wait()) == 0


async def read_statuses(reader):
    """Read answers to the end of the connection, and return their statuses."""
    statuses = []
    while answer := await within(read_message(reader)):
        statuses.append(answer[0].split()[1])
    return statuses


def forwarded(program):
    return [call[1]["x-correlation-id"] for call in program.decode_server.named("POST /v1/chat")]


# Guards against requests that were read behind another before SIGTERM and are closed with no answer.
@pytest.mark.parametrize("garbage", [b"", b"nonsense\r\n\r\n"], ids=["requests", "garbage behind them"])
def test_requests_received_behind_another_before_sigterm_are_served(tmp_path, garbage):
    behind = chat_request("second"), chat_request("third"), garbage

    async def test():
        async with streaming_client(tmp_path, *behind) as (program, reader, _, resume):
            resume.set()
            assert await read_statuses(reader) == ["200"] * 3 + ["400"] * bool(garbage)
            assert forwarded(program) == ["first", "second", "third"]

    run(test())


# Guards against requests that come late behind another and are closed with no answer, or forwarded.
def test_requests_received_late_in_the_shutdown_behind_another_are_rejected(tmp_path):
    async def test():
        async with streaming_client(tmp_path) as (program, reader, writer, resume):
            await asyncio.sleep(0.3)
            writer.write(chat_request("second") + chat_request("third"))
            await asyncio.sleep(0.1)
            resume.set()
            assert await read_statuses(reader) == ["200", "503", "503"]
            assert forwarded(program) == ["first"]

    run(test())


# Guards against a request that gets no answer, or is run twice, behind a stream that announces the close.
def test_a_request_behind_a_stream_that_announces_the_close_is_rejected(tmp_path):
    resume = asyncio.Event()

    async def test():
        async with router_with_endpoints(tmp_path, decode=paused_stream(resume)) as program:
            reader, writer = await program.connect()
            program.process.send_signal(signal.SIGTERM)
            await program.wait_for_log("stopping")
            writer.write(chat_request("first"))
            head = await within(reader.readuntil(b"\r\n\r\n"))
            assert b"connection: close" in head.lower()
            writer.write(chat_request("second"))
            await asyncio.sleep(0.05)
            resume.set()
            await within(reader.readuntil(b"0\r\n\r\n"))
            assert await read_statuses(reader) == ["503"]
            writer.close()
            assert await within(program.process.wait()) == 0
            assert forwarded(program) == ["first"]

    run(test())
