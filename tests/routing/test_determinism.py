"""The policy is deterministic: the same events and the same seed give the same actions.

The test guards against decisions that depend on the iteration order of sets, which varies between processes.
"""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]


SCRIPT = """
from policy_harness import AttemptStatus, PolicyHarness, S, MS
harness = PolicyHarness(seed=5)
out = []
for n in range(200):
    fields = {"session": f"s{n % 40}", "prefix": f"p{n % 7}", "prefix_tokens": 1800}
    out += harness.submit(f"r{n}", **fields, after=20 * MS)
    if (endpoints := harness.attempted_endpoints()) and n % 3:
        out += harness.end_attempt(AttemptStatus.PREFILLED, endpoints[0], f"r{n}")
    out += harness.run_timers(harness.now + 5 * MS)
print(out)
"""


def test_same_events_give_same_actions_under_any_hash_seed():
    path = os.pathsep.join([str(ROOT), str(ROOT / "tests" / "support")])
    results = set()
    for seed in ("0", "1", "2"):
        env = {**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": path}
        run = subprocess.run([sys.executable, "-c", SCRIPT], env=env, capture_output=True, check=True)
        results.add(run.stdout)
    assert len(results) == 1 and len(results.pop()) > 1000
