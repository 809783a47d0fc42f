"""Reads KNOWN-RED.txt, the list of tests that are known to fail: a line each as `test | cause | issue`."""

from __future__ import annotations

import ast
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
KNOWN_RED_MOST = 3


@dataclass(frozen=True)
class KnownRed:
    """A test that is known to fail, and why."""

    test: str
    cause: str
    issue: str


def read_known_red(root: Path) -> list[KnownRed]:
    """Read and check the list; a test that is not there, or a line too many, fails the run."""
    file = root / "KNOWN-RED.txt"
    lines = [line for line in file.read_text().splitlines() if line.strip()] if file.exists() else []
    if len(lines) > KNOWN_RED_MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(lines)} lines, at most {KNOWN_RED_MOST} are allowed")
    known = []
    for line in lines:
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"KNOWN-RED.txt: not `test | cause | issue`: {line}")
        known.append(KnownRed(*parts))
        if not defined(root, known[-1].test):
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {known[-1].test}")
    return known


def defined(root: Path, test: str) -> bool:
    """Tell whether a test's file defines its function."""
    path, _, name = test.partition("::")
    file = root / path
    if not file.is_file():
        return False
    functions = (each for each in ast.parse(file.read_text()).body if isinstance(each, ast.FunctionDef))
    return name.partition("[")[0] in {each.name for each in functions}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark what is known to fail: it has to fail, or the run does."""
    config.known_red = read_known_red(ROOT)
    for known in config.known_red:
        for item in items:
            if item.nodeid == known.test or item.nodeid.startswith(f"{known.test}["):
                item.add_marker(pytest.mark.xfail(reason=f"{known.cause} (issue {known.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the list, so that nobody takes the run for a whole one."""
    for known in getattr(config, "known_red", ()):
        terminalreporter.write_line(f"known red: {known.test}: {known.cause} (issue {known.issue})")
