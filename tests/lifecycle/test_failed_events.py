"""Internal errors: the effects that were decided before an error are performed."""

import pytest
from reducer_harness import MILLISECOND

from llm_router.lifecycle import effects, events, reducer
from llm_router.lifecycle.errors import EventError
from llm_router.routing import actions as routing_actions


# Guards against a request without an answer, and without a deadline, because a decision about it fails.
def test_a_request_whose_decision_fails_is_rejected_at_once_and_removed(lifecycle, monkeypatch):
    monkeypatch.setattr(lifecycle.state.policy.progress.path, "send_next", lambda _request: 1 / 0)
    received = events.RequestReceived("q", "safe", 2000, 100, 4000 * MILLISECOND, session="s")
    resulting = reducer.reduce(lifecycle.state, lifecycle.now, received)
    (line,) = [
        each for each in resulting if isinstance(each, effects.LogEvent) and not each.fields.get("reason")
    ]
    assert line.name == "decision_failed" and "ZeroDivisionError" in line.fields["error"]
    (rejection,) = [each for each in resulting if isinstance(each, effects.SendRejection)]
    assert (rejection.request_id, rejection.reason) == ("q", "internal_error")
    assert not lifecycle.state.requests and not lifecycle.state.policy.requests


# Guards against a second answer behind a stream that has started.
def test_a_request_whose_response_has_started_gets_no_answer_of_the_routers_own(lifecycle):
    lifecycle.submit()
    lifecycle.finish_prefill()
    lifecycle.feed(events.ResponseStarted("q", 1), MILLISECOND)
    lifecycle.state.policy.handle = lambda *_: [
        routing_actions.RejectRequest("q"),
        routing_actions.FailRequest("q"),
    ]
    lifecycle.feed(events.TimerFired(1))
    assert not lifecycle.effects_of(effects.SendRejection | effects.SendFailure)
    assert not lifecycle.state.requests["q"].is_closed


# Guards against a final answer that is recorded but never sent because a later step of its event fails.
def test_effects_before_an_error_are_returned_with_it(lifecycle, monkeypatch):
    answer = effects.SendFailure("q", "failed")

    def answer_and_fail(_state, _now, _event):
        yield answer
        raise ValueError("internal error")

    monkeypatch.setitem(reducer.HANDLERS, events.ClientDisconnected, answer_and_fail)
    with pytest.raises(EventError) as failure:
        reducer.reduce(lifecycle.state, lifecycle.now, events.ClientDisconnected("q"))
    assert failure.value.effects == [answer]
