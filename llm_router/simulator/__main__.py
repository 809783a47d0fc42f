"""Serves the simulator's line protocol on standard input and output.

Start it with `python -m llm_router.simulator`."""

from __future__ import annotations

import sys

from llm_router.field_codec import FieldError
from llm_router.simulator.host import NumberedLines, SimulatorHost


def main() -> int:
    """Answer batches until the input ends; return 1 if a line is malformed, otherwise 0."""
    lines = NumberedLines(sys.stdin)
    try:
        SimulatorHost().run(lines, sys.stdout)
    except (FieldError, ValueError) as error:
        print(f"adapter: line {lines.number}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
