"""Removal of a request that is closed and has no resources left to release."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import timedelta

from llm_router.lifecycle import effects
from llm_router.lifecycle.invariants import check_release_planned
from llm_router.lifecycle.kv_lease import LeaseState
from llm_router.lifecycle.releases import advance_release
from llm_router.lifecycle.state import RouterState


def complete_request(state: RouterState, now: timedelta, request_id: str) -> Iterator[effects.Effect]:
    """Advance the release of a request, and remove the request once it is complete.

    A request is complete if it is closed, no attempt runs, and its KV lease is finished. Every handler of an
    event about a request ends with this call."""
    request = state.requests.get(request_id)
    if request is None:
        return
    if request.only_lease_remains and request.lease.state is LeaseState.AVAILABLE:
        request.lease.abandon(now)
    yield from advance_release(state, now, request)
    request.record_lease_state(now)
    yield from check_release_planned(state, now, request)
    if not request.only_lease_remains:
        return
    idempotency_key = request.received.idempotency_key
    if idempotency_key:
        state.idempotency_registry.end(idempotency_key, now, request.may_have_run)
    if request.lease.is_finished:
        del state.requests[request_id]
