"""Command line of the soak: `python -m soak --seeds 1:50`."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile

import fire

from soak import entry as entry_module
from soak import report as report_module
from soak import run as run_module

DEFAULT_SECONDS = 6.0
TIMEOUT_S = 120
EXIT_VIOLATION = 1


def one(
    seed: int,
    seconds: float = DEFAULT_SECONDS,
    keep: str = "",
    entries: int = run_module.ENTRIES,
    only: str = "",
    source: str = "",
) -> None:
    """Run one seed and print its report as JSON; keep logs in `keep`.

    `only` names faults and features, separated by commas; the others are left
    out. `source` is a checkout whose entries run in place of this one's.
    """
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(keep or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        options = run_module.Options(
            entries,
            frozenset(name for name in _names(only) if name),
            pathlib.Path(source or entry_module.ROOT),
        )
        report = run_module.run(seed, seconds, folder, options)
    print(json.dumps(dataclasses.asdict(report)))


def _names(text: str | tuple[str, ...]) -> tuple[str, ...]:
    """Return the names of an option, which fire may have split."""
    return tuple(text.split(",")) if isinstance(text, str) else text


def many(
    seeds: str = "1:10",
    seconds: float = DEFAULT_SECONDS,
    jobs: int = 2,
    entries: int = run_module.ENTRIES,
) -> int:
    """Run the seeds FIRST:LAST; return 1 if any has violations."""
    first, last = (int(part) for part in str(seeds).split(":"))
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        numbers = range(first, last + 1)
        for report in pool.map(
            lambda seed: _run(seed, seconds, entries), numbers
        ):
            failed += bool(report.violations)
            print(report.line(), flush=True)
    print(f"{last - first + 1} seeds, {failed} with violations")
    return EXIT_VIOLATION if failed else 0


def _run(seed: int, seconds: float, entries: int) -> report_module.Report:
    command = [sys.executable, "-m", "soak", "one"]
    command += [str(seed), f"--seconds={seconds}", f"--entries={entries}"]
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    try:
        rows = json.loads(done.stdout.splitlines()[-1])
    except (IndexError, ValueError):
        text = f"soak printed no report: {done.stderr[-300:]}"
        return report_module.Report(seed, [], 0, 0, [text])
    return report_module.Report(**rows)


if __name__ == "__main__":
    found = fire.Fire({"one": one, "many": many}, serialize=lambda item: None)
    sys.exit(found if isinstance(found, int) else 0)
