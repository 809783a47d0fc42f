"""Internal errors of decisions: one request's error ends that request alone."""

import pytest
from policy_harness import MS

from llm_router.routing import actions
from llm_router.routing.errors import DecisionError

CHECK_PERIOD = 60 * MS  # longer than the interval of the periodic check
UNREADABLE_KEY = "\udcff"  # a byte of a header that is not valid UTF-8


@pytest.fixture
def waiting(harness, monkeypatch):
    """Return a harness whose requests "bad" and "good" wait for the periodic check."""
    with monkeypatch.context() as patch:
        patch.setattr(harness.policy.progress.path, "send_next", lambda _request: None)
        harness.submit("bad")
        harness.submit("good")
    return harness


# Guards against requests that never get an answer because a decision about another request fails.
def test_an_error_in_the_check_ends_its_own_request_and_the_others_are_sent(waiting, monkeypatch):
    path = waiting.policy.progress.path
    send_next = path.send_next

    def fail_for_bad(request):
        if request.request_id == "bad":
            raise RuntimeError("internal error")
        send_next(request)

    monkeypatch.setattr(path, "send_next", fail_for_bad)
    with pytest.raises(DecisionError) as failure:
        waiting.run_timers(waiting.now + CHECK_PERIOD)
    sent = [each.request_id for each in failure.value.actions if isinstance(each, actions.StartAttempt)]
    rejected = [each.request_id for each in failure.value.actions if isinstance(each, actions.RejectRequest)]
    assert (sent, rejected) == (["good"], ["bad"])
    assert list(waiting.policy.requests) == ["good"], "the failed request must leave the table"


# Guards against requests that wait until their deadline because an error has ended the periodic check.
def test_the_periodic_check_goes_on_after_an_error(waiting, monkeypatch):
    with monkeypatch.context() as patch:
        patch.setattr(waiting.policy.silence, "check", lambda _waiting: 1 / 0)
        with pytest.raises(DecisionError) as failure:
            waiting.run_timers(waiting.now + CHECK_PERIOD)
    (check,) = [each for each in failure.value.actions if isinstance(each, actions.SetTimer)]
    waiting.timers.append((check.at, check.timer_id))
    waiting.run_timers(waiting.now + CHECK_PERIOD)
    assert [each.request_id for each in waiting.actions_of(actions.StartAttempt)] == ["bad", "good"]


def test_an_error_of_an_events_handler_ends_its_request(harness, monkeypatch):
    monkeypatch.setattr(harness.policy.popularity, "record", lambda _prefix: 1 / 0)
    with pytest.raises(DecisionError) as failure:
        harness.submit("bad")
    assert [type(each) for each in failure.value.actions] == [actions.RejectRequest]
    assert not harness.policy.requests


# Guards against a decision that fails because a client's key cannot be encoded as UTF-8.
@pytest.mark.parametrize("key", ["session", "prefix"])
def test_a_key_that_utf_8_cannot_encode_is_hashed(harness, key):
    harness.submit("r", **{key: UNREADABLE_KEY})
    assert len(harness.attempted_endpoints()) == 1
