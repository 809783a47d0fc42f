"""An endpoint is told the time that a client has left as its request is written; a draining one gets none."""

import asyncio
import json
import socket
import threading
import time
from contextlib import suppress

import pytest
from stand_ins import (
    DONE,
    EVENT,
    SETTINGS,
    STREAM,
    LateListener,
    StandInServer,
    chat_request,
    chunk,
    decode,
    message,
    prefill,
    read_message,
    registry_entry,
    router_with_endpoints,
    running_router,
    within,
)

from llm_router.transport.arrival import Listener, Loop, input_since, looks


def patient(**allowed):
    """Give settings under which a connection may take three seconds to come up, and a server be silent."""
    lanes = [{**lane, "target": 8_000_000_000, "hard_limit": 20_000_000_000} for lane in SETTINGS["lanes"]]
    allowed = {**SETTINGS["allowed"], "connect_timeout": 3_000_000_000, **allowed}
    return {**SETTINGS, "lanes": lanes, "allowed": allowed}


def test_a_connection_that_comes_up_late_leaves_less_time_to_tell(tmp_path):
    told = []

    async def serve(reader, writer):
        with suppress(ConnectionError):
            while call := await read_message(reader):
                if call[0].startswith("POST /v1/chat"):
                    told.append(int(call[1]["x-time-left-ms"]))
                await prefill(call, writer)

    async def test():
        gate = LateListener()
        async with StandInServer(decode) as writer:
            entries = [
                registry_entry("r1", gate.address, "prefill"),
                registry_entry("w1", writer.address, "decode"),
            ]
            async with running_router(tmp_path, entries, settings=patient()) as program:
                asking = asyncio.ensure_future(program.exchange(chat_request(left=4000)))
                await asyncio.sleep(0.3)  # its first attempt to connect was dropped
                server = await gate.open(serve)
                assert (await within(asking))[0].split()[1] in ("200", "503")
                assert told[0] <= 4000 - 300
                server.close()

    asyncio.run(test())


def test_a_drain_told_while_a_connection_comes_up_withdraws_the_attempt(tmp_path):
    came = []

    async def serve(reader, writer):
        with suppress(ConnectionError):
            while call := await read_message(reader):
                came.append(call[0])
                await prefill(call, writer)

    async def test():
        gate = LateListener()
        async with StandInServer(prefill) as other, StandInServer(decode) as writer:
            entries = [
                registry_entry("r1", gate.address, "prefill"),
                registry_entry("w1", writer.address, "decode"),
            ]
            async with running_router(tmp_path, entries, settings=patient()) as program:
                asking = asyncio.ensure_future(program.exchange(chat_request(left=4000)))
                await asyncio.sleep(0.3)
                drained = [
                    {**entries[0], "status": "Terminating"},
                    registry_entry("r2", other.address, "prefill"),
                ]
                await program.discovery.publish([*drained, entries[1]])
                while (await program.wait_for_log("endpoint_list_updated"))["not_ready"] != {
                    "r1": "draining"
                }:
                    pass
                server = await gate.open(serve)
                assert (await within(asking))[0].split()[1] == "200"
                assert not [line for line in came if line.startswith("POST /v1/chat")]
                assert len(other.named("POST /v1/chat")) == 1
                server.close()

    asyncio.run(test())


def test_a_repeat_is_not_written_once_the_time_in_which_servers_drop_it_is_over(tmp_path):
    came = []

    async def serve(reader, writer):
        with suppress(ConnectionError):
            while call := await read_message(reader):
                came.append(call[0])
                await decode(call, writer)

    async def breaks(call, writer):
        if call[0].startswith("POST /v1/chat"):
            writer.close()  # the request came in whole: it may have run
        else:
            await decode(call, writer)

    window = {"idempotency": "token", "group": "all", "window": 700_000_000}
    told = patient()
    told["lanes"] = [{**told["lanes"][0], **window}]
    told["family_info"] = {**told["family_info"], "ahead": False, "release_within": 9_000_000_000}

    async def test():
        gate = LateListener()
        async with StandInServer(prefill) as reader, StandInServer(breaks) as writer:
            far = {**registry_entry("w2", gate.address, "decode"), "group": 2}
            entries = [
                registry_entry("r1", reader.address, "prefill"),
                registry_entry("w1", writer.address, "decode"),
                far,
            ]
            async with running_router(tmp_path, entries, settings=told) as program:
                asking = asyncio.ensure_future(program.exchange(chat_request(left=4000)))
                await writer.wait_for("POST /v1/chat")
                await asyncio.sleep(0.1)
                server = await gate.open(serve)  # it comes up when TCP tries again, after a second
                assert (await within(asking))[0].split()[1] in ("502", "503")
                assert not [line for line in came if line.startswith("POST /v1/chat")]
                server.close()

    asyncio.run(test())


def run(test):
    """Run a test on the program's own kind of loop."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(test)


@pytest.fixture
def listener():
    made = Listener(socket.AF_INET, socket.SOCK_STREAM)
    made.setblocking(False)
    made.bind(("127.0.0.1", 0))
    made.listen(64)
    with made:
        yield made


async def time_of_input(send_after):
    """Give since when a byte may have waited by the loop's account, and when it was sent."""
    loop = asyncio.get_running_loop()
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    seen, sent = loop.create_future(), []

    def read():
        ours.recv(1)
        seen.set_result(input_since(loop))

    def send():
        sent.append(time.monotonic())
        theirs.send(b"x")

    loop.add_reader(ours, read)
    await asyncio.sleep(0)
    send_after(loop, send)
    since = await within(seen)
    loop.remove_reader(ours)
    ours.close()
    theirs.close()
    return since, sent[0]


@pytest.fixture
def never_blocked(monkeypatch):
    """Let no look for input count as one that waited, however long a busy machine takes over it."""
    monkeypatch.setattr("llm_router.transport.arrival.BLOCKED", 60.0)


def test_input_that_came_while_the_loop_was_busy_counts_from_the_look_before(never_blocked):
    def busy(loop, send):
        send()
        time.sleep(0.05)

    since, sent = run(time_of_input(busy))
    assert since <= sent


def test_input_that_the_loop_waited_for_counts_from_its_coming():
    since, sent = run(time_of_input(lambda loop, send: threading.Timer(0.05, send).start()))
    assert since >= sent


def test_connections_left_in_the_queue_have_waited_since_it_began(listener):
    async def test():
        loop = asyncio.get_running_loop()
        clients = [socket.create_connection(listener.getsockname()) for _ in range(3)]
        await asyncio.sleep(0)
        first, _ = listener.accept()
        began = listener.waiting_since[first.fileno()]
        time.sleep(0.05)
        await asyncio.sleep(0)  # another look, after which the rest is accepted
        second, _ = listener.accept()
        assert listener.waiting_since[second.fileno()] == began
        third, _ = listener.accept()
        with pytest.raises(BlockingIOError):
            listener.accept()
        before = time.monotonic()
        await asyncio.sleep(0.02)
        late = socket.create_connection(listener.getsockname())
        fourth, _ = listener.accept()
        assert listener.waiting_since[fourth.fileno()] >= before and looks(loop) > 0
        for each in (*clients, late, first, second, third, fourth):
            each.close()

    run(test())


def test_nobody_has_waited_longer_than_a_full_queue_took_to_accept(listener, never_blocked):
    async def test():
        listener.listen(2)
        clients, accepted = [socket.create_connection(listener.getsockname())], []
        for _ in range(5):  # the queue never empties
            clients.append(socket.create_connection(listener.getsockname()))
            await asyncio.sleep(0)
            accepted.append(listener.accept()[0])
            time.sleep(0.02)
        waits = [listener.waiting_since[each.fileno()] for each in accepted]
        assert waits[0] == waits[1] < waits[3] < waits[4]
        for each in (*clients, *accepted):
            each.close()

    run(test())


def test_a_queue_that_the_loop_found_empty_between_two_connections_is_a_new_one(listener):
    async def test():
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()  # the loop stops here, not knowing that none is left
        await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        before = time.monotonic()
        await asyncio.sleep(0.01)
        late = socket.create_connection(listener.getsockname())
        second, _ = listener.accept()
        assert listener.waiting_since[second.fileno()] >= before
        for each in (client, accepted, late, second):
            each.close()

    run(test())


def test_requests_sent_ahead_count_from_when_they_came(tmp_path):
    """The second of two pipelined requests waits for the first one's answer, and its time runs meanwhile."""
    go_on, told = asyncio.Event(), {}

    async def write_first_late(call, writer):
        if call[0].startswith("POST /v1/chat"):
            if call[1]["x-correlation-id"] == "r1":
                await go_on.wait()
            writer.write(STREAM + chunk(EVENT) + chunk(DONE) + b"0\r\n\r\n")
        else:
            writer.write(message("HTTP/1.1 409 Conflict"))

    async def read_and_note(call, writer):
        if call[0].startswith("POST /v1/chat"):
            told[call[1]["x-correlation-id"]] = int(call[1]["x-time-left-ms"])
        await prefill(call, writer)

    async def test():
        async with router_with_endpoints(tmp_path, read=read_and_note, write=write_first_late) as program:
            reader, writer = await program.connect()
            writer.write(chat_request(id="r1", left=4000) + chat_request(id="r2", left=4000))
            await program.writer.wait_for("POST /v1/chat")
            waits = 0.4
            await asyncio.sleep(waits)
            go_on.set()
            for _ in range(2):
                assert (await within(read_message(reader)))[0].split()[1] == "200"
            assert told["r2"] <= 4000 - waits * 1000
            writer.close()

    asyncio.run(test())


def test_a_body_that_comes_late_counts_from_its_last_byte(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            reader, writer = await program.connect()
            data = chat_request(left=4000)
            writer.write(data[:-3])
            await asyncio.sleep(0.5)
            writer.write(data[-3:])
            assert (await within(read_message(reader)))[0].split()[1] == "200"
            (call,) = program.reader.named("POST /v1/chat")
            assert 3600 < int(call[1]["x-time-left-ms"]) <= 4000
            assert json.loads(call[2])
            writer.close()

    asyncio.run(test())
