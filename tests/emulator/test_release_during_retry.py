"""Check that KV state is released after a retried decode attempt fails as well.

The first decode attempt gets no response and is cancelled. A second attempt goes to another mixed endpoint.
A release call then frees no KV state, because the second attempt claims it. The acknowledgement of this call
must not count as proof that no KV state is leased. After the second attempt is cancelled as well, another
release must follow.

The report shows this five times, each as "ended 15.063: read", "ended 17.353: given up" and, 2 ms later,
"17.355 ... given up" until the deadline. No release fits into the 2 ms, because the router waits 15 ms before
a release."""

import pytest
from gated_deployment import gated_deployment
from stand_ins import FACTS, SETTINGS, chat_request, run

MS = 1_000_000  # nanoseconds
KINDS = {"r1": "prefill", "m1": "mixed", "m2": "mixed"}
TIME_REMAINING = 1200  # milliseconds; the router cancels the first decode attempt after about 350 ms


def customer_settings(release_timeout):
    """Return settings with append-prefill, so that mixed endpoints prefill prompts without KV state."""
    lanes = [{**lane, "target": 200 * MS} for lane in SETTINGS["lanes"]]
    roles = {"duty_by_kind": ["read", "write", "both"], "memory_tokens": [200_000, 150_000, 150_000]}
    family = {**SETTINGS["family_info"], **roles, "local_read": True, "release_within": release_timeout}
    kinds = ["prefill", "decode", "mixed"]
    return {**SETTINGS, "kinds": kinds, "lanes": lanes, "family_info": family}


@pytest.mark.parametrize("release_timeout", [60 * MS, 300 * MS])
def test_kv_state_claimed_by_a_retried_attempt_is_released_after_the_attempt(tmp_path, release_timeout):
    async def test():
        async with gated_deployment(tmp_path, customer_settings(release_timeout), KINDS) as deployment:
            for name in ("m1", "m2"):
                deployment[name].finish.clear()  # The mixed endpoints accept attempts and never respond.
            request = chat_request("r1", time_remaining_ms=TIME_REMAINING, facts=FACTS)
            status_line, _, _ = await deployment.router.exchange(request)
            assert status_line.split()[1] == "503"
            assert all(deployment[name].called("POST /v1/chat") for name in ("m1", "m2"))
            assert await deployment.record.final_violations() == []

    run(test())
