"""Case 2: heads that do not end, from some clients, take the router over its memory limit."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Coroutine
from pathlib import Path

from standins import (
    CHAT,
    LIMITS,
    Agent,
    Answer,
    Client,
    ModelServer,
    Record,
    RouterProcess,
    chat_request,
    main,
    start_fleet,
)

USUAL_CLIENTS = 8
BAD_CLIENTS = 120
BAD_FROM_S = 3.0  # seconds after the start of the load at which the bad clients come
SECONDS = 15.0  # how long all clients ask
HEADER_BYTES = 7000  # length of one header line of an endless head
OWED_S = 3.0  # time within which a bad client is owed an error or a close
CHECK_S = 0.02  # interval at which the platform reads the memory of the process


async def case(record: Record, trouble: bool) -> bool:
    """Return whether the router stayed within its memory limit and did not end."""
    kinds = ["prefill"] * 3 + ["decode"] * 3 + ["mixed"] * 2
    servers = [ModelServer(record, f"s-{number}", kind) for number, kind in enumerate(kinds)]
    agent = Agent(record)
    await start_fleet(agent, servers)
    router = RouterProcess(record, agent)
    try:
        await router.start()
        end = record.now + SECONDS
        numbers = itertools.count()
        platform = asyncio.create_task(enforce_memory_limit(record, router))
        others: list[Coroutine[object, object, object]]
        asking = [ask_until(record, router.listen, end, numbers) for _ in range(USUAL_CLIENTS)]
        if trouble:
            others = [send_endless_heads(record, router.listen, end) for _ in range(BAD_CLIENTS)]
        else:
            others = [ask_late(record, router.listen, end, numbers) for _ in range(BAD_CLIENTS)]
        crowd = [asyncio.create_task(each) for each in others]
        answers = await asyncio.gather(*asking)
        await asyncio.gather(*crowd)
        crashed = router.process.returncode is not None
        platform.cancel()
    finally:
        await router.stop()
    lost = [answer for each in answers for answer in each if answer.outcome in ("broken", "no answer")]
    record("unanswered", ids=[answer.request_id for answer in lost])
    print(f"killed for memory: {crashed}; requests of usual clients not answered: {len(lost)}")
    return not crashed


async def enforce_memory_limit(record: Record, router: RouterProcess) -> None:
    """Kill the process if it holds more than its limit, as the platform does."""
    peak = 0.0
    while router.process.returncode is None:
        held = memory_mb(router.process.pid)
        if held > peak + 5:
            peak = held
            record("memory", megabytes=round(held, 1))
        if held > LIMITS["memory_mb"]:
            record("killed_for_memory", megabytes=round(held, 1), limit=LIMITS["memory_mb"])
            router.process.kill()
            await router.process.wait()
        await asyncio.sleep(CHECK_S)


def memory_mb(pid: int) -> float:
    """Return the memory of a process that no file backs, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def send_endless_heads(record: Record, address: str, end: float) -> None:
    """Send a head that does not end, and the same again as soon as it is turned away."""
    await asyncio.sleep(BAD_FROM_S)
    start = f"POST {CHAT} HTTP/1.1\r\nHost: service.internal\r\n".encode()
    lines = b"".join(b"X-More-%d: %s\r\n" % (number, b"x" * HEADER_BYTES) for number in range(40))
    while record.now < end:
        try:
            client = await Client.connect(address)
        except OSError:
            return
        begun, sent = record.now, 0
        turned_away = asyncio.create_task(read_quietly(client))
        try:
            client.writer.write(start)
            while not turned_away.done() and record.now < begun + OWED_S:
                client.writer.write(lines)
                sent += len(lines)
                await asyncio.wait_for(client.writer.drain(), OWED_S)
                await asyncio.sleep(0)
        except (OSError, TimeoutError):
            pass
        turned_away.cancel()
        record("endless_head", sent=sent, seconds=round(record.now - begun, 3))
        client.writer.transport.abort()


async def read_quietly(client: Client) -> bytes:
    """Read the first bytes of an answer, or the end of the connection."""
    try:
        return await client.reader.read(1024)
    except OSError:
        return b""


async def ask_late(record: Record, address: str, end: float, numbers: itertools.count[int]) -> None:
    """Ask one usual request in place of the bad client's heads."""
    await asyncio.sleep(BAD_FROM_S)
    await ask_until(record, address, min(end, record.now + 0.1), numbers)


async def ask_until(record: Record, address: str, end: float, numbers: itertools.count[int]) -> list[Answer]:
    """Ask one request after the other on one connection; return the answers."""
    answers: list[Answer] = []
    client = await Client.connect(address)
    while record.now < end:
        request_id = f"q{next(numbers):06d}"
        class_name = random.choice(("rota-question", "shift-signup"))
        client.writer.write(chat_request(request_id, class_name))
        record("asked", id=request_id, service_class=class_name)
        answer = await client.read_answer(request_id)
        answers.append(answer)
        record("answered", id=request_id, outcome=answer.outcome, status=answer.status)
        if answer.outcome in ("broken", "no answer"):
            client.close()
            try:
                client = await Client.connect(address)
            except OSError:
                break
        await asyncio.sleep(random.uniform(0.05, 0.3))
    client.close()
    return answers


if __name__ == "__main__":
    main(case, Path(__file__).parent)
