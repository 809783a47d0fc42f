"""A randomized fault soak: real conductors on loopback, troubles that overlap, and the oracle's verdict.

    python -m llm_router.emulator.soak --seed 1 --seconds 30 --conductors 10

The seed draws the traffic and the troubles; processes and sockets are real, so two runs are alike and not the
same. Ends with status 1 where a rule was broken, and prints each break with the troubles of its time."""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from llm_router.emulator.clients import Clients
from llm_router.emulator.conductors import Conductor
from llm_router.emulator.discovery import Registry
from llm_router.emulator.endpoints import Endpoint, Mood
from llm_router.emulator.oracle import Break, Effect, Oracle

CLASSES = {"lookup": Effect.SAFE, "booking": Effect.UNSAFE}
DEADLINE_S = 4.0
RELEASE_WITHIN, DRAIN_GRACE = 0.3, 1.0  # seconds
COLD, COLD_SHARE, OVERLOAD, FALL = 3.0, 0.3, 2.5, 1.0  # seconds and shares
ENDPOINTS_OF_KIND = 4
BETWEEN = (0.2, 1.2)  # seconds between the beginnings of two troubles
LASTS = (0.1, 2.5)  # seconds that a trouble lasts
SETTLE = 8.0  # seconds for all to end once the troubles are over
SHOWN_BEFORE = 4.0  # seconds of troubles that are shown with a break
NS = 1_000_000_000
PLANS = (  # of system calls that fail in a conductor
    {},
    {"calls": [{"call": "connect", "errors": ["EADDRNOTAVAIL", "ENOBUFS", "EAGAIN", "EINTR"], "one_in": 15}]},
    {"calls": [{"call": "socket", "errors": ["EMFILE", "ENFILE", "ENOMEM"], "one_in": 15}]},
    {"calls": [{"call": "accept", "errors": ["ENFILE", "ENOBUFS", "EPROTO", "EPERM"], "one_in": 6}]},
    {"calls": [{"call": "send", "errors": ["ENOBUFS", "EAGAIN", "EINTR"], "one_in": 15}]},
    {"wall_clock_offset_s": 3600},
    {"wall_clock_offset_s": -3600},
)


def settings(conductors: int, position: int, ahead: bool) -> dict:
    """Give the settings of one conductor."""
    lanes = [
        {"name": name, "target": NS, "hard_limit": int(DEADLINE_S * NS), "idempotency": effect.value}
        for name, effect in CLASSES.items()
    ]
    return {
        "kinds": ["prefill", "decode"],
        "tick": 2_000_000,
        "my_zone": "z",
        "balancers": conductors,
        "position": position,
        "lanes": lanes,
        "allowed": {
            "attempts_cap": 4,
            "cancel": True,
            "retry_after": True,
            "max_retry_after": NS,
            "connect_timeout": NS // 4,
            "conn_idle": 15 * NS,
        },
        "family_info": {
            "ahead": ahead,
            "local_read": False,
            "duty_by_kind": ["read", "write"],
            "release_within": int(RELEASE_WITHIN * NS),
            "memory_tokens": [200_000, 150_000],
        },
        "rules": {
            "drain_grace": int(DRAIN_GRACE * NS),
            "cold": int(COLD * NS),
            "cold_share": COLD_SHARE,
            "overload_factor": OVERLOAD,
            "fall": int(FALL * NS),
        },
    }


class Soak:
    """One soak over one fleet."""

    def __init__(self, seed: int, conductors: int, rate: float, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.rate = rate
        self.oracle = Oracle(RELEASE_WITHIN, DRAIN_GRACE)
        self.registry = Registry(self.oracle)
        self.ahead = self.rng.random() < 0.6
        self.conductors = [
            Conductor(self.oracle, self.registry, folder, f"n{n}", settings(conductors, n, self.ahead))
            for n in range(conductors)
        ]
        self.clients = [
            Clients(self.oracle, each, CLASSES, self.rng.getrandbits(32)) for each in self.conductors
        ]
        self.endpoints: list[Endpoint] = []
        self.steady: list[Endpoint] = []  # one of each kind that stays well: somebody can always be reached
        self.busy: set[object] = set()  # what a trouble holds at present
        self.history: list[tuple[float, float, str]] = []
        self.tasks: set[asyncio.Task] = set()
        self.numbers = 0
        self.troubles: dict[str, Callable[[float], Awaitable[str | None]]] = {
            "mood": self.change_mood,
            "cut": self.cut_off,
            "refuse": self.refuse,
            "reset": self.reset,
            "replace": self.replace,
            "outage": self.discovery_outage,
            "crowd": self.crowd_discovery,
            "watch reset": self.reset_watches,
            "restart": self.restart,
            "kill": self.kill,
            "stop": self.stop_for_a_moment,
            "reload": self.reload,
            "log stalls": self.stall_log,
            "log closes": self.close_log,
        }

    def spawn(self, work: Awaitable) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def add_endpoint(self, kind: str) -> Endpoint:
        """Start another endpoint."""
        self.numbers += 1
        name = f"{kind[0]}{self.numbers}"
        endpoint = Endpoint(self.oracle, name, kind, random.Random(self.rng.getrandbits(32)))
        await endpoint.start()
        self.endpoints.append(endpoint)
        return endpoint

    async def run(self, seconds: float) -> list[Break]:
        """Play, and give the broken rules."""
        self.spawn(self.oracle.measure_lag())
        for kind in ("prefill", "decode"):
            fleet = [await self.add_endpoint(kind) for _ in range(ENDPOINTS_OF_KIND)]
            self.steady.append(fleet[0])
            await self.registry.put(*(each.entry() for each in fleet))
        for conductor in self.conductors:
            conductor.plan = {"seed": self.rng.getrandbits(16), **self.rng.choice(PLANS)}
        await asyncio.gather(*(conductor.start() for conductor in self.conductors))
        coming = [asyncio.ensure_future(each.arrive(self.rate)) for each in self.clients]
        end = self.oracle.now + seconds
        while self.oracle.now < end:
            self.oracle.judge_all()
            await asyncio.sleep(self.rng.uniform(*BETWEEN))
            self.spawn(self.trouble(self.rng.choice(list(self.troubles)), self.rng.uniform(*LASTS)))
        for each in coming:
            each.cancel()
        await self.settle()
        await asyncio.gather(*(each.stop() for each in self.conductors if each.process.returncode is None))
        for endpoint in self.endpoints:
            await endpoint.stop()
        for task in list(self.tasks):
            task.cancel()
        return self.oracle.breaks

    async def settle(self) -> None:
        """Let troubles and requests end, and judge what is held meanwhile."""
        end = self.oracle.now + SETTLE
        while self.oracle.now < end:
            await asyncio.sleep(0.05)
            self.oracle.judge_all()

    async def trouble(self, name: str, seconds: float) -> None:
        """Play one trouble and note when it was."""
        begun = self.oracle.now
        at = len(self.history)
        self.history.append((begun, float("inf"), name))
        what = await self.troubles[name](seconds)
        self.history[at] = (begun, self.oracle.now, f"{name} {what}" if what else "")

    def draw(self, found: list) -> object | None:
        """Draw what no other trouble holds."""
        free = [each for each in found if each not in self.busy]
        return self.rng.choice(free) if free else None

    def draw_endpoint(self) -> Endpoint | None:
        """Draw an endpoint that may be troubled."""
        return self.draw([each for each in self.endpoints if each not in self.steady])

    def draw_conductor(self) -> Conductor | None:
        """Draw a conductor that serves."""
        return self.draw([each for each in self.conductors if each.ready])

    # --- troubles: each gives what it troubled, None where nothing was to be had

    async def change_mood(self, seconds: float) -> str | None:
        """Let an endpoint hang, turn away, fail, break or spoil its answers for a while."""
        if (endpoint := self.draw_endpoint()) is None:
            return None
        self.busy.add(endpoint)
        mood = self.rng.choice([mood for mood in Mood if mood is not Mood.WELL])
        endpoint.set_mood(mood)
        await asyncio.sleep(seconds)
        endpoint.set_mood(Mood.WELL)
        self.busy.discard(endpoint)
        return f"{endpoint.name} {mood.name}"

    async def cut_off(self, seconds: float) -> str | None:
        """Cut an endpoint off: nothing passes, and connections are reset when it is back."""
        if (endpoint := self.draw_endpoint()) is None:
            return None
        self.busy.add(endpoint)
        endpoint.proxy.gate.clear()
        self.oracle.cut[endpoint.name] = float("inf")
        await asyncio.sleep(seconds)
        self.oracle.cut[endpoint.name] = self.oracle.now
        if self.rng.random() < 0.5:
            endpoint.proxy.reset()
        endpoint.proxy.gate.set()
        self.busy.discard(endpoint)
        return endpoint.name

    async def refuse(self, seconds: float) -> str | None:
        """Let an endpoint refuse new connections."""
        if (endpoint := self.draw_endpoint()) is None:
            return None
        self.busy.add(endpoint)
        endpoint.proxy.refuse()
        await asyncio.sleep(seconds)
        await endpoint.proxy.listen()
        self.busy.discard(endpoint)
        return endpoint.name

    async def reset(self, seconds: float) -> str | None:
        """Reset an endpoint's connections."""
        if (endpoint := self.draw_endpoint()) is None:
            return None
        endpoint.proxy.reset()
        return endpoint.name

    async def replace(self, seconds: float) -> str | None:
        """Let a new, cold endpoint join, and another one drain, go and end."""
        if (old := self.draw_endpoint()) is None:
            return None
        self.busy.add(old)
        new = await self.add_endpoint(old.kind)
        self.busy.add(new)
        calls = len(self.conductors) * self.rate / ENDPOINTS_OF_KIND * FALL
        new.allowed, new.fall = OVERLOAD * COLD_SHARE * calls, FALL
        new.cold_until = self.oracle.now + COLD
        entries = new.entry(int(time.time() * 1000)), old.entry(status="Terminating")
        await self.registry.put(*entries)
        await asyncio.sleep(max(seconds, COLD))
        self.busy.discard(new)
        await self.registry.put(old.entry(status="Gone"))
        await asyncio.sleep(seconds)
        self.endpoints.remove(old)
        await old.stop()
        return f"{old.name} by {new.name}"

    async def discovery_outage(self, seconds: float) -> str | None:
        """Let all agents be silent."""
        if not self.registry.available.is_set():
            return None
        self.registry.available.clear()
        await asyncio.sleep(seconds)
        self.registry.available.set()
        return "discovery"

    async def crowd_discovery(self, seconds: float) -> str | None:
        """Let agents answer late."""
        for conductor in self.conductors:
            conductor.agent.delay = self.rng.uniform(0, 0.9)
        await asyncio.sleep(seconds)
        for conductor in self.conductors:
            conductor.agent.delay = 0.0
        return "discovery"

    async def reset_watches(self, seconds: float) -> str | None:
        """Reset the watches that are open."""
        for conductor in self.conductors:
            if self.rng.random() < 0.5:
                conductor.agent.reset()
        return "watches"

    async def restart(self, seconds: float) -> str | None:
        """Restart a conductor as planned, with other system calls that fail."""
        if (conductor := self.draw_conductor()) is None:
            return None
        self.busy.add(conductor)
        await conductor.stop()
        conductor.plan = {"seed": self.rng.getrandbits(16), **self.rng.choice(PLANS)}
        await conductor.start()
        self.busy.discard(conductor)
        return conductor.name

    async def kill(self, seconds: float) -> str | None:
        """Kill a conductor and start it anew."""
        if (conductor := self.draw_conductor()) is None:
            return None
        self.busy.add(conductor)
        await conductor.kill()
        await conductor.start()
        self.busy.discard(conductor)
        return conductor.name

    async def stop_for_a_moment(self, seconds: float) -> str | None:
        """Hold a conductor up for up to 0.15 s."""
        if (conductor := self.draw_conductor()) is None:
            return None
        conductor.signal(signal.SIGSTOP)
        await asyncio.sleep(min(seconds, 0.14))
        conductor.signal(signal.SIGCONT)
        return conductor.name

    async def reload(self, seconds: float) -> str | None:
        """Give a conductor a new configuration, which moves discovery, once or twice in a row."""
        if (conductor := self.draw_conductor()) is None:
            return None
        self.busy.add(conductor)
        for _ in range(self.rng.choice([1, 1, 2])):
            await conductor.reload()
        self.busy.discard(conductor)
        return conductor.name

    async def stall_log(self, seconds: float) -> str | None:
        """Leave a conductor's log unread."""
        if (conductor := self.draw_conductor()) is None:
            return None
        conductor.reads_log.clear()
        await asyncio.sleep(seconds)
        conductor.reads_log.set()
        return conductor.name

    async def close_log(self, seconds: float) -> str | None:
        """Close the reading end of a conductor's log for good."""
        if (conductor := self.draw_conductor()) is None:
            return None
        conductor.process._transport.get_pipe_transport(2).close()
        return conductor.name

    def around(self, at: float) -> str:
        """Give the troubles shortly before a moment, each with when it began and ended from there."""
        near = (each for each in self.history if each[0] <= at and each[1] >= at - SHOWN_BEFORE)
        return ", ".join(
            f"{what} {begun - at:+.2f}..{ended - at:+.2f}" for begun, ended, what in near if what
        )


async def soak(seed: int, seconds: float, conductors: int, rate: float) -> bool:
    """Run one soak, print its verdict, and tell whether all rules were kept."""
    # Connections that are open at the end are cancelled with the loop, which is no fault.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    with tempfile.TemporaryDirectory() as folder:
        play = Soak(seed, conductors, rate, Path(folder))
        breaks = await play.run(seconds)
    events: Counter[str] = sum((each.events for each in play.conductors), Counter())
    print(f"seed {seed}: ahead={play.ahead} {dict(play.oracle.counts)}")
    print(f"  log: {dict(events)}")
    for each in breaks:
        print(f"  BROKEN {each.rule.value} {each.who}: {each.what} [{play.around(each.since)}]")
    print(f"seed {seed}: {len(breaks)} broken", flush=True)
    return not breaks


def main(arguments: list[str]) -> int:
    """Run soaks of one or more seeds."""
    parser = argparse.ArgumentParser(prog="llm_router.emulator.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds in a row")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--conductors", type=int, default=10)
    parser.add_argument("--rate", type=float, default=5, help="requests a second to each conductor")
    told = parser.parse_args(arguments)
    kept = [
        asyncio.run(soak(seed, told.seconds, told.conductors, told.rate))
        for seed in range(told.seed, told.seed + told.seeds)
    ]
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
