"""Runs the cases 6 to 10 by hand as a test; it belongs neither to CI nor to the default run."""

import subprocess
from pathlib import Path

CASES = range(6, 11)


def test_the_rules_of_cases_6_to_10_hold() -> None:
    """Each script exits with 0 if its rule held."""
    folder = Path(__file__).parent
    codes = {case: subprocess.run([folder / str(case) / "run.sh"], check=False).returncode for case in CASES}
    assert codes == dict.fromkeys(CASES, 0)
