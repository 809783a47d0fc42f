"""The program on the platform's protocol, as clients, endpoints and discovery see it."""

import asyncio
import os
import signal
from contextlib import suppress
from socket import SO_ERROR, SOL_SOCKET

import pytest
from stand_ins import (
    DONE,
    EVENT,
    FACTS,
    SETTINGS,
    STREAM,
    USAGE,
    StandInDiscovery,
    StandInServer,
    chat_request,
    chunk,
    decode,
    free_port,
    hang,
    message,
    never_prefill,
    paused_stream,
    prefill,
    read_message,
    registry_entry,
    router_with_endpoints,
    run,
    running_router,
    within,
)


def test_a_request_is_read_then_written_and_its_events_pass_unchanged(tmp_path):
    desks = []

    async def read_once_a_place_is_asked_for(call, writer):
        if call[0].startswith("POST /v1/chat"):
            await desks[0].writer.wait_for("POST /v1/holds/r1")
        await prefill(call, writer)

    async def test():
        async with router_with_endpoints(tmp_path, read=read_once_a_place_is_asked_for) as program:
            desks.append(program)
            first, headers, body = await program.exchange(chat_request(body=b'{"stream": true,  "n":1}'))
            assert first.startswith("HTTP/1.1 200") and body == EVENT + USAGE + DONE
            for server in (program.reader, program.writer):
                (call,) = server.named("POST /v1/chat/completions")
                assert call[2] == b'{"stream": true,  "n":1}' and call[1]["x-correlation-id"] == "r1"
                assert 0 < int(call[1]["x-time-left-ms"]) <= 4000
            (hold,) = await program.writer.wait_for("POST /v1/holds/r1")
            assert not program.reader.named("DELETE") and not program.writer.named("DELETE")
            assert await program.stop() == 0

    run(test())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (chat_request(left="soon"), 400),
        (chat_request(cls="other"), 400),
        (chat_request(id="a b"), 400),
        (chat_request(facts="max_out=2"), 400),
        (chat_request(facts=FACTS + ",prefix=" + "x" * 300), 400),
        (chat_request(body=b"{"), 400),
        (chat_request(body=b"[]"), 400),
        (chat_request(body=b'"' + b"x" * 262144 + b'"'), 413),
        (message("GET /v1/chat/completions HTTP/1.1", Host="h"), 405),
        (message("GET /x HTTP/1.1", Host="h"), 404),
        (b"nonsense\r\n\r\n", 400),
    ],
    ids=range(11),
)
def test_what_is_malformed_is_answered_and_sent_nowhere(tmp_path, data, status):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            assert (await program.exchange(data))[0].split()[1] == str(status)
            assert (await program.exchange(chat_request(id="good")))[0].split()[1] == "200"
            assert len(program.reader.named("POST")) == 1, "only the good one reached a reader"

    run(test())


def test_a_body_of_256_kib_passes(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            body = b'{"a":"' + b"x" * (262144 - 8) + b'"}'
            assert (await program.exchange(chat_request(body=body)))[0].split()[1] == "200"
            assert program.writer.named("POST /v1/chat")[0][2] == body

    run(test())


def test_path_and_query_pass_unchanged_also_as_a_whole_url_and_after_100_continue(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            query = "?a=%7e%2F&b=+x"
            assert (await program.exchange(chat_request(query=query)))[0].split()[1] == "200"
            whole = chat_request(id="r2", query=query).replace(b"POST /", b"POST http://service.internal/")
            assert (await program.exchange(whole))[0].split()[1] == "200"
            for call in program.writer.named("POST /v1/chat"):
                assert call[0].split()[1] == "/v1/chat/completions" + query
            reader, writer = await program.connect()
            head, _, body = chat_request(id="r3").partition(b"\r\n\r\n")
            writer.write(head + b"\r\nExpect: 100-continue\r\n\r\n")
            assert (await within(read_message(reader)))[0].split()[1] == "100"
            writer.write(body)
            assert (await within(read_message(reader)))[0].split()[1] == "200"

    run(test())


def test_a_client_connection_too_many_takes_an_idle_ones_place_or_is_refused(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path, limits={"memory_mb": 96, "sockets": 64}) as program:
            idle, asked = await program.connect()
            asked.write(message("GET /health/ready HTTP/1.1", Host="h"))
            assert (await within(read_message(idle)))[0].split()[1] == "200"
            kept = []
            for number in range(21):  # the last one takes the place of the idle one
                reader, writer = await program.connect()
                head = chat_request(id=f"r{number}").partition(b"\r\n\r\n")[0]
                writer.write(head + b"\r\nExpect: 100-continue\r\n\r\n")
                assert (await within(read_message(reader)))[0].split()[1] == "100"
                kept.append(writer)
            assert await within(idle.read()) == b""
            first, headers, _ = await program.exchange(chat_request(id="over"))
            assert first.split()[1] == "503" and headers["retry-after"] and headers["connection"] == "close"

    run(test())


def test_a_stream_that_breaks_ends_without_the_last_chunk(tmp_path):
    async def breaks(call, writer):
        if call[0].startswith("POST /v1/chat"):
            writer.write(STREAM + chunk(EVENT))
            await writer.drain()
            writer.close()
        else:
            await decode(call, writer)

    async def test():
        async with router_with_endpoints(tmp_path, write=breaks) as program:
            reader, writer = await program.connect()
            writer.write(chat_request())
            got = await within(reader.read())
            assert EVENT in got and not got.endswith(b"0\r\n\r\n")
            assert len(program.writer.named("POST /v1/chat")) == 1, "nothing further is sent"

    run(test())


@pytest.mark.parametrize(("cls", "status", "times"), [("booking", "502", 1), ("lookup", "200", 2)])
def test_what_may_have_run_is_repeated_only_where_its_class_permits(tmp_path, cls, status, times):
    tries = []

    async def fails_once(call, writer):
        if call[0].startswith("POST /v1/chat") and not tries:
            tries.append(call)
            writer.close()  # the request had come in whole: it may have run
        else:
            await decode(call, writer)

    async def test():
        async with (
            StandInServer(fails_once) as second,
            router_with_endpoints(tmp_path, write=fails_once) as program,
        ):
            await program.discovery.publish(
                [*program.entries, registry_entry("w2", second.address, "decode")]
            )
            await program.wait_for_log("endpoint_list_updated")
            assert (await program.exchange(chat_request(cls=cls)))[0].split()[1] == status
            chats = program.writer.named("POST /v1/chat") + second.named("POST /v1/chat")
            assert len(chats) == times

    run(test())


def test_a_client_that_leaves_ends_the_read_and_what_it_left_is_released(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path, read=never_prefill) as program:
            _, writer = await program.connect()
            writer.write(chat_request())
            await program.reader.wait_for("POST /v1/chat")
            writer.close()
            assert (await within(program.reader.closed.get()))[0].startswith("POST /v1/chat")
            assert (await program.reader.wait_for("DELETE /v1/holds/r1")) or program.writer.named("DELETE")

    run(test())


def test_a_request_out_of_time_is_answered_and_released(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path, read=never_prefill) as program:
            first, headers, _ = await program.exchange(chat_request(left=300))
            assert first.split()[1] == "503" and float(headers["retry-after"]) > 0
            await program.reader.wait_for("DELETE /v1/holds/r1")

    run(test())


def test_a_request_given_up_on_is_answered_at_once(tmp_path):
    async def test():
        gone = [
            registry_entry("r1", "127.0.0.1:1", "prefill"),
            registry_entry("w1", "127.0.0.1:1", "decode", "Terminating"),
        ]
        async with running_router(tmp_path, gone) as program:
            clock = asyncio.get_running_loop().time
            before = clock()
            first, headers, _ = await program.exchange(chat_request(left=9000))
            assert first.split()[1] == "503" and float(headers["retry-after"]) > 0
            assert clock() - before < 3, "long before its deadline"

    run(test())


def test_a_draining_endpoint_gets_nothing_new(tmp_path):
    async def test():
        async with StandInServer(decode) as second, router_with_endpoints(tmp_path) as program:
            drained = registry_entry("w1", program.writer.address, "decode", "Terminating")
            await program.discovery.publish(
                [program.entries[0], drained, registry_entry("w2", second.address, "decode")]
            )
            while (await program.wait_for_log("endpoint_list_updated"))["not_ready"] != {"w1": "draining"}:
                pass
            for number in range(6):
                assert (await program.exchange(chat_request(id=f"r{number}")))[0].split()[1] == "200"
            assert not program.writer.named("POST") and len(second.named("POST /v1/chat")) == 6

    run(test())


def test_sigterm_finishes_what_was_taken_and_turns_off_keep_alive(tmp_path):
    go_on = asyncio.Event()

    async def test():
        async with router_with_endpoints(tmp_path, write=paused_stream(go_on)) as program:
            idle_reader, idle_writer = await program.connect()
            idle_writer.write(message("GET /health/ready HTTP/1.1", Host="h"))
            assert (await within(read_message(idle_reader)))[0].split()[1] == "200"
            reader, writer = await program.connect()
            writer.write(chat_request())
            await program.writer.wait_for("POST /v1/chat")
            program.process.terminate()
            await program.wait_for_log("stopping")
            late = await program.exchange(message("GET /health/ready HTTP/1.1", Host="h"))
            assert late[0].split()[1] == "503" and late[1]["connection"] == "close"
            assert await within(idle_reader.read()) == b"", "an idle connection is closed"
            go_on.set()
            assert (await within(read_message(reader)))[2] == EVENT + DONE
            assert await within(program.process.wait()) == 0

    run(test())


def test_a_wrong_configuration_names_the_key(tmp_path):
    async def test():
        with pytest.raises(AssertionError, match="limits.sockets: must be at least 64"):
            async with running_router(tmp_path, [], limits={"memory_mb": 192, "sockets": 32}):
                pass

    run(test())


def test_a_release_goes_round_an_endpoint_that_does_not_answer(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path, read=hang) as program:
            assert (await program.exchange(chat_request(left=300)))[0].split()[1] == "503"
            assert await program.writer.wait_for("DELETE /v1/holds/r1")

    run(test())


def test_discovery_that_goes_and_comes_back_is_heard_again(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            await program.discovery.wait_for("GET /registry/instances?since=1")
            program.discovery.play, play = close_it, program.discovery.play
            await program.discovery.publish([])
            await program.wait_for_log("discovery_lost")
            program.discovery.play = play
            await program.discovery.publish([{**program.entries[0], "status": "Terminating"}])
            while (await program.wait_for_log("endpoint_list_updated"))["not_ready"] != {"r1": "draining"}:
                pass
            await program.wait_for_log("discovery_recovered")

    run(test())


def test_a_reload_moves_the_watch_and_a_bad_file_changes_nothing(tmp_path):
    async def test():
        async with StandInServer(decode) as second, router_with_endpoints(tmp_path) as program:
            await program.discovery.wait_for("GET /registry/instances?since=1")
            program.reload("{")
            assert "EDGE_CONFIG" in (await program.wait_for_log("configuration_reload_failed"))["error"]
            program.reload(discovery="nowhere")
            assert (
                "discovery: must be HOST:PORT"
                in (await program.wait_for_log("configuration_reload_failed"))["error"]
            )
            assert not program.discovery.closed.qsize(), "the watch goes on"
            listed = [program.entries[0], registry_entry("w2", second.address, "decode")]
            async with StandInDiscovery(listed) as moved:
                program.reload(discovery=moved.address, name="other")
                told = await program.wait_for_log("configuration_reloaded")
                assert told["watch"] == moved.address and told["at_next_start"] == ["name"]
                assert await within(program.discovery.closed.get()), "the old watch is closed"
                (call, *_) = await moved.wait_for("GET /registry/instances")
                assert "since" not in call[0], "another agent numbers its lists anew"
                while (await program.wait_for_log("endpoint_list_updated"))["known"] != 2:
                    pass
                assert (await program.exchange(chat_request()))[0].split()[1] == "200"
                assert len(second.named("POST /v1/chat")) == 1 and not program.writer.named("POST")
                await moved.tell([{**listed[0], "status": "Terminating"}])
                while (await program.wait_for_log("endpoint_list_updated"))["not_ready"] != {
                    "r1": "draining"
                }:
                    pass

    run(test())


def test_sighup_never_ends_the_program_also_while_it_stops(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path, write=hang) as program:
            reader, writer = await program.connect()
            writer.write(chat_request(left=900))
            await program.writer.wait_for("POST /v1/chat")
            program.process.terminate()
            await program.wait_for_log("stopping")
            program.reload()
            await program.wait_for_log("configuration_reloaded")
            assert (await within(read_message(reader)))[0].split()[1] == "503"
            while program.process.returncode is None:  # up to the very end
                with suppress(ProcessLookupError):
                    os.kill(program.process.pid, signal.SIGHUP)  # send_signal() would reap it: status 255
                await asyncio.sleep(0)
                with suppress(TimeoutError):
                    await asyncio.wait_for(asyncio.shield(program.process.wait()), 0.002)
            assert program.process.returncode == 0

    run(test())


async def close_it(call, writer):
    writer.close()


def test_bodies_are_refused_before_they_take_the_memory(tmp_path):
    async def test():
        limits = {"memory_mb": 96, "sockets": 1024}
        async with router_with_endpoints(tmp_path, read=hang, limits=limits) as program:
            body = b'{"a":"' + b"x" * 262000 + b'"}'
            asked = [chat_request(id=f"r{n}", left=3000, body=body) for n in range(120)]
            answers = await asyncio.gather(*map(program.ask, asked))
            assert {first.split()[1] for first, _, _ in answers} == {"503"}
            assert sum(body == b"too much at once\n" for _, _, body in answers) >= 120 - 48
            with open(f"/proc/{program.process.pid}/status") as status:
                peak = next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))
            assert peak < 96 * 1024, "kilobytes, at the most that it ever held"
            assert await program.stop() == 0

    run(test())


def test_a_reader_is_asked_for_its_load_before_a_request_goes_to_it(tmp_path):
    async def play(call, writer):
        if call[0].startswith("GET /stats"):
            writer.write(message("HTTP/1.1 200 OK", b"inflight=7,queue=2,x1=0.5"))
        elif call[0].startswith("POST /v1/chat"):
            writer.write(message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}'))
        else:
            writer.write(message("HTTP/1.1 204 No Content"))

    async def answer(call, writer):
        if call[0].startswith("POST /v1/chat"):
            writer.write(STREAM + chunk(EVENT) + chunk(DONE) + b"0\r\n\r\n")
        else:
            writer.write(message("HTTP/1.1 409 Conflict"))

    async def test():
        settings = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "probes": True}}
        async with StandInServer(play) as reader, StandInServer(answer) as writer:
            entries = [
                registry_entry("r1", reader.address, "prefill"),
                registry_entry("w1", writer.address, "decode"),
            ]
            async with running_router(tmp_path, entries, settings=settings) as program:
                got = await program.exchange(chat_request())
                assert got[0] == "HTTP/1.1 200 OK"
                assert [call[0].split()[1] for call in reader.calls[:2]] == ["/stats", "/v1/chat/completions"]
                assert not await program.faults()

    asyncio.run(test())


def test_an_endpoint_that_gives_no_report_still_gets_its_work(tmp_path):
    async def play(call, writer):
        if call[0].startswith("GET /stats"):
            await asyncio.sleep(60)
        elif call[0].startswith("POST /v1/chat"):
            writer.write(message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}'))

    async def test():
        settings = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "probes": True}}
        async with StandInServer(play) as reader, StandInServer(play) as writer:
            entries = [
                registry_entry("r1", reader.address, "prefill"),
                registry_entry("w1", writer.address, "decode"),
            ]
            async with running_router(tmp_path, entries, settings=settings) as program:
                asked = asyncio.ensure_future(program.exchange(chat_request()))
                await reader.wait_for("POST /v1/chat")
                asked.cancel()
                assert not await program.faults()

    asyncio.run(test())


@pytest.mark.parametrize(
    "behind",
    [
        [chat_request(f"more{n}") for n in range(60)],
        [chat_request(f"large{n}", body=b'{"a":"' + b"a" * 250_000 + b'"}') for n in range(2)],
    ],
    ids=["many requests", "large bodies"],
)
def test_a_client_that_leaves_is_noticed_though_bytes_of_its_wait_unread(tmp_path, behind):
    async def test():
        async with router_with_endpoints(tmp_path, read=never_prefill, write=hang) as program:
            _, client = await program.connect()
            client.write(chat_request("r1"))
            await program.reader.wait_for("POST")
            client.write(b"".join(behind))
            await within(client.drain())
            await asyncio.sleep(0.2)
            client.close()
            await within(program.reader.closed.get(), 1)
            await asyncio.sleep(0.3)
            posts = program.reader.named("POST /v1/chat") + program.writer.named("POST /v1/chat")
            assert {call[1]["x-correlation-id"] for call in posts} == {"r1"}, "nothing more is sent for it"
            assert not await program.faults()

    run(test())


def test_sigterm_ends_resting_connections_without_a_reset_and_serves_what_comes_in_pieces(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            rests, resting = await program.connect()
            resting.write(chat_request("first"))
            assert (await within(read_message(rests)))[0].endswith("200 OK")
            pieces, slow = await program.connect()
            slow.write(chat_request("pieces")[:40])
            await asyncio.sleep(0.1)
            program.process.send_signal(signal.SIGTERM)
            assert await within(rests.read()) == b"", "its end is told"
            for data in (chat_request("crossed"), b"more"):  # in the very moment of the close
                resting.write(data)
                await asyncio.sleep(0.1)
            slow.write(chat_request("pieces")[40:])
            answer = await within(read_message(pieces))
            assert answer[0].endswith("200 OK") and answer[1]["connection"] == "close"
            kept = resting.transport.get_extra_info("socket")
            assert kept.getsockopt(SOL_SOCKET, SO_ERROR) == 0, "no reset"
            resting.close()
            slow.close()
            assert await within(program.process.wait()) == 0
            ids = [call[1]["x-correlation-id"] for call in program.reader.named("POST /v1/chat")]
            assert ids == ["first", "pieces"], "what comes after the end is not taken"

    run(test())


def test_sigterm_passes_a_stream_on_to_its_end_though_its_client_sent_more(tmp_path):
    begun, go_on = asyncio.Event(), asyncio.Event()

    async def pauses(call, writer):
        writer.write(STREAM + chunk(EVENT))
        begun.set()
        await go_on.wait()
        writer.write(chunk(EVENT) * 200 + chunk(USAGE + DONE) + b"0\r\n\r\n")

    async def test():
        async with router_with_endpoints(tmp_path, write=pauses) as program:
            answers, client = await program.connect()
            client.write(chat_request("r1"))
            await within(begun.wait())
            program.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.8)
            client.write(b"x" * 300_000)
            go_on.set()
            assert (await within(read_message(answers)))[2] == EVENT * 201 + USAGE + DONE
            assert await within(answers.read()) == b"", "an end, not a reset"
            client.close()
            assert await within(program.process.wait()) == 0

    run(test())


@pytest.mark.parametrize("silent", [True, False], ids=["silent", "refused"])
def test_a_conductor_is_ready_and_serves_from_what_was_known_while_discovery_is_down(tmp_path, silent):
    async def test():
        async with StandInServer(hang) as agent:
            gone = agent.address if silent else f"127.0.0.1:{free_port()}"
            async with router_with_endpoints(tmp_path, discovery=gone) as program:
                answer = await program.exchange(message("GET /health/ready HTTP/1.1", Host="h"))
                assert answer[0].endswith("200 OK")
                assert (await program.exchange(chat_request()))[0].endswith("200 OK")
                await program.wait_for_log("discovery_lost")
                assert (await program.exchange(chat_request("r2")))[0].endswith("200 OK")

    run(test())


def test_idle_clients_up_to_the_limit_with_discovery_down_leave_room_for_requests(tmp_path):
    sockets = 96

    async def test():
        async with StandInServer(hang) as agent:
            limits = {"memory_mb": 192, "sockets": sockets}
            async with router_with_endpoints(tmp_path, discovery=agent.address, limits=limits) as program:
                idle = []
                for _ in range(4):
                    idle += await asyncio.gather(*(program.connect() for _ in range(60)))
                    held = len(os.listdir(f"/proc/{program.process.pid}/fd"))
                    assert held <= sockets
                await asyncio.sleep(0.5)
                for n in range(5):
                    assert (await program.exchange(chat_request(f"r{n}")))[0].endswith("200 OK")
                for _, client in idle:
                    client.close()
                assert not await program.faults()

    run(test())
