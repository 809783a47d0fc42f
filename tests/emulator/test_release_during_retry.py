"""A decode attempt went silent, its KV state was given up, and the request was sent once more to an endpoint
that prefills by itself. The release that was made meanwhile passed the KV state by, as the new attempt waited
for it, but its acknowledgement was taken as proof that nothing was held. When that attempt was given up in
its turn, no release followed. The report showed it five times, each as "ended 15.063: read", "ended 17.353:
given up" and, 2 ms later and so without the 15 ms that a release takes first, "17.355 ... given up" until the
client's time was over."""

import pytest
from gated_deployment import gated_deployment
from stand_ins import FACTS, SETTINGS, chat_request, run

MS = 1_000_000  # nanoseconds
KINDS = {"r1": "prefill", "m1": "mixed", "m2": "mixed"}
TIME_REMAINING = 1200  # milliseconds: the first decode attempt is given up after some 350


def customer(release_timeout):
    """Return the settings of a customer whose mixed endpoints prefill by themselves where nothing waits."""
    lanes = [{**lane, "target": 200 * MS} for lane in SETTINGS["lanes"]]
    roles = {"duty_by_kind": ["read", "write", "both"], "memory_tokens": [200_000, 150_000, 150_000]}
    family = {**SETTINGS["family_info"], **roles, "local_read": True, "release_within": release_timeout}
    kinds = ["prefill", "decode", "mixed"]
    return {**SETTINGS, "kinds": kinds, "lanes": lanes, "family_info": family}


@pytest.mark.parametrize("release_timeout", [60 * MS, 300 * MS])
def test_state_that_a_later_attempt_waited_for_is_released_after_it(tmp_path, release_timeout):
    async def test():
        async with gated_deployment(tmp_path, customer(release_timeout), KINDS) as deployment:
            for name in ("m1", "m2"):
                deployment[name].finish.clear()  # they accept attempts and never begin a stream
            request = chat_request("r1", time_remaining_ms=TIME_REMAINING, facts=FACTS)
            status_line, _, _ = await deployment.router.exchange(request)
            assert status_line.split()[1] == "503"
            assert all(deployment[name].called("POST /v1/chat") for name in ("m1", "m2"))
            assert await deployment.record.final_violations() == []

    run(test())
