"""Settings and requests for tests of the platform's protocol."""

from llm_router.emulator.http import message

FACTS = "prompt_len=100,max_out=20"
SETTINGS = {
    "kinds": ["prefill", "decode"],
    "tick": 2000000,
    "my_zone": "z",
    "balancers": 1,
    "position": 0,
    "lanes": [
        {"name": "lookup", "target": 1200000000, "hard_limit": 5000000000, "idempotency": "pure"},
        {"name": "booking", "target": 2500000000, "hard_limit": 9000000000, "idempotency": "side_effect"},
    ],
    "allowed": {
        "attempts_cap": 4,
        "cancel": True,
        "retry_after": True,
        "max_retry_after": 1000000000,
        "connect_timeout": 250000000,
        "conn_idle": 15000000000,
    },
    "family_info": {
        "ahead": True,
        "local_read": False,
        "duty_by_kind": ["read", "write"],
        "release_within": 500000000,
        "memory_tokens": [200000, 150000],
    },
    "rules": {"drain_grace": 1000000000},
}


def chat_request(
    id="r1",  # noqa: A002 - tests pass the request id by this name
    cls="lookup",
    time_remaining_ms=4000,
    body=b'{"stream":true}',
    facts=FACTS,
    query="",
):
    """Return an encoded chat request with the given headers, query string and body."""
    return message(
        f"POST /v1/chat/completions{query} HTTP/1.1",
        body,
        Host="h",
        X_Correlation_Id=id,
        X_Service_Class=cls,
        X_Time_Left_Ms=time_remaining_ms,
        X_Facts=facts,
        X_Session_Key="s",
    )
