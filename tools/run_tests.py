"""Test runner that excludes the failures listed in KNOWN-RED.txt."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile
from xml.etree import ElementTree

from tools import known_red


def run_unit_tests(arguments: list[str]) -> tuple[int, list[str]]:
    """Run nose2; return the number of passed tests and the failed names."""
    with tempfile.TemporaryDirectory() as directory:
        report = pathlib.Path(directory, "report.xml")
        command = [sys.executable, "-m", "nose2", "--start-dir", "tests"]
        command += ["--top-level-directory", "."]
        command += ["--plugin", "nose2.plugins.junitxml", "--junit-xml"]
        command += ["--junit-xml-path", str(report), *arguments]
        status = subprocess.run(command, check=False).returncode
        if not report.exists():
            return 0, [f"nose2 exited with {status} and without a report"]
        passed, failed = _read_report(report)
    if status and not failed:
        failed.append(f"nose2 exited with {status}")
    return passed, failed


def _read_report(report: pathlib.Path) -> tuple[int, list[str]]:
    passed = 0
    failed: list[str] = []
    for case in ElementTree.parse(report).getroot().iter("testcase"):
        name = f"{case.get('classname')}.{case.get('name')}"
        if case.find("failure") is not None or case.find("error") is not None:
            failed.append(name)
        elif case.find("skipped") is None:
            passed += 1
    return passed, failed


def exclude_known_failures(
    passed: int, failed: list[str]
) -> tuple[int, list[str]]:
    """Remove listed failures, and add listed tests that passed.

    A passing test has to be removed from KNOWN-RED.txt.
    """
    listed = {name for name in known_red.read_known_failures() if "." in name}
    unexpected = [name for name in failed if name not in listed]
    for name in sorted(listed & set(failed)):
        print(f"known red: {name}")
    for name in sorted(listed - set(failed)):
        unexpected.append(f"{name} is listed in KNOWN-RED.txt but passes")
    return passed, unexpected


def main() -> int:
    """Run the tests and print the totals; return the exit code."""
    passed, failed = exclude_known_failures(*run_unit_tests(sys.argv[1:]))
    for name in failed:
        print(f"FAILED {name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
