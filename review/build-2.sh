#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python and use the standard library alone, so this
# checks only that they and the project's environment can be used.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python - <<'PYTHON'
import ast
import pathlib

for file in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(file.read_text(), str(file))
PYTHON
