"""Checks the handling of KNOWN-RED.txt, the list of tests that are known to fail."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent

HOOK = (ROOT / "tests" / "conftest.py").read_text()
TESTS = """
def test_red():
    assert False


def test_green():
    assert True
"""


def run_suite(folder: Path, *lines: str) -> subprocess.CompletedProcess:
    """Run a suite of two tests with the given lines as its KNOWN-RED.txt."""
    (folder / "tests").mkdir()
    (folder / "tests" / "conftest.py").write_text(HOOK)
    (folder / "tests" / "test_it.py").write_text(TESTS)
    (folder / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    command = [sys.executable, "-m", "pytest", "-q", "--rootdir", str(folder), str(folder / "tests")]
    return subprocess.run(command, cwd=folder, env={"PYTHONPATH": str(ROOT)}, capture_output=True, text=True)


RED = "tests/test_it.py::test_red | it fails | 10"


def test_a_listed_test_may_fail_and_is_printed(tmp_path):
    result = run_suite(tmp_path, RED)
    assert result.returncode == 0, result.stdout
    assert "known red: tests/test_it.py::test_red: it fails (issue 10)" in result.stdout
    assert "1 passed, 1 xfailed" in result.stdout


def test_a_listed_test_that_passes_fails_the_run(tmp_path):
    result = run_suite(tmp_path, RED, "tests/test_it.py::test_green | it passes | 10")
    assert result.returncode == 1 and "strict" in result.stdout


def test_an_unlisted_failure_fails_the_run(tmp_path):
    assert run_suite(tmp_path).returncode == 1


@pytest.mark.parametrize(
    "lines",
    [
        [RED] * 4,
        ["tests/test_it.py::test_unknown | it is not there | 10"],
        ["tests/test_gone.py::test_red | it is not there | 10"],
        ["tests/test_it.py::test_red | no issue"],
    ],
    ids=["a fourth line", "an unknown test", "an unknown file", "a line cut short"],
)
def test_an_invalid_list_fails_the_run(tmp_path, lines):
    result = run_suite(tmp_path, *lines)
    assert result.returncode not in (0, 5) and "KNOWN-RED.txt" in result.stdout + result.stderr
