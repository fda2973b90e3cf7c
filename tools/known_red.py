"""Reader of KNOWN-RED.txt, the list of known failing tests."""

from __future__ import annotations

import pathlib

LIST_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    """Return the test names listed on lines that start with 'test:'."""
    if not LIST_PATH.exists():
        return set()
    names = set()
    for line in LIST_PATH.read_text().splitlines():
        if line.startswith("test:"):
            names.add(line.removeprefix("test:").strip())
    return names
