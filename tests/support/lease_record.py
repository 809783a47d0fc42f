"""A record of the KV state and reservations at stand-in endpoints, which checks the release time.

The record follows the protocol and does not use the state of the router. A call takes effect when its last
byte reaches a running endpoint. A completed prefill leaves its KV state. A decode endpoint consumes all
resources of a request with its first token. A release frees all resources that no attempt waits for. While
no attempt is in flight, no resource may stay leased for longer than the release time plus 300 ms."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from time_limits import within

LEASE_SLACK = 0.3  # seconds beyond the release time for which a resource may stay leased
CHECK_INTERVAL = 0.02  # seconds between two checks while a resource is leased


@dataclass(slots=True)
class RequestLeases:
    """The KV state and reservations of one request at all endpoints, and its attempts in flight."""

    leased: set[str] = field(default_factory=set)
    ever_leased: set[str] = field(default_factory=set)
    answered: bool = False  # a decode endpoint has started its response
    prefills: int = 0  # prefill attempts in flight
    decodes: int = 0  # decode attempts in flight
    timer_started_at: float | None = None  # start of the release time, or None while it does not run

    @property
    def has_kv_state(self) -> bool:
        """Whether an endpoint holds the KV state of a prefill."""
        return any(resource.startswith("KV state") for resource in self.leased)

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether an endpoint is running an attempt of the request."""
        return self.prefills > 0 or self.decodes > 0


class LeaseRecord:
    """The records of all requests, and the violations of the release time that were found."""

    def __init__(self, release_timeout: float) -> None:
        """Create an empty record; `release_timeout` is in seconds."""
        self.requests: dict[str, RequestLeases] = {}
        self.changed = asyncio.Condition()
        self._limit = release_timeout + LEASE_SLACK
        self._violations: list[str] = []

    def of(self, request_id: str) -> RequestLeases:
        """Return the record of one request."""
        return self.requests.setdefault(request_id, RequestLeases())

    @asynccontextmanager
    async def changing(self, request_id: str, restart_timer: bool = False) -> AsyncIterator[RequestLeases]:
        """Return a context manager in whose block the record of a request may be changed.

        `restart_timer` is true for an attempt outcome or a reservation, which restarts the release time."""
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
        """Wake the tasks that wait for a condition."""
        async with self.changed:
            self.changed.notify_all()

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition on the record or on an endpoint becomes true."""
        async with self.changed:
            await within(self.changed.wait_for(condition))

    async def final_violations(self) -> list[str]:
        """Wait until every attempt and lease has ended or a lease is overdue, and return the violations."""
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
        """Record a violation if the resources of a request have exceeded the release time."""
        request = self.of(request_id)
        if request.timer_started_at is None:
            return
        age = now - request.timer_started_at
        if age > self._limit:
            self._violations.append(f"{request_id}: {sorted(request.leased)} leased for {age:.3f} s")
            request.timer_started_at = now
