"""Reader of KNOWN-RED.txt, the list of known failing tests."""

from __future__ import annotations

import pathlib

LIST_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    """Return the test names listed on lines that start with 'test:'."""
    return _names("test:")


def read_intermittent() -> set[str]:
    """Return the names on lines that start with 'intermittent:'.

    Such a case has failed once without a cause that is known. It is still run
    and its outcome printed; only it may pass while it is listed.
    """
    return _names("intermittent:")


def _names(prefix: str) -> set[str]:
    if not LIST_PATH.exists():
        return set()
    return {
        line.removeprefix(prefix).strip()
        for line in LIST_PATH.read_text().splitlines()
        if line.startswith(prefix)
    }
