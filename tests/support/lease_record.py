"""Record what stand-in endpoints hold for requests, and check the release timeout by it alone.

The record follows the protocol page: a call counts from its last byte at an endpoint that runs; a completed
prefill leaves its KV state; a decode endpoint consumes all that is leased with its first token; a release
frees what no attempt waits for. While no attempt is in flight, nothing may stay leased for longer than the
release timeout and 300 ms more. The router's own view is never used."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from time_limits import within

LEASE_SLACK = 0.3  # seconds that something may be leased beyond the release timeout
CHECK_INTERVAL = 0.02  # seconds between two checks while something is leased


@dataclass(slots=True)
class RequestLeases:
    """What endpoints hold for one request, and its attempts in flight."""

    leased: set[str] = field(default_factory=set)
    ever_leased: set[str] = field(default_factory=set)
    answered: bool = False  # a decode endpoint has begun its stream
    prefills: int = 0  # in flight
    decodes: int = 0  # in flight
    timer_started_at: float | None = None  # None while the release timeout does not run

    @property
    def has_kv_state(self) -> bool:
        """Return whether the KV state of a prefill waits."""
        return any(resource.startswith("KV state") for resource in self.leased)

    @property
    def has_attempt_in_flight(self) -> bool:
        """Return whether an endpoint works on an attempt."""
        return self.prefills > 0 or self.decodes > 0


class LeaseRecord:
    """The record of all requests, and the violations of the release timeout found so far."""

    def __init__(self, release_timeout: float) -> None:
        """Take the release timeout of the settings in seconds."""
        self.requests: dict[str, RequestLeases] = {}
        self.changed = asyncio.Condition()
        self._limit = release_timeout + LEASE_SLACK
        self._violations: list[str] = []

    def of(self, request_id: str) -> RequestLeases:
        """Return the record of one request."""
        return self.requests.setdefault(request_id, RequestLeases())

    @asynccontextmanager
    async def changing(self, request_id: str, restart_timer: bool = False) -> AsyncIterator[RequestLeases]:
        """Change the record of a request in the block.

        `restart_timer` is for an outcome or a reservation, from which the release timeout starts anew."""
        request = self.of(request_id)
        now = asyncio.get_running_loop().time()
        self._check(request_id, now)
        yield request
        request.ever_leased |= request.leased
        if not request.leased or request.has_attempt_in_flight:
            request.timer_started_at = None
        elif request.timer_started_at is None or restart_timer:
            request.timer_started_at = now
        await self.notify()

    async def notify(self) -> None:
        """Wake who waits for a condition."""
        async with self.changed:
            self.changed.notify_all()

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition on the record or on an endpoint is true."""
        async with self.changed:
            await within(self.changed.wait_for(condition))

    async def final_violations(self) -> list[str]:
        """Return the violations, once every attempt has ended and every lease has ended or expired."""
        loop = asyncio.get_running_loop()
        requests = self.requests.values()
        await self.wait_until(lambda: not any(request.has_attempt_in_flight for request in requests))
        while any(request.timer_started_at is not None for request in requests):
            await asyncio.sleep(CHECK_INTERVAL)
            for request_id in self.requests:
                self._check(request_id, loop.time())
            if self._violations:
                break
        return self._violations

    def _check(self, request_id: str, now: float) -> None:
        """Record a violation where the release timeout is over."""
        request = self.of(request_id)
        if request.timer_started_at is None:
            return
        age = now - request.timer_started_at
        if age > self._limit:
            self._violations.append(f"{request_id}: {sorted(request.leased)} leased for {age:.3f} s")
            request.timer_started_at = now
