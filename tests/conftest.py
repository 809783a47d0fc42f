"""Expect the failures in KNOWN-RED.txt, which has a line `test | cause | issue` for each known one."""

from __future__ import annotations

import ast
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
MAX_KNOWN_RED = 3


@dataclass(frozen=True)
class KnownRed:
    """A test that is known to fail, and why."""

    test: str
    cause: str
    issue: str


def read_known_red(root: Path) -> list[KnownRed]:
    """Read the list; raise pytest.UsageError where it is too long or malformed, or names no existing test."""
    file = root / "KNOWN-RED.txt"
    if not file.exists():
        return []
    lines = [line for line in file.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(lines)} lines, at most {MAX_KNOWN_RED} are allowed")
    return [parse_known_red(line, root) for line in lines]


def parse_known_red(line: str, root: Path) -> KnownRed:
    """Parse one line; raise pytest.UsageError where it is malformed or names no existing test."""
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 3 or not all(parts):
        raise pytest.UsageError(f"KNOWN-RED.txt: not `test | cause | issue`: {line}")
    known = KnownRed(*parts)
    if not is_defined(root, known.test):
        raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {known.test}")
    return known


def is_defined(root: Path, test: str) -> bool:
    """Return whether a test's file defines its function."""
    path, _, name = test.partition("::")
    file = root / path
    if not file.is_file():
        return False
    module = ast.parse(file.read_text())
    functions = {node.name for node in module.body if isinstance(node, ast.FunctionDef)}
    return name.partition("[")[0] in functions


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the tests that are known to fail; one that passes fails the run."""
    config.known_red = read_known_red(ROOT)
    for known in config.known_red:
        for item in items:
            if item.nodeid == known.test or item.nodeid.startswith(f"{known.test}["):
                item.add_marker(pytest.mark.xfail(reason=f"{known.cause} (issue {known.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the list, so that nobody takes the run for a complete one."""
    for known in getattr(config, "known_red", ()):
        terminalreporter.write_line(f"known red: {known.test}: {known.cause} (issue {known.issue})")
