"""Test runner that excludes the failures listed in KNOWN-RED.txt."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile
from xml.etree import ElementTree

from tools import known_red


def run_unit_tests(arguments: list[str]) -> tuple[list[str], list[str]]:
    """Run nose2; return the names of passed and of failed tests."""
    with tempfile.TemporaryDirectory() as directory:
        report = pathlib.Path(directory, "report.xml")
        command = [sys.executable, "-m", "nose2", "--start-dir", "tests"]
        command += ["--top-level-directory", "."]
        command += ["--plugin", "nose2.plugins.junitxml", "--junit-xml"]
        command += ["--junit-xml-path", str(report), *arguments]
        status = subprocess.run(command, check=False).returncode
        if not report.exists():
            return [], [f"nose2 exited with {status} and without a report"]
        passed, failed = _read_report(report)
    if status and not failed:
        failed.append(f"nose2 exited with {status}")
    return passed, failed


def _read_report(report: pathlib.Path) -> tuple[list[str], list[str]]:
    passed: list[str] = []
    failed: list[str] = []
    for case in ElementTree.parse(report).getroot().iter("testcase"):
        name = f"{case.get('classname')}.{case.get('name')}"
        if case.find("failure") is not None or case.find("error") is not None:
            failed.append(name)
        elif case.find("skipped") is None:
            passed.append(name)
    return passed, failed


def exclude_known_failures(
    passed: list[str], failed: list[str], is_whole_run: bool
) -> tuple[int, list[str]]:
    """Remove listed failures, and add listed tests that passed.

    A passing test has to be removed from KNOWN-RED.txt, and so has one that
    the whole run does not contain. A part of the tests is not expected to
    contain all that are listed.
    """
    listed = {name for name in known_red.read_known_failures() if "." in name}
    if not is_whole_run:
        listed &= {*passed, *failed}
    unexpected = [name for name in failed if name not in listed]
    for name in sorted(listed & set(failed)):
        print(f"known red: {name}")
    for name in sorted(listed - set(failed)):
        unexpected.append(f"{name} is listed in KNOWN-RED.txt but passes")
    return len(passed), unexpected


def main() -> int:
    """Run the tests and print the totals; return the exit code."""
    arguments = sys.argv[1:]
    passed, failed = exclude_known_failures(
        *run_unit_tests(arguments), is_whole_run=not arguments
    )
    for name in failed:
        print(f"FAILED {name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
