"""Runs case 2 by hand as a test; it belongs neither to CI nor to the default run."""

import subprocess
from pathlib import Path


def test_endless_heads_leave_the_router_within_its_memory_limit() -> None:
    """The script exits with 0 if the rule held."""
    assert subprocess.run([Path(__file__).parent / "run.sh"], check=False).returncode == 0
