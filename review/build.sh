#!/bin/sh
# Runs after the build of the deploy file. The stand-ins are Python and run in its environment; nothing is compiled.
here=$(cd "$(dirname "$0")" && pwd) || exit 1
PYTHONPATH="$here" PYTHONDONTWRITEBYTECODE=1 "$here/../.venv/bin/python" -c 'import standins'
