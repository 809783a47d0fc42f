"""Marks the tests in KNOWN-RED.txt as expected failures.

Each line of the file has the form `test | cause | issue`."""

from __future__ import annotations

import ast
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
MAX_KNOWN_RED = 3


@dataclass(frozen=True)
class KnownRed:
    """A test that is known to fail, with the cause and the number of the issue."""

    test: str
    cause: str
    issue: str


def read_known_red(root: Path) -> list[KnownRed]:
    """Read KNOWN-RED.txt; raise pytest.UsageError if it is too long or has an invalid line."""
    file = root / "KNOWN-RED.txt"
    if not file.exists():
        return []
    lines = [line for line in file.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(lines)} lines, at most {MAX_KNOWN_RED} are allowed")
    return [parse_known_red(line, root) for line in lines]


def parse_known_red(line: str, root: Path) -> KnownRed:
    """Parse one line; raise pytest.UsageError if it is malformed or its test does not exist."""
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 3 or not all(parts):
        raise pytest.UsageError(f"KNOWN-RED.txt: line is not of the form `test | cause | issue`: {line}")
    known = KnownRed(*parts)
    if not is_defined(root, known.test):
        raise pytest.UsageError(f"KNOWN-RED.txt: test does not exist: {known.test}")
    return known


def is_defined(root: Path, test: str) -> bool:
    """Return whether the file of a test id defines the test function."""
    path, _, name = test.partition("::")
    file = root / path
    if not file.is_file():
        return False
    module = ast.parse(file.read_text())
    functions = {node.name for node in module.body if isinstance(node, ast.FunctionDef)}
    return name.partition("[")[0] in functions


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the known failures as strict expected failures, so that one that passes fails the run."""
    config.known_red = read_known_red(ROOT)
    for known in config.known_red:
        for item in items:
            if item.nodeid == known.test or item.nodeid.startswith(f"{known.test}["):
                item.add_marker(pytest.mark.xfail(reason=f"{known.cause} (issue {known.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the known failures, so that a reader does not take the run for a full pass."""
    for known in getattr(config, "known_red", ()):
        terminalreporter.write_line(f"known red: {known.test}: {known.cause} (issue {known.issue})")
