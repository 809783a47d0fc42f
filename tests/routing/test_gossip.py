"""Gossip between router instances about slow, overloaded and failed endpoints."""

from policy_harness import FLEET, MS, PREFILL_A, PREFILL_B, PolicyHarness, S, entry

from llm_router.routing import actions, events
from llm_router.routing.events import AttemptStatus
from llm_router.routing.settings import TenantSettings


def harness_with_slow_endpoint(**changes):
    """Serve 12 requests, the last with a slow first token.

    Return the harness, the endpoint of the last request and the gossip sent at its first token."""
    harness = PolicyHarness(
        fleet=(FLEET[0], *(entry(200 + n, "decode") for n in range(3))), reservations=True, **changes
    )
    for number in range(12):
        harness.submit(f"r{number}")
        harness.handle(events.ReservationResult(f"r{number}", 0, PREFILL_A, reserved=True))
        harness.end_attempt(AttemptStatus.PREFILLED, PREFILL_A, f"r{number}")
        decode_endpoint = harness.attempted_endpoints()[0]
        is_slow = number == 11
        harness.first_token(decode_endpoint, f"r{number}", after=(150 if is_slow else 10) * MS)
        gossip = harness.actions_of(actions.SendGossip)
        harness.end_attempt(AttemptStatus.OK, decode_endpoint, f"r{number}", 1, after=S, request_closed=True)
    return harness, decode_endpoint, gossip


def test_decode_endpoint_with_slow_first_token_is_avoided():
    harness, slow, _ = harness_with_slow_endpoint(gossip=True)
    for number in range(20):
        harness.submit(f"n{number}", session="other")
        assert harness.actions_of(actions.Reserve)[0].endpoint_id != slow
        harness.disconnect(f"n{number}")


def test_no_gossip_is_sent_unless_settings_allow_it(harness):
    assert harness_with_slow_endpoint()[2] == []
    harness.submit()
    harness.end_attempt(AttemptStatus.CONNECT_FAILED, harness.attempted_endpoints()[0])
    assert harness.actions_of(actions.SendGossip) == []


def test_gossip_of_a_slow_endpoint_is_applied_and_not_forwarded():
    _, slow, gossip = harness_with_slow_endpoint(gossip=True)
    harness = PolicyHarness(
        fleet=(FLEET[0], *(entry(200 + n, "decode") for n in range(3))), reservations=True, gossip=True
    )
    assert len(gossip) == 1 and gossip[0].recipient is None
    harness.handle(events.GossipReceived(3, gossip[0].data))
    assert harness.actions == []  # The gossip is not forwarded.
    for number in range(20):
        harness.submit(f"n{number}")
        assert harness.actions_of(actions.Reserve)[0].endpoint_id != slow
        harness.disconnect(f"n{number}")


def test_overload_gossip_applies_to_its_tenant_only_and_expires():
    one, other = PolicyHarness(gossip=True), PolicyHarness(gossip=True)
    one.submit(tenant="small")
    prefill_endpoint = one.attempted_endpoints()[0]
    one.end_attempt(AttemptStatus.OVERLOADED, prefill_endpoint)
    message = one.actions_of(actions.SendGossip)[0].data
    other_version, corrupted = b"\x02" + message[1:], message[:1] + b"c" + message[2:]
    for invalid in (b"", message[:-1], message + b"x", other_version, corrupted, bytes(len(message))):
        other.handle(events.GossipReceived(0, invalid))
    other.submit("before", tenant="small", session="r")
    assert other.attempted_endpoints() == [prefill_endpoint]
    other.disconnect("before")
    other.handle(events.GossipReceived(0, message))
    other.submit("theirs", tenant="small", session="r")
    other.submit("others", tenant="large", session="r")
    assert other.attempted_endpoints() == [prefill_endpoint]
    attempts = other.policy.requests["theirs"].open_attempts
    assert [attempt.endpoint.entry.endpoint_id for attempt in attempts] != [prefill_endpoint]
    for request in ("theirs", "others"):
        other.disconnect(request)
    other.submit("after", tenant="small", session="r", after=10 * S)
    assert other.attempted_endpoints() == [prefill_endpoint]


def test_gossip_of_a_failed_endpoint_ejects_it():
    one, other = PolicyHarness(gossip=True), PolicyHarness(gossip=True)
    one.submit()
    prefill_endpoint = one.attempted_endpoints()[0]
    one.end_attempt(AttemptStatus.CONNECT_FAILED, prefill_endpoint, after=200 * MS)
    other.handle(events.GossipReceived(0, one.actions_of(actions.SendGossip)[0].data))
    other.submit()
    assert other.attempted_endpoints() == [PREFILL_A + PREFILL_B - prefill_endpoint]


def test_endpoint_overloaded_for_one_tenant_still_serves_others():
    harness = PolicyHarness(tenants=(TenantSettings("a"), TenantSettings("b")))
    harness.submit("r1", session="p", tenant="a")
    first = harness.attempted_endpoints()[0]
    harness.end_attempt(AttemptStatus.OVERLOADED, first, "r1", after=3 * MS)
    assert harness.attempted_endpoints() and first not in harness.attempted_endpoints()
    harness.disconnect("r1")
    harness.submit("r2", session="p", tenant="a")
    assert first not in harness.attempted_endpoints()
    harness.submit("r3", session="p", tenant="b")
    assert harness.attempted_endpoints() == [first]
