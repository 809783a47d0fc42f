"""Checks the memory budget, and what a client is told whose request head does not fit into it."""

import asyncio

from stand_ins import chat_request, router_with_endpoints, run, within

from llm_router.transport.memory_budget import MemoryBudget, MemoryShare

LARGE_HEAD_SIZE = 12_000  # bytes; below the limit, but above what every connection may hold


def test_a_share_above_its_allowance_may_not_grow_while_the_budget_is_exceeded():
    budget = MemoryBudget(100)
    first, second = MemoryShare(budget, allowance=10), MemoryShare(budget, allowance=10)
    assert first.resize(110) and not first.resize(111)
    assert second.resize(10) and not second.resize(11)
    first.release()
    assert second.resize(110)


def test_a_part_is_limited_by_its_share_and_by_the_whole_budget():
    whole = MemoryBudget(90)
    half, other = whole.part(0.5), whole.part(1.0)
    held = MemoryShare(half)
    assert held.resize(45) and not held.resize(46)
    held.resize(45)
    assert not MemoryShare(other).resize(46)
    whole.resize(200)
    assert half.capacity == 100 and held.resize(100)


def head_of_size(size):
    """Return the start of a request head with `size` bytes of header lines, without its end."""
    head = chat_request().partition(b"\r\n\r\n")[0]
    return head + b"".join(b"\r\nX-%04d: " % number + b"x" * 90 for number in range(size // 100))


async def status_of(program, data):
    return (await program.exchange(data))[0].split()[1]


def test_a_head_over_the_limit_gets_431_and_one_below_it_is_served(tmp_path):
    async def test():
        async with router_with_endpoints(tmp_path) as program:
            served = head_of_size(10_000) + b"\r\n\r\n" + b'{"stream":true}'
            assert await status_of(program, served) == "200"
            lines = b"".join(b"X-%d: %s\r\n" % (number, b"x" * 8000) for number in range(5))
            assert await status_of(program, b"GET / HTTP/1.1\r\n" + lines) == "431"
            assert (await program.wait_for_log("request_malformed"))["status"] == 431

    run(test())


def test_large_heads_get_503_while_others_use_up_the_memory_and_small_ones_are_served(tmp_path):
    async def test():
        limits = {"memory_mb": 60, "sockets": 256}  # a megabyte for input
        async with router_with_endpoints(tmp_path, limits=limits) as program:
            waiting = [await program.connect() for _ in range(60)]
            for _, writer in waiting:
                writer.write(head_of_size(LARGE_HEAD_SIZE))
            answers = [asyncio.create_task(reader.read(12)) for reader, _ in waiting]
            await within(asyncio.wait(answers, return_when=asyncio.FIRST_COMPLETED))
            assert {task.result() for task in answers if task.done()} == {b"HTTP/1.0 503"}
            assert await status_of(program, chat_request()) == "200"
            for _, writer in waiting:
                writer.close()

    run(test())
