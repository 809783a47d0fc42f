"""Check the KServe v2 frontend with stand-in clients and endpoints."""

import asyncio
import json

import pytest
from kserve_sidecar import ANSWER, infer_request, load_assignment, sidecar, status
from stand_ins import StandInServer, message, read_message, run, within


async def serve(_call, writer):
    """Answer an inference request like a KServe v2 endpoint."""
    writer.write(message("HTTP/1.1 200 OK", ANSWER, Content_Type="application/json"))


async def hang(_call, _writer):
    await asyncio.Event().wait()


async def close_mid_response(_call, writer):
    writer.write(message("HTTP/1.1 200 OK", ANSWER)[:-20])
    await writer.drain()
    writer.close()


async def close_mid_response_without_content_length(_call, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + ANSWER[:-20])
    await writer.drain()
    writer.close()


async def reject(_call, writer):
    writer.write(message("HTTP/1.1 503 Service Unavailable", X_Unprocessed="1"))


class SwitchableHandler:
    """A handler that a test can replace while the stand-in endpoint runs."""

    def __init__(self, handler):
        self.current = handler

    async def __call__(self, call, writer):
        await self.current(call, writer)


def get(path):
    return message(f"GET {path} HTTP/1.1", Host="h")


def test_an_inference_is_forwarded_unchanged_in_both_directions(tmp_path):
    async def test():
        async with StandInServer(serve) as server, sidecar(tmp_path, server) as program:
            data = infer_request(time_left_ms=3000, prompt_len=900)
            first, headers, body = await program.exchange(data)
            assert first.split()[1] == "200" and body == ANSWER
            ((line, _, sent),) = server.calls
            assert line.startswith("POST /v2/models/desk/infer") and sent == data.partition(b"\r\n\r\n")[2]
            assert await program.stop() == 0

    run(test())


def test_health_and_model_operations(tmp_path):
    async def test():
        async with StandInServer(serve) as server, sidecar(tmp_path, server) as program:
            assert json.loads((await program.exchange(get("/v2")))[2])["name"] == "hoplane"
            for path in ("/v2/health/live", "/v2/health/ready", "/v2/models/desk/ready", "/v2/models/desk"):
                assert await status(program, get(path)) == 200
            assert await status(program, get("/v2/models/other/ready")) == 404
            assert await status(program, get("/elsewhere")) == 404
            assert await status(program, infer_request(model="other")) == 404
            program.endpoints_file.write_text(load_assignment((server.address, "DRAINING")))
            await program.wait_for_log("endpoint_list_updated")
            first, _, _ = await program.exchange(get("/v2/models/desk/ready"))
            assert first.split()[1] == "503"

    run(test())


@pytest.mark.parametrize(
    "data",
    [
        message("POST /v2/models/desk/infer HTTP/1.1", b"{", Host="h"),
        infer_request(cls="other"),
        infer_request(request_id=None),
        infer_request(time_left_ms="soon"),
        infer_request(prompt_len=-1),
        infer_request(session="lone").replace(
            b"lone", b"\\uD8"
        ),  # four bytes for four: an incomplete surrogate
    ],
)
def test_a_malformed_request_reaches_no_endpoint(tmp_path, data):
    async def test():
        async with StandInServer(serve) as server, sidecar(tmp_path, server) as program:
            assert await status(program, data) == 400
            assert not server.calls

    run(test())


@pytest.mark.parametrize("handler", [close_mid_response, close_mid_response_without_content_length])
def test_a_response_that_its_endpoint_closes_early_is_an_error_and_is_not_resent(tmp_path, handler):
    async def test():
        async with StandInServer(handler) as bad, sidecar(tmp_path, bad) as program:
            assert await status(program, infer_request(request_id="b1")) == 502
            assert await status(program, infer_request(request_id="b1")) == 409, (
                "the first request may have run"
            )
            assert len(bad.calls) == 1
            async with StandInServer(serve) as good:
                program.endpoints_file.write_text(
                    load_assignment((bad.address, "HEALTHY"), (good.address, "HEALTHY"))
                )
                await program.wait_for_log("endpoint_list_updated")
                for number in range(8):
                    assert await status(program, infer_request(request_id=f"l{number}", cls="lookup")) == 200

    run(test())


def test_a_request_that_must_run_once_is_not_sent_while_or_after_it_runs(tmp_path):
    resume = asyncio.Event()

    async def wait(call, writer):
        await resume.wait()
        await serve(call, writer)

    async def test():
        async with StandInServer(wait) as server, sidecar(tmp_path, server) as program:
            first = asyncio.ensure_future(status(program, infer_request(request_id="b1")))
            await server.wait_for("POST")
            assert await status(program, infer_request(request_id="b1")) == 409, (
                "the first request is running"
            )
            resume.set()
            assert await first == 200
            assert await status(program, infer_request(request_id="b1", repeat=True)) == 409, (
                "the first request has run"
            )
            assert await status(program, infer_request(request_id="b2")) == 200
            assert await status(program, infer_request(request_id="s", cls="lookup")) == 200
            assert await status(program, infer_request(request_id="s", cls="lookup")) == 200, (
                "an idempotent request may run twice"
            )
            assert len(server.calls) == 4

    run(test())


def test_a_request_that_must_run_once_may_be_retried_if_it_never_ran(tmp_path):
    async def test():
        handler = SwitchableHandler(reject)
        async with StandInServer(handler) as server, sidecar(tmp_path, server) as program:
            assert await status(program, infer_request(request_id="b1", time_left_ms=300)) == 503
            handler.current = serve
            assert await status(program, infer_request(request_id="b1")) in (200, 503)
            while await status(program, infer_request(request_id="b1")) == 503:
                pass
            assert len(server.calls) >= 2

    run(test())


@pytest.mark.parametrize(("cls", "code", "retry_code"), [("lookup", 503, 503), ("booking", 502, 409)])
def test_the_deadline_ends_the_attempt(tmp_path, cls, code, retry_code):
    async def test():
        async with StandInServer(hang) as server, sidecar(tmp_path, server) as program:
            assert await status(program, infer_request(cls=cls, time_left_ms=200)) == code
            assert (await within(server.closed.get()))[0].startswith("POST")
            assert await status(program, infer_request(cls=cls, time_left_ms=200)) == retry_code

    run(test())


def test_a_client_disconnect_aborts_the_attempt(tmp_path):
    async def test():
        async with StandInServer(hang) as server, sidecar(tmp_path, server) as program:
            _, writer = await program.connect()
            writer.write(infer_request())
            await server.wait_for("POST")
            writer.close()
            assert await within(server.closed.get())
            assert await status(program, infer_request()) == 409

    run(test())


def test_a_drain_takes_effect_within_1_s_and_an_invalid_file_is_ignored(tmp_path):
    async def test():
        async with (
            StandInServer(serve) as old,
            StandInServer(serve) as new,
            sidecar(tmp_path, old) as program,
        ):
            program.endpoints_file.write_text('{"resources": [')
            assert "endpoints.json" in (await program.wait_for_log("xds_files_invalid"))["file"]
            assert await status(program, infer_request(request_id="b1")) == 200, (
                "the last valid list stays in use"
            )
            program.endpoints_file.write_text(
                load_assignment((old.address, "DRAINING"), (new.address, "HEALTHY"))
            )
            written_at = asyncio.get_running_loop().time()
            await program.wait_for_log("endpoint_list_updated")
            assert asyncio.get_running_loop().time() - written_at < 1
            for number in range(5):
                assert await status(program, infer_request(request_id=f"c{number}")) == 200
            assert len(old.calls) == 1 and len(new.calls) == 5

    run(test())


def test_a_reload_replaces_the_files_and_an_invalid_one_changes_nothing(tmp_path):
    async def test():
        async with (
            StandInServer(serve) as old,
            StandInServer(serve) as new,
            sidecar(tmp_path, old) as program,
        ):
            configuration = program.file.read_text()
            other = tmp_path / "xds/other.json"
            other.write_text("{")
            program.reload(configuration.replace("endpoints.json", "other.json"))
            assert "other.json" in (await program.wait_for_log("configuration_reload_failed"))["error"]
            assert await status(program, infer_request(request_id="b1")) == 200
            other.write_text(load_assignment((new.address, "HEALTHY")))
            program.reload(configuration.replace("endpoints.json", "other.json"))
            assert "other.json" in (await program.wait_for_log("configuration_reloaded"))["watch"]
            assert await status(program, infer_request(request_id="b1")) == 409, "idempotency keys are kept"
            assert await status(program, infer_request(request_id="b2")) == 200
            assert len(old.calls) == 1 and len(new.calls) == 1

    run(test())


# Guards against responses that SIGKILL cuts, because their requests came late in the shutdown.
def test_a_request_that_is_complete_late_in_the_shutdown_is_rejected(tmp_path):
    async def test():
        async with StandInServer(serve) as server, sidecar(tmp_path, server) as program:
            reader, writer = await program.connect()
            writer.write(infer_request()[:-5])
            await asyncio.sleep(0.1)
            program.process.terminate()
            await program.wait_for_log("stopping")
            await asyncio.sleep(0.8)
            writer.write(infer_request()[-5:])
            first, headers, _ = await within(read_message(reader))
            assert first.split()[1] == "503" and headers["connection"] == "close"
            writer.close()
            assert await within(program.process.wait()) == 0
            assert not server.named("POST")

    run(test())


def test_requests_received_behind_another_before_sigterm_are_served(tmp_path):
    resume = asyncio.Event()

    async def serve_after_resume(call, writer):
        await resume.wait()
        await serve(call, writer)

    async def test():
        async with StandInServer(serve_after_resume) as server, sidecar(tmp_path, server) as program:
            reader, writer = await program.connect()
            writer.write(infer_request() + infer_request(request_id="second"))
            await server.wait_for("POST")
            program.process.terminate()
            await program.wait_for_log("stopping")
            await asyncio.sleep(0.7)  # The shutdown drains.
            resume.set()
            for _ in range(2):
                assert (await within(read_message(reader)))[0].split()[1] == "200"
            assert await within(reader.read()) == b""
            writer.close()
            assert await within(program.process.wait()) == 0

    run(test())
