"""Reader of KNOWN-RED.txt, the list of known failing tests."""

from __future__ import annotations

import pathlib

KNOWN_RED_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_failures() -> set[str]:
    """Return the names of known failing tests, on lines with 'test:'."""
    return _read_names("test:")


def read_intermittent() -> set[str]:
    """Return the names of flaky cases, on lines with 'intermittent:'.

    Such a case failed at least once with an unknown cause. It still runs and
    its outcome is printed. Unlike other listed cases it may pass.
    """
    return _read_names("intermittent:")


def _read_names(prefix: str) -> set[str]:
    if not KNOWN_RED_PATH.exists():
        return set()
    return {
        line.removeprefix(prefix).strip()
        for line in KNOWN_RED_PATH.read_text().splitlines()
        if line.startswith(prefix)
    }
