#!/usr/bin/env bash
# The stand-ins need nothing but Python's standard library; this checks them.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(pathlib.Path(".").glob("**/*.py")):
    ast.parse(path.read_text(), str(path))
PY
