#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exit code: 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
python3 -c "import asyncio, tomllib; asyncio.timeout" || exit 2
PYTHONPATH="$PWD" exec python3 review/6/case.py
